#pragma once

#include "catkinwing/Support/Clock.h"
#include <cstddef>
#include <deque>
#include <string>
#include <vector>

namespace catkinwing {

/// What a live entry would use of an endpoint: requests in flight and waiting.
struct EntryDemand {
    std::string entry;
    std::size_t slots { 0 };
};

/// The slots of an endpoint that an entry may use.
struct EntryCredit {
    std::string entry;
    std::size_t slots { 0 };
};

/// Divides \p totalSlots among the live entries: \p floor each, then by unmet
/// demand (equal shares up to each one's demand), then what is left evenly.
/// The result follows the entries' names, doesn't depend on the order given, and
/// sums to exactly \p totalSlots (to zero without entries). With fewer slots
/// than floors, each gets an equal part and the first by name one more.
std::vector<EntryCredit> divideSlots(std::size_t totalSlots, std::vector<EntryDemand> demands, std::size_t floor = 1);

/// One entry's credit at one endpoint over time: shrinks at once and grows only
/// after \p growDelay, so that the others have shrunk by then.
class SlotCredit {
public:
    explicit SlotCredit(Duration growDelay = std::chrono::seconds(2));
    /// Notes what the division gives now and returns what may be used.
    std::size_t update(std::size_t slots, TimePoint now);

private:
    struct Sample {
        TimePoint at;
        std::size_t slots;
    };

    Duration m_growDelay;
    /// Rising from front to back; the front is the least of the window.
    std::deque<Sample> m_samples;
};

} // namespace catkinwing
