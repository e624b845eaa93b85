#include "catkinwing/Routing/ServiceVersions.h"

#include "catkinwing/Support/Hash.h"
#include <algorithm>

namespace catkinwing {

/// An entry whose knowledge is older than three seconds doesn't conclude anything from it. The
/// rest is for the time that a change takes to reach the entries that relay it.
static constexpr std::chrono::milliseconds establishingTime { 4'000 };
/// Maximum number of versions kept of a service, the present ones included.
static constexpr std::size_t maxSightings = 64;

BuildId buildIdOf(absl::string_view service, absl::string_view softwareVersion)
{
    return std::max<BuildId>(stableHash(softwareVersion, stableHash(service)), 1);
}

bool ServiceVersions::recordPresent(BuildId build, TimePoint now)
{
    auto isSame = [build](const Sighting& sighting) { return sighting.build == build; };
    auto found = std::find_if(m_sightings.begin(), m_sightings.end(), isSame);
    if (found != m_sightings.end()) {
        found->absentSince.reset();
        return false;
    }
    if (m_sightings.size() >= maxSightings) {
        auto isEarlier = [](const Sighting& a, const Sighting& b) { return a.absentSince.value_or(TimePoint::max()) < b.absentSince.value_or(TimePoint::max()); };
        m_sightings.erase(std::min_element(m_sightings.begin(), m_sightings.end(), isEarlier));
    }
    bool isInitial = m_sightings.empty() && m_completeSince == TimePoint::min();
    m_sightings.push_back({ build, now, std::nullopt, isInitial });
    return true;
}

void ServiceVersions::recordAbsent(BuildId build, TimePoint now)
{
    for (Sighting& sighting : m_sightings) {
        if (sighting.build == build && !sighting.absentSince)
            sighting.absentSince = now;
    }
}

const ServiceVersions::Sighting* ServiceVersions::soleSighting(Duration span, TimePoint now) const
{
    const Sighting* sole = nullptr;
    for (const Sighting& sighting : m_sightings) {
        if (sighting.absentSince && now - *sighting.absentSince >= span)
            continue;
        if (sole)
            return nullptr;
        sole = &sighting;
    }
    return sole;
}

// A version that other entries may not know yet isn't concluded: until it is established, another
// new one may be used beside it.
bool ServiceVersions::isObserved(const Sighting& sighting, Duration span, TimePoint now) const
{
    return m_completeSince <= now - span && (sighting.isInitial || now - sighting.firstSeenAt >= establishingTime);
}

std::optional<BuildId> ServiceVersions::soleVersion(Duration span, TimePoint now) const
{
    const Sighting* sole = soleSighting(span, now);
    bool isKnownLongEnough = sole && (now - sole->firstSeenAt >= span || isObserved(*sole, span, now));
    return isKnownLongEnough ? std::optional<BuildId>(sole->build) : std::nullopt;
}

std::optional<BuildId> ServiceVersions::observedSoleVersion(Duration span, TimePoint now) const
{
    const Sighting* sole = soleSighting(span, now);
    return sole && isObserved(*sole, span, now) ? std::optional<BuildId>(sole->build) : std::nullopt;
}

bool ServiceVersions::hasOtherVersion(BuildId build, Duration span, TimePoint now) const
{
    return std::any_of(m_sightings.begin(), m_sightings.end(), [&](const Sighting& sighting) {
        return sighting.build != build && (!sighting.absentSince || now - *sighting.absentSince < span);
    });
}

bool ServiceVersions::isEstablished(BuildId build, TimePoint now) const
{
    if (m_recorded)
        return build == *m_recorded;
    return std::any_of(m_sightings.begin(), m_sightings.end(),
        [&](const Sighting& sighting) { return sighting.build == build && (sighting.isInitial || now - sighting.firstSeenAt >= establishingTime); });
}

void ServiceVersions::setRecorded(std::optional<BuildId> build, Duration span, TimePoint now)
{
    m_recorded = build;
    const Sighting* sole = soleSighting(span, now);
    if (!build || !sole || sole->build != *build)
        return;
    m_completeSince = TimePoint::min();
    for (Sighting& sighting : m_sightings)
        sighting.isInitial = sighting.isInitial || sighting.build == *build;
}

} // namespace catkinwing
