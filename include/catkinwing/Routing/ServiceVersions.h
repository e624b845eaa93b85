#pragma once

#include "catkinwing/Support/Clock.h"
#include <absl/strings/string_view.h>
#include <cstdint>
#include <optional>
#include <vector>

namespace catkinwing {

/// Identifies one software version of one service. The same at every entry; never zero.
using BuildId = std::uint64_t;

BuildId buildIdOf(absl::string_view service, absl::string_view softwareVersion);

/// The software versions that the endpoints of a service have, and have had recently.
class ServiceVersions {
public:
    /// Records that an endpoint with the version is registered.
    void recordPresent(BuildId build, TimePoint now);
    /// Records that the last endpoint with the version was removed.
    void recordAbsent(BuildId build, TimePoint now);
    /// Returns the only version that any endpoint has had for \p span or longer; nothing if
    /// there were several, or if the service isn't known for so long.
    std::optional<BuildId> soleVersion(Duration span, TimePoint now) const;
    /// Returns whether the version has been known for long enough that every entry whose
    /// knowledge isn't outdated knows it as well.
    bool isEstablished(BuildId build, TimePoint now) const;

private:
    struct Sighting {
        BuildId build { 0 };
        TimePoint firstSeenAt {};
        /// When its last endpoint was removed; nothing if there is one.
        std::optional<TimePoint> absentSince;
    };

    std::vector<Sighting> m_sightings;
};

} // namespace catkinwing
