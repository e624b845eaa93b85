#include "catkinwing/Routing/PartRegionChoice.h"

namespace catkinwing {

/// Gain at which every request moves to the other region. Smaller gains move a
/// proportional share, because all entries use the same load reports and would
/// otherwise overload a region before its next report. The value is about the
/// prefill time of a long segment.
static constexpr std::chrono::milliseconds fullGain { 300 };

static Duration timeToStart(const PartRegionOption& option, Duration prefillTime)
{
    return option.wait + option.way + (option.keepsPart ? Duration::zero() : prefillTime);
}

const PartRegionOption* choosePartRegion(absl::Span<const PartRegionOption> options, Duration prefillTime, Random& random)
{
    const PartRegionOption* holder = nullptr;
    const PartRegionOption* soonest = nullptr;
    for (const PartRegionOption& option : options) {
        if (!soonest || timeToStart(option, prefillTime) < timeToStart(*soonest, prefillTime))
            soonest = &option;
        if (option.keepsPart && (!holder || timeToStart(option, prefillTime) < timeToStart(*holder, prefillTime)))
            holder = &option;
    }
    if (!holder || holder == soonest)
        return soonest;
    Duration gain = timeToStart(*holder, prefillTime) - timeToStart(*soonest, prefillTime);
    double share = std::chrono::duration<double>(gain) / fullGain;
    return random.unit() < share ? soonest : holder;
}

} // namespace catkinwing
