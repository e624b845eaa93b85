#pragma once

#include "catkinwing/Support/Clock.h"
#include <absl/container/flat_hash_map.h>
#include <cstdint>
#include <optional>

namespace catkinwing {

/// In which region each shared part of a prompt was last used, as far as the
/// entries of this region have sent it there. Whoever owns a part by its hash
/// changes when zones are evacuated and come back; the part itself stays where it
/// was read, and reading it again costs an engine some 0.3 s.
class PartRegions {
public:
    /// Notes that \p part was sent to the region with the hash \p region.
    void noteSent(std::uint32_t part, std::uint32_t region, TimePoint now);
    /// Returns the hash of the region that probably keeps \p part.
    std::optional<std::uint32_t> regionOf(std::uint32_t part, TimePoint now) const;

private:
    struct Use {
        std::uint32_t region { 0 };
        TimePoint at {};
    };

    absl::flat_hash_map<std::uint32_t, Use> m_uses;
};

} // namespace catkinwing
