#include "catkinwing/Membership/ShareDivision.h"

#include "catkinwing/Support/Hash.h"
#include <algorithm>

namespace catkinwing {

/// Fraction of the burst allowance that is distributed. The remainder covers entries that
/// temporarily have different lists of entries.
static constexpr double distributedFraction = 0.6;

RateShare divideRate(const std::vector<std::string>& entries, absl::string_view self, absl::string_view subject, const SharedRate& rate)
{
    // Within any second, each entry with a share sends at most its part of the rate plus
    // one request. The number of such entries is therefore limited to the number of
    // requests allowed above the rate.
    double burstAllowance = (rate.perSecond * (rate.ratio - 1) + rate.slack) * distributedFraction;
    auto holders = static_cast<std::size_t>(std::max(burstAllowance, 1.0));
    std::uint64_t ownScore = stableHash(self, stableHash(subject));
    std::size_t before = 0;
    bool isMember = false;
    for (const std::string& entry : entries) {
        if (entry == self)
            isMember = true;
        else if (stableHash(entry, stableHash(subject)) > ownScore)
            ++before;
    }
    if (!isMember || before >= holders)
        return {};
    std::size_t count = std::min(holders, entries.size());
    return { rate.perSecond / static_cast<double>(count), 1 };
}

std::string chooseDelegate(const std::vector<std::string>& entries, absl::string_view duty)
{
    std::uint64_t seed = stableHash(duty);
    auto isLess = [seed](const std::string& a, const std::string& b) { return stableHash(a, seed) < stableHash(b, seed); };
    auto best = std::max_element(entries.begin(), entries.end(), isLess);
    return best == entries.end() ? std::string() : *best;
}

} // namespace catkinwing
