#pragma once

#include "catkinwing/Support/Clock.h"
#include <absl/container/flat_hash_map.h>
#include <cstdint>
#include <optional>

namespace catkinwing {

/// Records to which region the entries of this region last sent each shared prompt
/// segment. The owner of a segment by hash changes when zones are evacuated and
/// restored, but the segment stays cached where it was prefilled. Prefilling it
/// again costs an engine about 0.3 s.
class PartRegions {
public:
    /// Records that \p segment was sent to the region with the hash \p region.
    void noteSent(std::uint32_t segment, std::uint32_t region, TimePoint now);
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
