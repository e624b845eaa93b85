#include "catkinwing/Routing/CallerSteering.h"

#include "catkinwing/Support/Hash.h"
#include <algorithm>
#include <cmath>
#include <string>
#include <tuple>

namespace catkinwing {

double rendezvousScore(absl::string_view key, absl::string_view node, double weight)
{
    // The top 53 bits fill a double's mantissa. Adding 0.5 keeps the logarithm
    // finite.
    constexpr unsigned droppedBits = 11;
    constexpr double range = 9007199254740992.0;
    std::uint64_t hash = stableHash(node, stableHash(key));
    double unit = (static_cast<double>(hash >> droppedBits) + 0.5) / range;
    return -weight / std::log(unit);
}

namespace {

    /// Groups of entries, in order of preference.
    enum class Nearness { Zone,
        Region,
        OtherRegion,
        WithoutModel };

    struct Ranked {
        std::size_t index;
        Nearness nearness;
        Duration distance;
        double score;
    };

} // namespace

static bool servesModel(const EntryView& entry, const std::string& model)
{
    return model.empty() || std::find(entry.models.begin(), entry.models.end(), model) != entry.models.end();
}

static Nearness nearnessOf(const SteeringRequest& request, const EntryView& entry)
{
    if (!servesModel(entry, request.model))
        return Nearness::WithoutModel;
    if (entry.region != request.region)
        return Nearness::OtherRegion;
    // All zones of the region direct a session to the same entry: reusing its
    // cache saves more than the network delay between zones costs.
    if (!request.session.empty())
        return Nearness::Region;
    return entry.zone == request.zone ? Nearness::Zone : Nearness::Region;
}

static bool isRankedBefore(const Ranked& a, const Ranked& b)
{
    return std::make_tuple(a.nearness, a.distance, -a.score, a.index) < std::make_tuple(b.nearness, b.distance, -b.score, b.index);
}

static std::string affinityKey(const SteeringRequest& request)
{
    std::string session = request.session.empty() ? std::to_string(request.spread) : request.session;
    return request.team + '\n' + request.model + '\n' + session;
}

std::vector<std::size_t> rankEntries(const SteeringRequest& request, absl::Span<const EntryView> entries, const SlowStartPolicy& slowStart, TimePoint now)
{
    std::string key = affinityKey(request);
    std::vector<Ranked> ranked;
    for (std::size_t index = 0; index < entries.size(); ++index) {
        const EntryView& entry = entries[index];
        if (entry.draining || !entry.reachable || !isAllowed(request.residency, entry.region))
            continue;
        Nearness nearness = nearnessOf(request, entry);
        Duration distance = nearness == Nearness::OtherRegion ? entry.roundTripTime : Duration::zero();
        double weight = entry.weight * slowStartWeight(slowStart, entry.availableSince, now);
        ranked.push_back({ index, nearness, distance, rendezvousScore(key, entry.name, weight) });
    }
    std::sort(ranked.begin(), ranked.end(), isRankedBefore);
    std::vector<std::size_t> indexes;
    indexes.reserve(ranked.size());
    for (const Ranked& rank : ranked)
        indexes.push_back(rank.index);
    return indexes;
}

} // namespace catkinwing
