#include "catkinwing/Membership/ShareDivision.h"

#include "catkinwing/Support/Hash.h"
#include <algorithm>

namespace catkinwing {

/// Number of holders and sum of their bursts, as fractions of the requests allowed above the
/// rate. The remainder covers entries that temporarily have different lists of entries.
static constexpr double holderFraction = 0.6;
static constexpr double burstFraction = 0.45;
/// The shares of the listed holders may add up to this multiple of the rate, whether the
/// other holders still use theirs or not.
static constexpr double maxTakeover = 1.25;

namespace {

    struct Holders {
        std::vector<const RateSharer*> entries;
        std::size_t listed { 0 };
        /// Burst of each holder.
        double burst { 1 };
    };

} // namespace

// Within any window, each holder sends at most its part of the rate plus its burst. The
// number of holders is therefore limited to the number of requests allowed above the rate.
static Holders holdersOf(const std::vector<RateSharer>& sharers, absl::string_view subject, const SharedRate& rate)
{
    double perWindow = rate.perSecond * std::chrono::duration<double>(rate.window).count();
    double usedPerWindow = rate.perSecond * std::chrono::duration<double>(rate.window + rate.grantLifetime).count() * maxTakeover;
    Holders holders;
    double allowance = std::max(perWindow * rate.ratio - usedPerWindow + rate.slack, 1.0);
    std::uint64_t seed = stableHash(subject);
    std::vector<std::pair<std::uint64_t, const RateSharer*>> ranked;
    ranked.reserve(sharers.size());
    for (const RateSharer& sharer : sharers)
        ranked.emplace_back(stableHash(sharer.name, seed), &sharer);
    std::size_t count = std::min(static_cast<std::size_t>(std::max(allowance * holderFraction, 1.0)), ranked.size());
    auto isBefore = [](const auto& a, const auto& b) { return a.first != b.first ? a.first > b.first : a.second->name < b.second->name; };
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), ranked.end(), isBefore);
    if (count > 0)
        holders.burst = std::max(allowance * burstFraction / static_cast<double>(count), 1.0);
    for (std::size_t i = 0; i < count; ++i) {
        holders.entries.push_back(ranked[i].second);
        holders.listed += ranked[i].second->isListed ? 1 : 0;
    }
    return holders;
}

RateShare divideRate(const std::vector<RateSharer>& sharers, absl::string_view self, absl::string_view subject, const SharedRate& rate)
{
    Holders holders = holdersOf(sharers, subject, rate);
    auto own = std::find_if(holders.entries.begin(), holders.entries.end(), [&](const RateSharer* holder) { return holder->name == self; });
    if (own == holders.entries.end())
        return {};
    auto count = static_cast<double>(holders.entries.size());
    auto listed = static_cast<double>(std::max<std::size_t>(holders.listed + ((*own)->isListed ? 0 : 1), 1));
    return { rate.perSecond * std::min(1 / listed, maxTakeover / count), holders.burst };
}

std::vector<std::string> listedHolders(const std::vector<RateSharer>& sharers, absl::string_view subject, const SharedRate& rate)
{
    std::vector<std::string> names;
    for (const RateSharer* holder : holdersOf(sharers, subject, rate).entries) {
        if (holder->isListed)
            names.push_back(holder->name);
    }
    return names;
}

std::string chooseDelegate(const std::vector<std::string>& entries, absl::string_view duty)
{
    std::uint64_t seed = stableHash(duty);
    auto isLess = [seed](const std::string& a, const std::string& b) { return stableHash(a, seed) < stableHash(b, seed); };
    auto best = std::max_element(entries.begin(), entries.end(), isLess);
    return best == entries.end() ? std::string() : *best;
}

} // namespace catkinwing
