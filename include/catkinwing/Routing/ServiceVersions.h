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
    ServiceVersions() = default;
    /// \p completeSince is the time since which every version is known.
    explicit ServiceVersions(TimePoint completeSince)
        : m_completeSince(completeSince)
    {
    }

    /// Records that an endpoint with the version is registered. Returns whether the version is new.
    bool recordPresent(BuildId build, TimePoint now);
    /// Records that the last endpoint with the version was removed.
    void recordAbsent(BuildId build, TimePoint now);
    /// Returns the only version that any endpoint has had for \p span or longer; nothing if
    /// there were several, or if the service isn't known for so long.
    std::optional<BuildId> soleVersion(Duration span, TimePoint now) const;
    /// The same, but nothing if another version may have come and gone unseen within \p span.
    std::optional<BuildId> observedSoleVersion(Duration span, TimePoint now) const;
    /// Returns whether an endpoint has had another version within \p span.
    bool hasOtherVersion(BuildId build, Duration span, TimePoint now) const;
    /// Returns whether the version has been known for long enough that every entry whose
    /// knowledge isn't outdated knows it as well. While a version is recorded, only that one is.
    bool isEstablished(BuildId build, TimePoint now) const;
    /// Sets the version that the version record names as the only one of the last \p span;
    /// nothing if it names none.
    void setRecorded(std::optional<BuildId> build, Duration span, TimePoint now);
    /// Records that versions may have come and gone unseen until now.
    void recordGap(TimePoint now) { m_completeSince = now; }

private:
    struct Sighting {
        BuildId build { 0 };
        TimePoint firstSeenAt {};
        /// When its last endpoint was removed; nothing if there is one.
        std::optional<TimePoint> absentSince;
        /// Every entry concludes this version until it knows of another one.
        bool isInitial { false };
    };

    /// Returns the only version within the span, however long it is known.
    const Sighting* soleSighting(Duration span, TimePoint now) const;
    bool isObserved(const Sighting& sighting, Duration span, TimePoint now) const;

    std::vector<Sighting> m_sightings;
    /// The time since which every version is known; the minimum if since before the first stream.
    TimePoint m_completeSince { TimePoint::max() };
    std::optional<BuildId> m_recorded;
};

} // namespace catkinwing
