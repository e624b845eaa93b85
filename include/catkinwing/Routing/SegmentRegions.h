#pragma once

#include "catkinwing/Support/Clock.h"
#include <absl/container/flat_hash_map.h>
#include <cstdint>
#include <optional>

namespace catkinwing {

/// Records to which region the entries of this region last sent each shared prompt
/// segment. Rendezvous hashing assigns each segment an owner among the endpoints
/// (see ownershipScore). The owner changes when zones are evacuated or restored,
/// but the segment stays cached in the region that prefilled it last. A request
/// sent to the recorded region doesn't have to prefill the segment again, which
/// would cost an engine about 0.3 s.
class SegmentRegions {
public:
    /// Records that \p segment was sent to the region with the hash \p region.
    void recordSent(std::uint32_t segment, std::uint32_t region, TimePoint now);
    /// Returns the hash of the region that probably caches \p segment. Returns
    /// nothing if the segment is unknown or was last used too long ago.
    std::optional<std::uint32_t> regionOf(std::uint32_t segment, TimePoint now) const;

private:
    struct Use {
        std::uint32_t region { 0 };
        TimePoint at {};
    };

    absl::flat_hash_map<std::uint32_t, Use> m_uses;
};

} // namespace catkinwing
