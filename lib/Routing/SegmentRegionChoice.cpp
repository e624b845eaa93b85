#include "catkinwing/Routing/SegmentRegionChoice.h"

namespace catkinwing {

/// Gain at which every request moves to the other region. Smaller gains move a
/// proportional share, because all entries use the same load reports and would
/// otherwise overload a region before its next report. The value is about the
/// prefill time of a long segment.
static constexpr std::chrono::milliseconds fullGain { 300 };

static Duration timeToStart(const SegmentRegionOption& option, Duration prefillTime)
{
    return option.wait + option.networkDelay + (option.cachesSegment ? Duration::zero() : prefillTime);
}

const SegmentRegionOption* chooseSegmentRegion(absl::Span<const SegmentRegionOption> options, Duration prefillTime, Random& random)
{
    const SegmentRegionOption* holder = nullptr;
    const SegmentRegionOption* soonest = nullptr;
    for (const SegmentRegionOption& option : options) {
        if (!soonest || timeToStart(option, prefillTime) < timeToStart(*soonest, prefillTime))
            soonest = &option;
        if (option.cachesSegment && (!holder || timeToStart(option, prefillTime) < timeToStart(*holder, prefillTime)))
            holder = &option;
    }
    if (!holder || holder == soonest)
        return soonest;
    Duration gain = timeToStart(*holder, prefillTime) - timeToStart(*soonest, prefillTime);
    double share = std::chrono::duration<double>(gain) / fullGain;
    return random.unit() < share ? soonest : holder;
}

} // namespace catkinwing
