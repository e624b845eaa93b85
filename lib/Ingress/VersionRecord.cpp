#include "catkinwing/Ingress/VersionRecord.h"

#include "catkinwing/Ingress/IngressContext.h"
#include "catkinwing/Support/Hash.h"
#include "catkinwing/Support/Logging.h"
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace catkinwing {

using std::chrono::milliseconds;

/// Services whose endpoints register together are written as one change.
static constexpr milliseconds settleTime { 500 };
/// The entries write one after the other, so that the second finds it written.
static constexpr milliseconds delayPerRank { 200 };
/// A statement that has become wrong is withdrawn sooner: endpoints of the new version take no
/// streams before.
static constexpr milliseconds withdrawalDelayPerRank { 100 };
static constexpr std::size_t maxDelayedRank = 20;
static constexpr milliseconds retryDelay { 1'000 };
/// Bound on the length of a record, which every entry reads. Services beyond it aren't recorded.
static constexpr std::size_t maxRecordBytes = 65'536;
/// Bytes of a service's row besides its name.
static constexpr std::size_t bytesPerRow = 24;

std::string writeVersionRecord(const VersionRecord& record)
{
    nlohmann::json builds = nlohmann::json::object();
    for (const auto& [service, build] : record.builds)
        builds[service] = absl::StrCat(absl::Hex(build));
    nlohmann::json text { { "era", record.era }, { "configuration", record.configuration }, { "builds", std::move(builds) } };
    return text.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

static std::optional<BuildId> readBuild(const nlohmann::json& value)
{
    BuildId build = 0;
    const auto* text = value.get_ptr<const std::string*>();
    if (!text || !absl::SimpleHexAtoi(*text, &build) || build == 0)
        return std::nullopt;
    return build;
}

std::optional<VersionRecord> readVersionRecord(absl::string_view text)
{
    nlohmann::json json = nlohmann::json::parse(text.begin(), text.end(), nullptr, false);
    if (!json.is_object() || !json["era"].is_number_integer() || !json["configuration"].is_number_integer() || !json["builds"].is_object())
        return std::nullopt;
    VersionRecord record { json["era"], json["configuration"], {} };
    for (const auto& [service, value] : json["builds"].items()) {
        std::optional<BuildId> build = readBuild(value);
        if (!build)
            return std::nullopt;
        record.builds[service] = *build;
    }
    return record;
}

static bool isInForce(const StoredVersionRecord& stored, const RouteTable& routes)
{
    return stored.revision.number != 0 && stored.record.era == stored.storeEra && stored.record.configuration == routes.version();
}

void applyVersionRecord(IngressContext& parts)
{
    static const std::map<std::string, BuildId> none;
    bool hasRecord = parts.routes && isInForce(parts.versionRecord, *parts.routes);
    parts.endpoints.setRecordedVersions(hasRecord ? parts.versionRecord.record.builds : none, parts.scheduler.clock().now());
}

// Returns the services of whose resumable streams the version can be concluded: a route with
// several services, or one that was moved, leaves open which service began a stream.
static std::set<std::string> concludableServices(const IngressContext& parts, TimePoint now)
{
    std::set<std::string> services;
    std::set<std::string> moved;
    for (const Route& route : parts.routes->routes()) {
        if (!route.isResumable || route.services.size() != 1)
            continue;
        const std::string& service = route.services.front().service;
        auto movedAt = parts.routesMovedAt.find(route.name);
        bool wasMoved = movedAt != parts.routesMovedAt.end() && now - movedAt->second < parts.endpoints.streamLifetime();
        (wasMoved ? moved : services).insert(service);
    }
    for (const std::string& service : moved)
        services.erase(service);
    return services;
}

VersionRecord nextVersionRecord(const IngressContext& parts, TimePoint now)
{
    VersionRecord next { parts.versionRecord.storeEra, parts.routes->version(), {} };
    if (isInForce(parts.versionRecord, *parts.routes)) {
        for (const auto& [service, build] : parts.versionRecord.record.builds) {
            if (!parts.endpoints.hasOtherVersion(service, build, now))
                next.builds[service] = build;
        }
    }
    std::size_t bytes = 0;
    for (const auto& [service, build] : next.builds)
        bytes += service.size() + bytesPerRow;
    for (const std::string& service : concludableServices(parts, now)) {
        std::optional<BuildId> build = parts.endpoints.observedSoleVersion(service, now);
        if (build && bytes + service.size() + bytesPerRow <= maxRecordBytes && next.builds.emplace(service, *build).second)
            bytes += service.size() + bytesPerRow;
    }
    return next;
}

VersionRecordWriter::VersionRecordWriter(Store& store, IngressContext& parts)
    : m_store(store)
    , m_parts(parts)
{
}

VersionRecordWriter::~VersionRecordWriter()
{
    *m_isAlive = false;
}

// A record that isn't in force states nothing, so that it is replaced only by one that does.
void VersionRecordWriter::tick()
{
    if (!m_parts.routes)
        return;
    TimePoint now = m_parts.scheduler.clock().now();
    VersionRecord next = nextVersionRecord(m_parts, now);
    const VersionRecord& stored = m_parts.versionRecord.record;
    bool isStoredInForce = isInForce(m_parts.versionRecord, *m_parts.routes);
    if (isStoredInForce ? next.builds == stored.builds : next.builds.empty()) {
        m_differsSince.reset();
        return;
    }
    if (!m_differsSince)
        m_differsSince = now;
    bool withdraws = isStoredInForce && std::any_of(stored.builds.begin(), stored.builds.end(), [&next](const auto& row) {
        auto kept = next.builds.find(row.first);
        return kept == next.builds.end() || kept->second != row.second;
    });
    auto rank = static_cast<int>(std::min(m_parts.entries.orderFor(stableHash(versionRecordKey), {}).rank, maxDelayedRank));
    Duration delay = withdraws ? withdrawalDelayPerRank * rank : settleTime + delayPerRank * rank;
    if (now - *m_differsSince < delay || now < m_writeAgainAt)
        return;
    m_writeAgainAt = now + retryDelay;
    write(next);
}

// The watch tells the outcome.
void VersionRecordWriter::write(const VersionRecord& record)
{
    auto handleResult = [this, alive = m_isAlive, services = record.builds.size()](const SwapResult& result) {
        if (!*alive)
            return;
        if (result.outcome == SwapOutcome::Conflict)
            readStoredRevision();
        else if (result.outcome == SwapOutcome::Committed)
            logChange(LogLevel::Info, "version_record_written", { { "services", services } });
        else
            logChange(LogLevel::Warning, "version_record_not_written", {});
    };
    m_store.compareAndSwap(versionRecordKey, m_parts.versionRecord.revision, writeVersionRecord(record), 0, handleResult);
}

// The watch doesn't report a key again that is the same in the store's next era, but its
// revision is another one. A record that differs comes with the watch, after the registrations
// for which it was changed.
void VersionRecordWriter::readStoredRevision()
{
    m_store.get(versionRecordKey, [this, alive = m_isAlive](const absl::StatusOr<StoredValue>& stored) {
        if (!*alive || !stored.ok())
            return;
        VersionRecord record = readVersionRecord(stored->value).value_or(VersionRecord {});
        if (record == m_parts.versionRecord.record && stored->revision > m_parts.versionRecord.revision)
            m_parts.versionRecord.revision = stored->revision;
    });
}

} // namespace catkinwing
