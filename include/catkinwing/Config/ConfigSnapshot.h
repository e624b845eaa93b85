#pragma once

#include "catkinwing/Config/GlobalDocument.h"
#include "catkinwing/Config/KeyDigest.h"
#include "catkinwing/Config/ModelDocument.h"
#include "catkinwing/Config/RegionDocument.h"
#include "catkinwing/Config/TeamDocument.h"
#include <absl/container/flat_hash_map.h>
#include <absl/strings/string_view.h>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace catkinwing {

/// A region document with its endpoints by availability zone.
struct RegionIndex {
    RegionDocument document;
    /// Points into `document`.
    std::map<std::string, std::vector<const EndpointSettings*>, std::less<>> endpointsByZone;

    explicit RegionIndex(RegionDocument region);
    RegionIndex(const RegionIndex&) = delete;
    RegionIndex& operator=(const RegionIndex&) = delete;
};

/// The team and the key that a digest belongs to.
struct KeyOwner {
    const TeamDocument* team { nullptr };
    const KeySettings* key { nullptr };
};

/// Documents of one kind by name.
template <typename Document>
using DocumentMap = std::map<std::string, std::shared_ptr<const Document>, std::less<>>;

/// Owners of keys by digest; no owner if two teams name the same digest.
using KeyIndex = absl::flat_hash_map<KeyDigest, KeyOwner, KeyDigestHash>;

/// The configuration in force at one moment. Snapshots share their documents
/// and are never changed once published.
struct ConfigSnapshot {
    /// Defaults until the document `global` is known.
    std::shared_ptr<const GlobalDocument> global { std::make_shared<GlobalDocument>() };
    DocumentMap<RegionIndex> regions;
    DocumentMap<ModelDocument> models;
    DocumentMap<TeamDocument> teams;
    KeyIndex callerKeys;
    KeyIndex operatorTokens;
};

/// Fills the key indexes of \p snapshot from its teams.
void indexKeys(ConfigSnapshot& snapshot);

/// Returns the region, or nullptr.
const RegionDocument* findRegion(const ConfigSnapshot& snapshot, absl::string_view name);
/// Returns the model, or nullptr.
const ModelDocument* findModel(const ConfigSnapshot& snapshot, absl::string_view name);
/// Returns the team, or nullptr.
const TeamDocument* findTeam(const ConfigSnapshot& snapshot, absl::string_view name);
/// Returns the owner of a caller's key; its team is nullptr if there is none.
KeyOwner findCallerKey(const ConfigSnapshot& snapshot, const KeyDigest& digest);
/// Returns the owner of a team's operator token; its team is nullptr if there is none.
KeyOwner findOperatorToken(const ConfigSnapshot& snapshot, const KeyDigest& digest);
/// Returns the endpoints of an availability zone; none if it is not known.
const std::vector<const EndpointSettings*>& endpointsInZone(const ConfigSnapshot& snapshot, absl::string_view region, absl::string_view availabilityZone);

} // namespace catkinwing
