#include "catkinwing/Membership/EntryGroups.h"

#include "catkinwing/Support/Hash.h"
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <map>

namespace catkinwing {

/// Maximum mean size of a group. A collector receives ten reports a second from each
/// member and sends as many digests, some 1,300 datagrams a second for this size. Members
/// are distributed by hash, so a single group may be half as large again.
static constexpr std::size_t maxMeanMembers = 64;
static constexpr std::size_t collectorsPerGroup = 2;

static std::vector<std::string> chooseCollectors(const std::vector<std::string>& members)
{
    std::vector<std::string> ranked = members;
    std::uint64_t seed = stableHash("collector");
    std::size_t chosen = std::min(collectorsPerGroup, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(chosen), ranked.end(),
        [seed](const std::string& a, const std::string& b) { return stableHash(a, seed) > stableHash(b, seed); });
    ranked.resize(chosen);
    return ranked;
}

std::vector<EntryGroup> divideIntoGroups(const std::vector<GroupedEntry>& entries)
{
    std::map<std::string, std::size_t> sizes;
    for (const GroupedEntry& entry : entries)
        ++sizes[entry.availabilityZone];
    std::map<std::string, EntryGroup> groups;
    for (const GroupedEntry& entry : entries) {
        std::size_t count = (sizes[entry.availabilityZone] + maxMeanMembers - 1) / maxMeanMembers;
        EntryGroup& group = groups[absl::StrCat(entry.availabilityZone, "/", stableHash(entry.key) % count)];
        group.members.push_back(entry.key);
    }
    std::vector<EntryGroup> divided;
    for (auto& [name, group] : groups) {
        group.name = name;
        group.collectors = chooseCollectors(group.members);
        divided.push_back(std::move(group));
    }
    return divided;
}

} // namespace catkinwing
