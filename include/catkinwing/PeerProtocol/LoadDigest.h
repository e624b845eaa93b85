#pragma once

#include "catkinwing/PeerProtocol/LoadReport.h"

namespace catkinwing {

/// What a collector tells several times a second of the load reports of many
/// entries: about 15 bytes for each endpoint in use, whatever their number.
struct LoadDigest {
    /// Name of the group of entries that it adds up; empty if it is all groups of
    /// the region.
    std::string group;
    /// Key of the collector.
    std::string collector;
    /// Grows with each digest of the collector, since datagrams may overtake each other.
    std::uint64_t sequence { 0 };
    std::vector<EndpointWorkload> loads;
    std::vector<PartSent> parts;
};

std::string encodeLoadDigest(const LoadDigest& digest);
absl::StatusOr<LoadDigest> decodeLoadDigest(absl::string_view bytes);

} // namespace catkinwing
