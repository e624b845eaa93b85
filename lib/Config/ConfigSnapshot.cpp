#include "catkinwing/Config/ConfigSnapshot.h"

namespace catkinwing {

RegionIndex::RegionIndex(RegionDocument region)
    : document(std::move(region))
{
    for (const EndpointSettings& endpoint : document.endpoints)
        endpointsByZone[endpoint.availabilityZone].push_back(&endpoint);
}

// A digest that two teams name belongs to neither. Giving it to one of them
// would let a team that copies another's digest take over that team's callers,
// and have their data processed under its own residency.
static void addKeys(KeyIndex& index, const TeamDocument& team, const std::vector<KeySettings>& keys)
{
    for (const KeySettings& key : keys) {
        auto [entry, isNew] = index.try_emplace(key.digest, KeyOwner { &team, &key });
        if (!isNew)
            entry->second = KeyOwner {};
    }
}

void indexKeys(ConfigSnapshot& snapshot)
{
    snapshot.callerKeys.clear();
    snapshot.operatorTokens.clear();
    for (const auto& [name, team] : snapshot.teams) {
        addKeys(snapshot.callerKeys, *team, team->keys);
        addKeys(snapshot.operatorTokens, *team, team->operatorTokens);
    }
}

template <typename Document>
static const Document* findDocument(const DocumentMap<Document>& documents, absl::string_view name)
{
    auto found = documents.find(name);
    return found == documents.end() ? nullptr : found->second.get();
}

const RegionDocument* findRegion(const ConfigSnapshot& snapshot, absl::string_view name)
{
    const RegionIndex* region = findDocument(snapshot.regions, name);
    return region ? &region->document : nullptr;
}

const ModelDocument* findModel(const ConfigSnapshot& snapshot, absl::string_view name)
{
    return findDocument(snapshot.models, name);
}

const TeamDocument* findTeam(const ConfigSnapshot& snapshot, absl::string_view name)
{
    return findDocument(snapshot.teams, name);
}

static KeyOwner findOwner(const KeyIndex& index, const KeyDigest& digest)
{
    auto found = index.find(digest);
    return found == index.end() ? KeyOwner {} : found->second;
}

KeyOwner findCallerKey(const ConfigSnapshot& snapshot, const KeyDigest& digest)
{
    return findOwner(snapshot.callerKeys, digest);
}

KeyOwner findOperatorToken(const ConfigSnapshot& snapshot, const KeyDigest& digest)
{
    return findOwner(snapshot.operatorTokens, digest);
}

const std::vector<const EndpointSettings*>& endpointsInZone(const ConfigSnapshot& snapshot, absl::string_view region, absl::string_view availabilityZone)
{
    static const std::vector<const EndpointSettings*> none;
    const RegionIndex* index = findDocument(snapshot.regions, region);
    if (!index)
        return none;
    auto found = index->endpointsByZone.find(availabilityZone);
    return found == index->endpointsByZone.end() ? none : found->second;
}

} // namespace catkinwing
