#include "catkinwing/Routing/StreamLength.h"

namespace catkinwing {

/// Factor by which each stream reduces the weight of earlier ones; the last fifty
/// dominate.
static constexpr double streamDecay = 0.98;
/// Tokens per event assumed before any stream has ended. Known engines put five to
/// seven tokens into an event.
static constexpr double defaultTokensPerEvent = 6;

void addEventSample(StreamLength& length, std::int64_t outputTokens, std::size_t events)
{
    auto count = static_cast<double>(events);
    length.meanEvents += (1 - streamDecay) * (count - length.meanEvents);
    if (outputTokens <= 0)
        return;
    length.tokens = length.tokens * streamDecay + static_cast<double>(outputTokens);
    length.events = length.events * streamDecay + count;
}

double predictEvents(const StreamLength& length, std::int64_t outputTokens)
{
    if (outputTokens <= 0)
        return length.meanEvents;
    double perToken = length.tokens > 0 ? length.events / length.tokens : 1 / defaultTokensPerEvent;
    return static_cast<double>(outputTokens) * perToken;
}

} // namespace catkinwing
