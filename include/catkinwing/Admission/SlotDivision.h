#pragma once

#include "catkinwing/Support/Clock.h"
#include <cstddef>
#include <deque>
#include <string>
#include <vector>

namespace catkinwing {

/// Slots of an endpoint that a live entry could use: requests in flight and waiting.
struct EntryDemand {
    std::string entry;
    std::size_t slots { 0 };
};

/// Slots of an endpoint that an entry may use.
struct EntryCredit {
    std::string entry;
    std::size_t slots { 0 };
};

/// Divides \p totalSlots among the live entries: \p floor each, then by unmet
/// demand (equal shares up to each one's demand), then the remaining slots evenly.
/// The result is ordered by entry name, doesn't depend on the order of \p demands,
/// and sums to exactly \p totalSlots (to zero without entries). With fewer slots
/// than the sum of the floors, each entry gets an equal share, and the first ones by
/// name get one of the remaining slots each.
std::vector<EntryCredit> divideSlots(std::size_t totalSlots, std::vector<EntryDemand> demands, std::size_t floor = 1);

/// One entry's credit at one endpoint over time. Decreases take effect at once and
/// increases only after \p growDelay, so that the credits of the other entries have
/// decreased by then.
class SlotCredit {
public:
    explicit SlotCredit(Duration growDelay = std::chrono::seconds(2));
    /// Records the slots that the division gives now and returns the slots that the
    /// entry may use.
    std::size_t update(std::size_t slots, TimePoint now);

private:
    struct Sample {
        TimePoint at;
        std::size_t slots;
    };

    Duration m_growDelay;
    /// Samples of the last m_growDelay, with older ones of more slots than a later one
    /// removed: slots rise from front to back, and the front has the min.
    std::deque<Sample> m_samples;
};

} // namespace catkinwing
