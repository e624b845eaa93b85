#include "catkinwing/Routing/PartRegionChoice.h"

namespace catkinwing {

/// Gain at which every request moves to the other region. Smaller gains move a
/// proportional share, because all entries use the same load reports and would
/// otherwise overload a region before its next report. The value is about the
/// prefill time of a long segment.
static constexpr std::chrono::milliseconds wholeGain { 300 };

static Duration beginsAfter(const PartRegionOption& option, Duration readingAgain)
{
    return option.wait + option.way + (option.keepsPart ? Duration::zero() : readingAgain);
}

const PartRegionOption* choosePartRegion(absl::Span<const PartRegionOption> options, Duration readingAgain, Random& random)
{
    const PartRegionOption* keeper = nullptr;
    const PartRegionOption* soonest = nullptr;
    for (const PartRegionOption& option : options) {
        if (!soonest || beginsAfter(option, readingAgain) < beginsAfter(*soonest, readingAgain))
            soonest = &option;
        if (option.keepsPart && (!keeper || beginsAfter(option, readingAgain) < beginsAfter(*keeper, readingAgain)))
            keeper = &option;
    }
    if (!keeper || keeper == soonest)
        return soonest;
    Duration gain = beginsAfter(*keeper, readingAgain) - beginsAfter(*soonest, readingAgain);
    double part = std::chrono::duration<double>(gain) / wholeGain;
    return random.unit() < part ? soonest : keeper;
}

} // namespace catkinwing
