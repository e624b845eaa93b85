#include "catkinwing/Ingress/EndpointTable.h"

#include "catkinwing/Support/Hash.h"
#include "catkinwing/Support/Logging.h"
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <cmath>
#include <utility>

namespace catkinwing {

using std::chrono::milliseconds;

/// Time for which an endpoint is suspect after a failure. A crash causes further failures
/// at once, and most single failures are over by then.
static constexpr milliseconds suspectTime { 300 };
/// Weights of the moving average of failures: a failure moves it towards one, a success
/// towards zero. The average also halves every failureHalfLife, so that the endpoint gets
/// requests again.
static constexpr double failureWeight = 0.2;
static constexpr double successWeight = 0.1;
static constexpr std::chrono::seconds failureHalfLife { 3 };
/// Share of failures above which an endpoint is suspect. Two failures in quick succession
/// exceed it, and so does an endpoint at which a third of the attempts fail.
static constexpr double maxFailureShare = 0.3;
/// An endpoint that has requests in flight and sends nothing for this long is suspect until
/// it sends something. A response that isn't streamed takes up to 0.3 s and a full queue
/// adds 0.25 s; an engine that processes a long prompt still sends events of its other
/// requests.
static constexpr milliseconds maxSilence { 1'000 };
/// An attempt is moved away from an endpoint that sends nothing for this long. A sound endpoint may
/// be silent for a second or so and go on, and a request that was moved has one attempt less.
static constexpr milliseconds maxAttemptSilence { 2'000 };
/// An entry that receives nothing from any endpoint for this long, though it waits for
/// several of them, may be cut off. Endpoints that work at all send events every few tens of
/// milliseconds.
static constexpr milliseconds maxCommonSilence { 300 };
/// Minimum interval of the log events about one suspect endpoint.
static constexpr std::chrono::seconds suspectLogInterval { 2 };
/// Maximum number of removed endpoints whose start time is kept. An outdated registration
/// arrives at most seconds late, and far fewer endpoints are removed in that time.
static constexpr std::size_t maxRemovedStarts = 4'096;
/// Maximum number of starts that are recorded as leaving independently of their
/// registrations.
static constexpr std::size_t maxLeavingStarts = 4'096;
/// An endpoint has terminated this long after it announced that it is leaving. After that,
/// a registration under the same name that doesn't state a start time is used again.
static constexpr std::chrono::minutes maxLeaveTime { 2 };
/// Maximum length of a pause, so that a wrong value doesn't exclude an endpoint for ever.
static constexpr milliseconds maxPause = std::chrono::minutes(10);

EndpointTable::EndpointTable(std::string region, std::map<std::string, std::string> regionOfZone)
    : m_region(std::move(region))
    , m_regionOfZone(std::move(regionOfZone))
{
    for (const auto& [zone, name] : m_regionOfZone)
        m_regionByHash[reportedRegionHash(name)] = name;
}

// Iterates over a copy because each attempt removes itself from the map.
static void abortAttempts(const RoutedEndpoint& endpoint, AbortReason reason)
{
    auto callbacks = endpoint.abortCallbacks;
    for (const auto& [attempt, abortAttempt] : callbacks)
        abortAttempt(reason);
}

static void logEndpoint(const char* event, const RoutedEndpoint& endpoint)
{
    logChange(LogLevel::Info, event,
        { { "endpoint", endpoint.record.incarnation }, { "service", endpoint.record.service },
            { "software_version", endpoint.record.softwareVersion }, { "address", endpoint.record.address.toString() }, { "zone", endpoint.record.availabilityZone },
            { "in_flight", endpoint.requestsInFlight } });
}

// Includes the start time, so that the loads of two starts under one name are not added up.
std::string EndpointTable::startName(const EndpointRecord& record)
{
    return record.startedAt ? absl::StrCat(record.incarnation, "@", record.startedAt->count()) : record.incarnation;
}

static bool isBefore(const EndpointRecord& record, std::optional<milliseconds> start)
{
    return record.startedAt && start && *record.startedAt < *start;
}

// A process doesn't change its software version. A registration of the same start that states
// another one comes from another writer.
static bool isLaterStart(const EndpointRecord& known, const EndpointRecord& record)
{
    bool hasOtherVersion = known.service == record.service && known.softwareVersion != record.softwareVersion;
    bool isSameStart = known.startedAt && known.startedAt == record.startedAt;
    return isBefore(known, record.startedAt) || (hasOtherVersion && !isSameStart);
}

// The store delivers changes in order, but a registration from a relay or a stale read may
// be older than the known one.
bool EndpointTable::isOutdated(const EndpointRecord& record) const
{
    auto removed = m_removedStarts.find(record.incarnation);
    if (removed != m_removedStarts.end() && isBefore(record, removed->second))
        return true;
    auto known = m_endpoints.find(record.incarnation);
    return known != m_endpoints.end() && isBefore(record, known->second->record.startedAt);
}

void EndpointTable::put(EndpointRecord record, TimePoint now)
{
    if (isOutdated(record))
        return;
    std::shared_ptr<RoutedEndpoint> replaced;
    BuildId build = buildIdOf(record.service, record.softwareVersion);
    auto known = m_endpoints.find(record.incarnation);
    if (known != m_endpoints.end() && isLaterStart(known->second->record, record)) {
        replaced = known->second;
        logEndpoint("endpoint_started_again", *replaced);
        detach(record.incarnation, now);
    }
    recordVersion(record.service, build, now);
    std::shared_ptr<RoutedEndpoint>& entry = m_endpoints[record.incarnation];
    bool isNew = !entry;
    if (isNew) {
        entry = std::make_shared<RoutedEndpoint>();
        entry->hash = endpointHash(startName(record));
        m_endpointByHash[entry->hash] = entry;
        auto region = m_regionOfZone.find(record.availabilityZone);
        if (region != m_regionOfZone.end())
            entry->region = region->second;
        addToService(entry, record.service);
    }
    if (!isNew && entry->record.service != record.service) {
        Endpoints& before = m_endpointsByService[entry->record.service];
        before.erase(std::remove(before.begin(), before.end(), entry), before.end());
        addToService(entry, record.service);
    }
    bool wasLeaving = entry->isLeaving;
    entry->isMissing = false;
    entry->isLeaving = wasLeaving || record.isLeaving || hasAnnouncedLeaving(record, now);
    entry->isUnreadable = false;
    entry->coldUntil = std::max(entry->coldUntil, now + record.coldFor);
    // A registration without a start time is attributed to the known start.
    if (!record.startedAt)
        record.startedAt = entry->record.startedAt;
    entry->record = std::move(record);
    entry->build = build;
    if (isNew)
        logEndpoint("endpoint_added", *entry);
    if (!wasLeaving && entry->isLeaving)
        logEndpoint("endpoint_leaving", *entry);
    if (replaced)
        abortReplacedStart(*replaced, replaced->build != build);
}

void EndpointTable::addToService(const std::shared_ptr<RoutedEndpoint>& endpoint, const std::string& service)
{
    m_endpointsByService[service].push_back(endpoint);
    std::shared_ptr<ResponseTimes>& times = m_serviceTimes[service];
    if (!times)
        times = std::make_shared<ResponseTimes>();
    endpoint->serviceResponseTimes = times;
}

// Called after the new start is in the table, so that the aborted requests can choose it.
void EndpointTable::abortReplacedStart(RoutedEndpoint& endpoint, bool hasOtherVersion)
{
    endpoint.wasReplacedByOtherVersion = hasOtherVersion;
    if (m_replacedObserver)
        m_replacedObserver(endpoint);
    abortAttempts(endpoint, hasOtherVersion ? AbortReason::RestartedAtOtherVersion : AbortReason::Restarted);
}

void EndpointTable::recordUnreadable(const std::string& incarnation)
{
    auto found = m_endpoints.find(incarnation);
    if (found == m_endpoints.end() || found->second->isUnreadable)
        return;
    found->second->isUnreadable = true;
    logEndpoint("endpoint_unreadable", *found->second);
}

// Requests in flight at the endpoint hold a reference to it until they end.
void EndpointTable::detach(const std::string& incarnation, TimePoint now)
{
    auto found = m_endpoints.find(incarnation);
    std::shared_ptr<RoutedEndpoint> endpoint = found->second;
    endpoint->isLeaving = true;
    m_endpointByHash.erase(endpoint->hash);
    Endpoints& list = m_endpointsByService[endpoint->record.service];
    list.erase(std::remove(list.begin(), list.end(), endpoint), list.end());
    m_endpoints.erase(found);
    if (!hasBuild(endpoint->record.service, endpoint->build))
        versionsOf(endpoint->record.service).recordAbsent(endpoint->build, now);
}

void EndpointTable::remove(const std::string& incarnation, TimePoint now)
{
    auto found = m_endpoints.find(incarnation);
    if (found == m_endpoints.end())
        return;
    logEndpoint("endpoint_removed", *found->second);
    if (found->second->record.startedAt) {
        if (m_removedStarts.size() >= maxRemovedStarts)
            m_removedStarts.clear();
        m_removedStarts[incarnation] = *found->second->record.startedAt;
    }
    detach(incarnation, now);
}

void EndpointTable::recordMissing(const std::string& incarnation)
{
    auto found = m_endpoints.find(incarnation);
    if (found == m_endpoints.end() || found->second->isMissing)
        return;
    found->second->isMissing = true;
    logEndpoint("endpoint_missing", *found->second);
}

void EndpointTable::removeMissing(TimePoint now)
{
    std::vector<std::string> missing;
    for (const auto& [incarnation, endpoint] : m_endpoints) {
        if (endpoint->isMissing)
            missing.push_back(incarnation);
    }
    for (const std::string& incarnation : missing)
        remove(incarnation, now);
}

void EndpointTable::setEvacuated(std::set<std::string> zones, const RouteTable* routes, TimePoint now)
{
    for (const auto& [incarnation, endpoint] : m_endpoints) {
        const std::string& zone = endpoint->record.availabilityZone;
        bool isRestored = m_evacuatedZones.count(zone) > 0 && zones.count(zone) == 0;
        const ServiceSettings* service = routes ? routes->findService(endpoint->record.service) : nullptr;
        // The endpoint got no requests during the evacuation and may have been restarted, so
        // it is treated as cold.
        if (isRestored && service)
            endpoint->coldUntil = std::max(endpoint->coldUntil, now + service->warmup);
    }
    if (zones != m_evacuatedZones)
        logChange(LogLevel::Info, "evacuated_zones_changed", { { "zones", zones } });
    m_evacuatedZones = std::move(zones);
}

void EndpointTable::setSharers(std::vector<RateSharer> sharers, std::string self, TimePoint now)
{
    bool isSharer = std::any_of(sharers.begin(), sharers.end(), [&self](const RateSharer& sharer) { return sharer.name == self; });
    if (isSharer && !m_isSharer)
        m_joinedSharersAt = now;
    m_isSharer = isSharer;
    m_limits.setSharers(sharers, self, now);
    std::vector<std::string> listed;
    for (const RateSharer& sharer : sharers) {
        if (sharer.isListed)
            listed.push_back(sharer.name);
    }
    if (listed != m_listedSharers)
        ++m_listedSharersVersion;
    m_listedSharers = std::move(listed);
    m_sharers = std::move(sharers);
    m_ownName = std::move(self);
}

void EndpointTable::setColdTolerance(double ratio, double slack)
{
    m_coldTolerance = { 0, ratio, slack };
}

void EndpointTable::recordLeaving(RoutedEndpoint& endpoint, TimePoint now)
{
    if (m_leavingStartExpiry.size() >= maxLeavingStarts)
        absl::erase_if(m_leavingStartExpiry, [now](const auto& start) { return now >= start.second; });
    if (m_leavingStartExpiry.size() < maxLeavingStarts)
        m_leavingStartExpiry[startName(endpoint.record)] = now + maxLeaveTime;
    if (!std::exchange(endpoint.isLeaving, true))
        logEndpoint("endpoint_leaving", endpoint);
}

bool EndpointTable::hasAnnouncedLeaving(const EndpointRecord& record, TimePoint now) const
{
    auto announced = m_leavingStartExpiry.find(startName(record));
    return announced != m_leavingStartExpiry.end() && now < announced->second;
}

void EndpointTable::recordPause(RoutedEndpoint& endpoint, milliseconds pause, TimePoint now)
{
    if (now >= endpoint.pausedUntil)
        logEndpoint("endpoint_paused", endpoint);
    endpoint.pausedUntil = std::max(endpoint.pausedUntil, now + std::min(pause, maxPause));
}

std::shared_ptr<RoutedEndpoint> EndpointTable::findByHash(std::uint32_t hash) const
{
    auto found = m_endpointByHash.find(hash);
    return found == m_endpointByHash.end() ? nullptr : found->second.lock();
}

Duration EndpointTable::minRemainingPause(absl::string_view service, TimePoint now) const
{
    auto found = m_endpointsByService.find(service);
    std::optional<Duration> shortest;
    if (found == m_endpointsByService.end())
        return Duration::zero();
    for (const auto& endpoint : found->second) {
        if (endpoint->region != m_region || !isUsable(*endpoint))
            continue;
        Duration left = std::max(endpoint->pausedUntil - now, Duration::zero());
        shortest = shortest ? std::min(*shortest, left) : left;
    }
    return shortest.value_or(Duration::zero());
}

void EndpointTable::recordAttemptStarted(RoutedEndpoint& endpoint, TimePoint now) const
{
    if (endpoint.requestsInFlight == 0)
        endpoint.silentSince = now;
    ++endpoint.requestsInFlight;
}

// An endpoint that crashed, is paused or is partitioned may report no error, and is then
// detected only because it sends nothing.
bool EndpointTable::isLocallySuspect(const RoutedEndpoint& endpoint, TimePoint now)
{
    bool isSilent = endpoint.requestsInFlight > 0 && now - endpoint.silentSince > maxSilence;
    return isSilent || now < endpoint.suspectUntil || failureShareOf(endpoint, now) > maxFailureShare;
}

// Silence that a single entry observes may come from a long prefill or from this entry's own
// network path. If most of the entries that use an endpoint suspect it, the endpoint is at
// fault.
bool EndpointTable::isSuspect(const RoutedEndpoint& endpoint, TimePoint now) const
{
    bool hasFailedLocally = now < endpoint.suspectUntil || failureShareOf(endpoint, now) > maxFailureShare;
    if (hasFailedLocally)
        return true;
    bool isSilentLocally = isLocallySuspect(endpoint, now);
    EndpointWorkload others = m_peerLoads.sumFor(endpoint.hash);
    std::uint32_t suspicions = others.suspicions + (isSilentLocally ? 1 : 0);
    std::uint32_t users = others.users + (endpoint.requestsInFlight > 0 ? 1 : 0);
    return suspicions > 0 && suspicions * 2 > users;
}

// An engine that processes long prompts before it sends an event of any request is silent for
// the duration of the prefill, so the predicted wait is added to the limit.
bool EndpointTable::isSilentFor(const RoutedEndpoint& endpoint, Duration limit, TimePoint now) const
{
    return now - endpoint.silentSince > limit + predictWait(responseEstimateOf(endpoint, now), pendingWork(endpoint), 0);
}

void EndpointTable::abortUnresponsive(TimePoint now)
{
    std::vector<std::shared_ptr<RoutedEndpoint>> silent;
    for (const auto& [incarnation, endpoint] : m_endpoints) {
        bool isSilent = !endpoint->abortCallbacks.empty() && isSilentFor(*endpoint, maxAttemptSilence, now);
        if (isSilent && (isSuspect(*endpoint, now) || isCutOff(endpoint->record.service, now)))
            silent.push_back(endpoint);
    }
    for (const auto& endpoint : silent)
        abortAttempts(*endpoint, AbortReason::Unresponsive);
}

bool EndpointTable::recordBytesReceived(RoutedEndpoint& endpoint, TimePoint now)
{
    endpoint.silentSince = now;
    return m_reach.recordReceived(endpoint.record.service, now);
}

void EndpointTable::recordUnreached(const RoutedEndpoint& endpoint, TimePoint now)
{
    m_reach.recordFailure(endpoint.record.service, endpoint.hash, now);
}

void EndpointTable::recordSilentEndpoints(TimePoint now)
{
    if (now - m_reach.lastReceivedAt() <= maxCommonSilence)
        return;
    for (const auto& [incarnation, endpoint] : m_endpoints) {
        if (endpoint->requestsInFlight > 0 && isSilentFor(*endpoint, maxCommonSilence, now))
            recordUnreached(*endpoint, now);
    }
}

bool EndpointTable::hasUntriedEndpoint(absl::string_view service, TimePoint now) const
{
    auto found = m_endpointsByService.find(service);
    if (found == m_endpointsByService.end())
        return false;
    return std::any_of(found->second.begin(), found->second.end(), [&](const auto& endpoint) {
        return endpoint->region == m_region && isAvailable(*endpoint, now) && !m_reach.hasFailed(service, endpoint->hash);
    });
}

void EndpointTable::resetSilence(TimePoint now)
{
    for (const auto& [incarnation, endpoint] : m_endpoints)
        endpoint->silentSince = now;
}

std::vector<EndpointWorkload> EndpointTable::ownWorkloads(TimePoint now) const
{
    constexpr std::int64_t tokensPerUnit = 1'000;
    std::vector<EndpointWorkload> loads;
    for (const auto& [incarnation, endpoint] : m_endpoints) {
        // An entry that is cut off can't tell which endpoints fail.
        bool isSuspect = isLocallySuspect(*endpoint, now) && !isCutOff(endpoint->record.service, now);
        if (endpoint->requestsInFlight == 0 && !isSuspect)
            continue;
        auto kilotokens = static_cast<std::uint32_t>((endpoint->unprefilledTokens + tokensPerUnit / 2) / tokensPerUnit);
        auto heldKilotokens = static_cast<std::uint32_t>((endpoint->heldTokens + tokensPerUnit / 2) / tokensPerUnit);
        loads.push_back({ endpoint->hash, endpoint->requestsInFlight, kilotokens, isSuspect ? 1u : 0u, 1, heldKilotokens });
    }
    return loads;
}

bool EndpointTable::isUsable(const RoutedEndpoint& endpoint) const
{
    return !endpoint.isLeaving && !endpoint.isUnreadable && m_evacuatedZones.count(endpoint.record.availabilityZone) == 0;
}

double EndpointTable::failureShareOf(const RoutedEndpoint& endpoint, TimePoint now)
{
    double halfLives = std::chrono::duration<double>(now - endpoint.failureShareUpdatedAt) / failureHalfLife;
    return endpoint.failureShare * std::exp2(-halfLives);
}

void EndpointTable::recordAttemptEnded(RoutedEndpoint& endpoint, bool isFailure, TimePoint now)
{
    --endpoint.requestsInFlight;
    bool wasSuspect = isLocallySuspect(endpoint, now);
    double share = failureShareOf(endpoint, now);
    share += isFailure ? failureWeight * (1 - share) : -successWeight * share;
    endpoint.failureShare = share;
    endpoint.failureShareUpdatedAt = now;
    if (isFailure)
        endpoint.suspectUntil = now + suspectTime;
    bool shouldLog = share > maxFailureShare && now >= endpoint.nextSuspectLog;
    if (!isFailure || wasSuspect || !shouldLog)
        return;
    endpoint.nextSuspectLog = now + suspectLogInterval;
    logEndpoint("endpoint_suspect", endpoint);
}

std::map<std::string, std::size_t> EndpointTable::usableByRegion(absl::string_view service, TimePoint now, std::optional<BuildId> build) const
{
    std::map<std::string, std::size_t> counts;
    auto found = m_endpointsByService.find(service);
    if (found == m_endpointsByService.end())
        return counts;
    for (const auto& endpoint : found->second) {
        bool isEligible = !build || endpoint->build == *build;
        if (isEligible && isAvailable(*endpoint, now) && !endpoint->region.empty())
            ++counts[endpoint->region];
    }
    return counts;
}

void EndpointTable::forEach(const std::function<void(RoutedEndpoint&)>& visit) const
{
    for (const auto& [incarnation, endpoint] : m_endpoints)
        visit(*endpoint);
}

} // namespace catkinwing
