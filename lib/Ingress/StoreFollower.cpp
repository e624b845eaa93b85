#include "StoreFollower.h"

#include "catkinwing/Ingress/EntryCountWriter.h"
#include "catkinwing/Support/Logging.h"
#include <absl/strings/match.h>
#include <absl/strings/strip.h>
#include <algorithm>
#include <utility>

namespace catkinwing {

using std::chrono::milliseconds;

/// Registrations that expired while the store was unreachable are written again
/// within about two seconds of its recovery. Those still missing after this time
/// are removed.
static constexpr milliseconds missingGracePeriod { 2'300 };
static constexpr milliseconds firstRetryDelay { 200 };
/// Max delay between retries of the store. Together with the grace period it stays below
/// the five seconds within which an entry must recover. A shorter delay costs more calls, which are billed also while the
/// store is unreachable.
static constexpr milliseconds maxRetryDelay { 1'500 };
/// Interval at which watches are renewed. The interval is long because the store client
/// detects an unresponsive watch itself.
static constexpr std::chrono::hours watchRenewalInterval { 24 };
/// Min interval between log lines about registrations that can't be parsed.
static constexpr milliseconds refusalLogInterval { 1'000 };

// Uses one watch over all keys: every entry needs the keys of operators, endpoints and
// entries, and each pending watch is a billed call.
static ConfigSourceOptions sourceOptions()
{
    ConfigSourceOptions options;
    options.prefix = "";
    options.retryDelay = firstRetryDelay;
    options.longestRetryDelay = maxRetryDelay;
    options.renewWatchEvery = watchRenewalInterval;
    return options;
}

StoreFollower::StoreFollower(Store& store, Scheduler& scheduler, Random& random, std::string entryPrefix, IngressContext& parts,
    std::function<void(const std::string& key)> onEntryRemoved, std::function<void()> onConfiguration)
    : m_scheduler(scheduler)
    , m_dialect(parts.dialect)
    , m_parts(parts)
    , m_entryPrefix(std::move(entryPrefix))
    , m_onEntryRemoved(std::move(onEntryRemoved))
    , m_onConfiguration(std::move(onConfiguration))
    , m_source(store, scheduler, random, sourceOptions(), [this](const std::vector<ConfigChange>& changes) { applyChanges(changes); })
{
}

// A client resumes a stream within its own timeout, which may cover several attempts up to
// the timeout of the route.
static Duration streamLifetimeOf(const RouteTable& routes)
{
    constexpr milliseconds minLifetime { 30'000 };
    constexpr milliseconds maxLifetime { 300'000 };
    milliseconds longest { 0 };
    for (const Route& route : routes.routes()) {
        if (route.isResumable)
            longest = std::max(longest, route.timeout);
    }
    return std::clamp(longest * 2, minLifetime, maxLifetime);
}

bool StoreFollower::isStoreUnstable() const
{
    std::optional<TimePoint> reachedAt = m_source.reachedAt();
    return !reachedAt || now() - std::max(*reachedAt, m_lastHistoryGapAt) < missingGracePeriod;
}

void StoreFollower::runHousekeeping()
{
    bool isReached = m_source.reachedAt().has_value();
    if (isReached != m_wasReached)
        logChange(isReached ? LogLevel::Info : LogLevel::Warning, isReached ? "store_reached" : "store_lost", { { "era", m_source.revision().era }, { "revision", m_source.revision().number } });
    m_wasReached = isReached;
    applyChanges({});
    if (isStoreUnstable())
        return;
    applyDeferredEvacuations();
    // The grace period starts when the store recovers, however late a listing shows
    // which registrations are missing: the recovery time of an entry must be bounded.
    m_parts.endpoints.removeMissing(now());
    m_parts.entries.removeMissing(now());
}

// A copy lacks what was acknowledged after it was taken. Its writers write that again, so that
// for the grace period what is known counts more than what the copy lacks.
void StoreFollower::recordNewEra()
{
    std::int64_t era = m_source.revision().era;
    if (!hasListedStore() || (m_era && era <= *m_era))
        return;
    bool isFirst = !std::exchange(m_era, era);
    if (isFirst) {
        m_parts.versionRecord.storeEra = era;
        return;
    }
    m_eraBeganAt = now();
    recordHistoryGap();
    m_parts.versionRecord.storeEra = era;
    m_parts.metrics.count("store_eras");
    logChange(LogLevel::Warning, "store_returned_from_copy", { { "era", era }, { "revision", m_source.revision().number } });
}

void StoreFollower::applyChanges(const std::vector<ConfigChange>& changes)
{
    recordNewEra();
    if (m_appliedLists != m_source.counters().listsApplied)
        recordListing(changes);
    for (const ConfigChange& change : changes)
        applyChange(change);
    // The keys of a listing come in the order in which they were written.
    if (std::exchange(m_mayVersionRecordDiffer, false))
        applyVersionRecord(m_parts);
}

// Entries leave keys in the store. Without any in the first listing, none has run before, and no
// stream has begun. Any other listing follows a time of which not every change is known.
void StoreFollower::recordListing(const std::vector<ConfigChange>& changes)
{
    bool isFirst = m_appliedLists == 0;
    m_appliedLists = m_source.counters().listsApplied;
    auto isWrittenByEntry = [this](const ConfigChange& change) {
        return change.path == entryCountKey || change.path == versionRecordKey || absl::StartsWith(change.path, m_entryPrefix);
    };
    if (isFirst && std::none_of(changes.begin(), changes.end(), isWrittenByEntry))
        m_parts.endpoints.recordFirstStart();
    else
        recordUnseenRegistrations();
}

void StoreFollower::recordUnseenRegistrations()
{
    m_parts.endpoints.recordHistoryGap(now());
    m_mayVersionRecordDiffer = true;
}

void StoreFollower::recordHistoryGap()
{
    m_lastHistoryGapAt = now();
    recordUnseenRegistrations();
}

void StoreFollower::logKept(const ConfigChange& change)
{
    m_parts.metrics.count("kept_against_copy");
    logChange(LogLevel::Warning, "kept_against_copy",
        { { "key", change.path }, { "era", change.revision.era }, { "revision", change.revision.number }, { "copy", change.text ? "restored" : "missing" } });
}

void StoreFollower::applyChange(const ConfigChange& change)
{
    const StoreLayout& layout = m_dialect.layout;
    absl::string_view key = change.path;
    if (key == layout.configurationKey)
        applyConfiguration(change);
    else if (absl::ConsumePrefix(&key, layout.evacuationPrefix))
        applyEvacuation(std::string(key), change);
    else if (absl::ConsumePrefix(&key, layout.endpointPrefix))
        applyEndpoint(std::string(key), change);
    else if (key == entryCountKey)
        applyEntryCount(change);
    else if (key == versionRecordKey)
        applyVersionRecordChange(change);
    else if (absl::ConsumePrefix(&key, m_entryPrefix))
        applyEntry(std::string(key), change);
}

// A zone that was evacuated or taken back in the lost part of the history stays so until that is
// written again. If it isn't, the operator has decided otherwise since.
void StoreFollower::applyEvacuation(const std::string& zone, const ConfigChange& change)
{
    bool isEvacuated = change.text.has_value();
    bool isEraNew = m_eraBeganAt != TimePoint {} && now() - m_eraBeganAt < missingGracePeriod;
    if (change.isRestored || (!isEvacuated && isEraNew)) {
        m_deferredEvacuations[zone] = isEvacuated;
        logKept(change);
        return;
    }
    m_deferredEvacuations.erase(zone);
    setEvacuated(zone, isEvacuated);
}

void StoreFollower::applyDeferredEvacuations()
{
    for (const auto& [zone, isEvacuated] : std::exchange(m_deferredEvacuations, {}))
        setEvacuated(zone, isEvacuated);
}

void StoreFollower::setEvacuated(const std::string& zone, bool isEvacuated)
{
    if (isEvacuated)
        m_evacuatedZones.insert(zone);
    else
        m_evacuatedZones.erase(zone);
    m_parts.endpoints.setEvacuated(m_evacuatedZones, m_parts.routes.get(), now());
}

static bool hasSameServices(const Route& a, const Route& b)
{
    auto isSame = [](const WeightedService& x, const WeightedService& y) { return x.service == y.service; };
    return std::equal(a.services.begin(), a.services.end(), b.services.begin(), b.services.end(), isSame);
}

// A route that is added may take paths over from another one.
std::vector<std::string> movedRoutes(const RouteTable& before, const RouteTable& next)
{
    absl::flat_hash_map<std::string, const Route*> known;
    for (const Route& route : before.routes())
        known[route.name] = &route;
    std::vector<std::string> moved;
    for (const Route& route : next.routes()) {
        auto found = known.find(route.name);
        if (route.isResumable && (found == known.end() || !hasSameServices(*found->second, route)))
            moved.push_back(route.name);
    }
    return moved;
}

void StoreFollower::recordMovedRoutes(const RouteTable& next)
{
    if (!m_parts.routes)
        return;
    absl::erase_if(m_parts.routesMovedAt, [this](const auto& moved) { return now() - moved.second >= m_parts.endpoints.streamLifetime(); });
    for (const std::string& route : movedRoutes(*m_parts.routes, next))
        m_parts.routesMovedAt[route] = now();
}

// A version that isn't newer or can't be parsed is ignored; the current one stays in
// force.
void StoreFollower::applyConfiguration(const ConfigChange& change)
{
    if (!change.text) {
        logChange(LogLevel::Warning, "configuration_deleted", { { "revision", change.revision.number } });
        return;
    }
    ConfigResult<RouteTable> table = m_dialect.readRouteTable(*change.text);
    for (const ConfigFault& fault : table.faults)
        logChange(LogLevel::Error, "configuration_refused", { { "revision", change.revision.number }, { "at", fault.pointer }, { "fault", fault.message } });
    if (!table.ok())
        return;
    std::int64_t currentVersion = m_parts.routes ? m_parts.routes->version() : 0;
    if (m_parts.routes && table.document->version() <= currentVersion)
        return;
    logChange(LogLevel::Info, "configuration_in_force",
        { { "version", table.document->version() }, { "before", currentVersion }, { "era", change.revision.era }, { "revision", change.revision.number }, { "routes", table.document->routes().size() } });
    recordMovedRoutes(*table.document);
    m_parts.routes = std::make_shared<const RouteTable>(std::move(*table.document));
    m_parts.endpoints.setStreamLifetime(streamLifetimeOf(*m_parts.routes));
    m_mayVersionRecordDiffer = true;
    if (m_onConfiguration)
        m_onConfiguration();
}

// An endpoint that has left or ended in the lost part of the history doesn't write its restored
// registration again, which lapses later. One that lives writes its own again.
void StoreFollower::applyEndpoint(const std::string& incarnation, const ConfigChange& change)
{
    if (change.isRestored) {
        logKept(change);
        return;
    }
    if (!change.text) {
        if (isStoreUnstable())
            m_parts.endpoints.recordMissing(incarnation);
        else
            m_parts.endpoints.remove(incarnation, now());
        return;
    }
    absl::StatusOr<EndpointRecord> record = m_dialect.readEndpoint(incarnation, *change.text);
    if (record.ok())
        m_parts.endpoints.put(std::move(*record), now());
    else
        rejectEndpoint(incarnation, record.status());
}

// The rate of log lines is limited, since other writers can write invalid
// registrations at any rate.
void StoreFollower::rejectEndpoint(const std::string& incarnation, const absl::Status& fault)
{
    m_parts.endpoints.recordUnreadable(incarnation);
    m_parts.metrics.count("endpoint_registrations_refused");
    if (now() < m_nextRefusalLog)
        return;
    m_nextRefusalLog = now() + refusalLogInterval;
    logChange(LogLevel::Error, "endpoint_refused", { { "endpoint", incarnation }, { "fault", std::string(fault.message()) } });
}

// A value that can't be read is written anew.
void StoreFollower::applyEntryCount(const ConfigChange& change)
{
    std::optional<std::size_t> count = readEntryCount(change.text.value_or(""));
    m_parts.entries.recordStoredCount({ count.value_or(0), change.text ? change.revision : StoreRevision {} }, now());
}

// A value that can't be read states nothing, and is written anew.
void StoreFollower::applyVersionRecordChange(const ConfigChange& change)
{
    m_parts.versionRecord.record = readVersionRecord(change.text.value_or("")).value_or(VersionRecord {});
    m_parts.versionRecord.revision = change.text ? change.revision : StoreRevision {};
    m_mayVersionRecordDiffer = true;
}

void StoreFollower::applyEntry(const std::string& name, const ConfigChange& change)
{
    if (change.isRestored) {
        logKept(change);
        return;
    }
    if (!change.text) {
        m_onEntryRemoved(change.path);
        if (isStoreUnstable())
            m_parts.entries.recordMissing(name);
        else
            m_parts.entries.remove(name, now());
        return;
    }
    absl::StatusOr<EntryRecord> record = readEntryRecord(*change.text);
    if (record.ok())
        m_parts.entries.put(name, std::move(*record));
    else
        logChange(LogLevel::Error, "entry_refused", { { "entry", name }, { "fault", std::string(record.status().message()) } });
}

} // namespace catkinwing
