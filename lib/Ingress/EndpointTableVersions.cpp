// Which software versions endpoints have, and how far that is certain.
#include "catkinwing/Ingress/EndpointTable.h"

#include "catkinwing/PeerProtocol/RegionReport.h"
#include <algorithm>

namespace catkinwing {

using std::chrono::milliseconds;

/// Older knowledge says nothing of the versions that serve: others may have known a new one
/// for long enough to use it.
static constexpr milliseconds maxKnowledgeAge { 3'000 };
/// While the store answers, knowledge is hardly ever older than this.
static constexpr milliseconds agingKnowledge { 2'000 };
/// A process that ends takes longer than this until its successor accepts connections.
static constexpr milliseconds minRestartTime { 200 };
/// An endpoint that starts again is registered within this time.
static constexpr milliseconds registrationTime { 1'000 };
/// Bytes received within this time after a connection broke may have been sent before.
static constexpr milliseconds bytesInFlight { 50 };

bool EndpointTable::hasBuild(absl::string_view service, BuildId build) const
{
    auto found = m_endpointsByService.find(service);
    if (found == m_endpointsByService.end())
        return false;
    return std::any_of(found->second.begin(), found->second.end(), [build](const auto& endpoint) { return endpoint->build == build; });
}

std::optional<BuildId> EndpointTable::soleVersion(absl::string_view service, TimePoint now) const
{
    auto found = m_versions.find(service);
    if (found == m_versions.end() || m_knowledgeAge > maxKnowledgeAge)
        return std::nullopt;
    return found->second.soleVersion(m_streamLifetime, now);
}

bool EndpointTable::isConcludedByAll(absl::string_view service, BuildId build, TimePoint now) const
{
    return m_knowledgeAge <= agingKnowledge && soleVersion(service, now) == build;
}

std::optional<BuildId> EndpointTable::observedSoleVersion(absl::string_view service, TimePoint now) const
{
    auto found = m_versions.find(service);
    if (found == m_versions.end() || m_knowledgeAge > agingKnowledge)
        return std::nullopt;
    return found->second.observedSoleVersion(m_streamLifetime, now);
}

// Entries forget a version that is gone at different times. Those that still remember it don't
// contradict one that has forgotten it.
bool EndpointTable::hasOtherVersion(absl::string_view service, BuildId build, TimePoint now) const
{
    auto found = m_versions.find(service);
    return found != m_versions.end() && found->second.hasOtherVersion(build, m_streamLifetime / 2, now);
}

ServiceVersions& EndpointTable::versionsOf(const std::string& service)
{
    return m_versions.try_emplace(service, m_registrationsCompleteSince).first->second;
}

void EndpointTable::recordVersion(const std::string& service, BuildId build, TimePoint now)
{
    ServiceVersions& versions = versionsOf(service);
    if (!versions.recordPresent(build, now))
        return;
    auto recorded = m_recordedVersions.find(service);
    if (recorded != m_recordedVersions.end())
        versions.setRecorded(recorded->second, m_streamLifetime, now);
}

void EndpointTable::setRecordedVersions(std::map<std::string, BuildId> builds, TimePoint now)
{
    m_recordedVersions = std::move(builds);
    for (auto& [service, versions] : m_versions) {
        auto recorded = m_recordedVersions.find(service);
        bool isRecorded = recorded != m_recordedVersions.end();
        versions.setRecorded(isRecorded ? std::optional<BuildId>(recorded->second) : std::nullopt, m_streamLifetime, now);
    }
}

void EndpointTable::recordHistoryGap(TimePoint now)
{
    m_registrationsCompleteSince = now;
    for (auto& [service, versions] : m_versions)
        versions.recordGap(now);
}

std::optional<BuildId> EndpointTable::soleVersionByHash(std::uint32_t service, TimePoint now) const
{
    for (const auto& [name, versions] : m_versions) {
        if (serviceHash(name) == service)
            return soleVersion(name, now);
    }
    return std::nullopt;
}

// A process that ends breaks its connections, and its successor may be reached under the same
// name and address before its registration is known here. Once this entry knows the
// registrations of a time by which the successor would have been registered, there is none.
// An entry that hasn't used the endpoint meanwhile sees no broken connection. That matters
// if a registration can't become known for long.
bool EndpointTable::mayHaveRestarted(const RoutedEndpoint& endpoint, TimePoint now) const
{
    if (endpoint.wasReplacedByOtherVersion)
        return true;
    if (m_knowledgeAge > agingKnowledge && now > std::max(endpoint.verifiedUntil, now - m_knowledgeAge) + minRestartTime)
        return true;
    return endpoint.connectionLostAt != TimePoint {} && now - m_knowledgeAge < endpoint.connectionLostAt + registrationTime;
}

void EndpointTable::recordReportedLosses(const CrashReport& report, TimePoint now) const
{
    for (const CrashNotice& notice : report.notices) {
        for (const ToldCrash& crash : notice.crashes) {
            if (std::shared_ptr<RoutedEndpoint> endpoint = findByHash(crash.endpoint))
                endpoint->connectionLostAt = std::max(endpoint->connectionLostAt, now - crash.age);
        }
    }
}

// What arrives on a connection that was open before another one broke comes from the same
// process.
void EndpointTable::recordConnectionAlive(RoutedEndpoint& endpoint, TimePoint sentAt, bool isVerified, TimePoint now)
{
    if (isVerified)
        endpoint.verifiedUntil = now;
    if (sentAt < endpoint.connectionLostAt && now - endpoint.connectionLostAt > bytesInFlight)
        endpoint.connectionLostAt = {};
}

bool EndpointTable::hasEstablishedVersion(const Endpoints& endpoints, const ServiceVersions& versions, TimePoint now) const
{
    return std::any_of(endpoints.begin(), endpoints.end(), [&](const auto& endpoint) {
        return endpoint->region == m_region && isAvailable(*endpoint, now) && versions.isEstablished(endpoint->build, now);
    });
}

} // namespace catkinwing
