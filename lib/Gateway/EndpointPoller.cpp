#include "catkinwing/Gateway/EndpointPoller.h"

#include "catkinwing/Gateway/ApiError.h"
#include "catkinwing/Routing/CallerSteering.h"
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <nlohmann/json.hpp>

namespace catkinwing {

static constexpr std::chrono::milliseconds shortestInterval { 1'000 };
/// Added for each engine asked; 22 engines are asked each 3.3 s.
static constexpr std::chrono::milliseconds intervalPerEngine { 150 };
static constexpr std::chrono::milliseconds askTimeout { 1'000 };
static constexpr std::size_t maxPageBytes = 256u << 10;
/// Up to this many engines each entry asks all of them.
static constexpr std::size_t askAllUpTo = 16;
static constexpr std::size_t pollersPerEngine = 2;
static constexpr int statusOk = 200;
/// Bounds of an engine's figures; larger ones are taken as junk, and the costs
/// reckoned from those within stay far from the ends of their types.
static constexpr double maxRequests = 1e6;
static constexpr double maxQueuedTokens = 1e9;
static constexpr double maxSampledAgeMs = 365.0 * 24 * 3'600 * 1'000;

static bool isWithin(double figure, double highest)
{
    return figure >= 0 && figure <= highest;
}

// Figures are read as doubles, which hold every number of JSON, and converted
// only once they are known to be in range.
static bool readFigures(const nlohmann::json& json, EndpointStatus& status)
{
    auto running = json.at("running").get<double>();
    auto waiting = json.at("waiting").get<double>();
    double ageMs = json.value("sampled_age_ms", 0.0);
    status.queuedPrefillTokens = json.value("queued_prefill_tokens", 0.0);
    if (!isWithin(running, maxRequests) || !isWithin(waiting, maxRequests))
        return false;
    if (!isWithin(ageMs, maxSampledAgeMs) || !isWithin(status.queuedPrefillTokens, maxQueuedTokens))
        return false;
    status.running = static_cast<unsigned>(running);
    status.waiting = static_cast<unsigned>(waiting);
    status.age = std::chrono::milliseconds(static_cast<std::int64_t>(ageMs));
    return true;
}

absl::StatusOr<EndpointStatus> parseLoadPage(absl::string_view body)
{
    EndpointStatus status;
    try {
        nlohmann::json json = nlohmann::json::parse(body.begin(), body.end());
        status.incarnation = json.value("incarnation", std::string());
        status.isLeaving = json.value("state", std::string("live")) == "leaving";
        if (!readFigures(json, status))
            return absl::InvalidArgumentError("load page: a figure is out of range");
    } catch (const nlohmann::json::exception& fault) {
        return absl::InvalidArgumentError(absl::StrCat("load page: ", fault.what()));
    }
    return status;
}

static CacheEventKind kindOf(const std::string& kind)
{
    if (kind == "stored")
        return CacheEventKind::Stored;
    return kind == "evicted" ? CacheEventKind::Evicted : CacheEventKind::Cleared;
}

static absl::StatusOr<CacheEvent> readEvent(const nlohmann::json& json, const std::vector<std::string>& models)
{
    CacheEvent event;
    event.sequence = json.at("seq").get<std::uint64_t>();
    event.kind = kindOf(json.at("kind").get<std::string>());
    std::vector<std::uint64_t> hashes;
    // Not copied: a copy of deeply nested values would overflow the stack.
    auto field = json.find("hashes");
    const nlohmann::json none = nlohmann::json::array();
    for (const nlohmann::json& item : field == json.end() ? none : *field) {
        std::uint64_t hash = 0;
        if (!absl::SimpleHexAtoi(item.get<std::string>(), &hash))
            return absl::InvalidArgumentError("cache event: a hash is not hexadecimal");
        hashes.push_back(hash);
    }
    // The events don't say of which model they speak.
    for (const std::string& model : models) {
        for (std::uint64_t scoped : scopedPrefixHashes(hashes, model, ""))
            event.hashes.push_back(scoped);
    }
    return event;
}

absl::StatusOr<CacheEventPage> parseCacheEvents(absl::string_view body, const std::vector<std::string>& models)
{
    CacheEventPage page;
    try {
        nlohmann::json json = nlohmann::json::parse(body.begin(), body.end());
        auto next = json.at("next").get<std::uint64_t>();
        page.last = next > 0 ? next - 1 : 0;
        std::string incarnation = json.value("incarnation", std::string());
        for (const nlohmann::json& item : json.at("events")) {
            absl::StatusOr<CacheEvent> event = readEvent(item, models);
            if (!event.ok())
                return event.status();
            event->incarnation = incarnation;
            page.events.push_back(*std::move(event));
        }
    } catch (const nlohmann::json::exception& fault) {
        return absl::InvalidArgumentError(absl::StrCat("cache events: ", fault.what()));
    }
    return page;
}

EndpointPoller::EndpointPoller(std::string self, EndpointRegistry& registry, HttpClient& client, Scheduler& scheduler)
    : m_self(std::move(self))
    , m_registry(registry)
    , m_client(client)
    , m_scheduler(scheduler)
    , m_entries { m_self }
{
}

void EndpointPoller::start()
{
    tick();
}

bool EndpointPoller::isMine(const std::string& endpoint, std::size_t endpoints) const
{
    if (endpoints <= askAllUpTo || m_entries.size() <= pollersPerEngine)
        return true;
    double own = rendezvousScore(endpoint, m_self, 1);
    std::size_t better = std::count_if(m_entries.begin(), m_entries.end(), [&](const std::string& entry) { return rendezvousScore(endpoint, entry, 1) > own; });
    return better < pollersPerEngine;
}

void EndpointPoller::tick()
{
    std::vector<std::string> names = m_registry.names();
    std::size_t asked = 0;
    for (const std::string& name : names) {
        const EndpointSettings* settings = m_registry.settings(name);
        // A plain service has no load page: each call of it is an execution.
        if (settings->kind != EndpointKind::Engine || !isMine(name, names.size()))
            continue;
        ++asked;
        if (!m_asked.insert(name).second)
            continue;
        askLoad(name, *settings);
        if (settings->capabilities.cacheEvents)
            askCacheEvents(name, *settings);
    }
    auto interval = std::max(shortestInterval, intervalPerEngine * static_cast<std::int64_t>(asked));
    m_scheduler.callAfter(interval, [this] { tick(); });
}

static HttpClientRequest pageRequest(const EndpointSettings& settings, const std::string& self, std::string target)
{
    HttpClientRequest request;
    request.server = settings.address;
    request.target = std::move(target);
    request.headers = { { fromHeader, self } };
    request.connectTimeout = askTimeout;
    request.headTimeout = askTimeout;
    request.idleTimeout = askTimeout;
    return request;
}

void EndpointPoller::askLoad(const std::string& name, const EndpointSettings& settings)
{
    auto done = [this, name](const HttpResult& result, const HttpResponseHead& head, const std::string& body) {
        m_asked.erase(name);
        if (result.end != HttpEnd::Complete || head.status != statusOk)
            return;
        absl::StatusOr<EndpointStatus> status = parseLoadPage(body);
        if (status.ok())
            m_registry.applyStatus(name, *status, m_scheduler.clock().now());
    };
    sendForWhole(m_client, pageRequest(settings, m_self, "/load"), maxPageBytes, std::move(done));
}

void EndpointPoller::askCacheEvents(const std::string& name, const EndpointSettings& settings)
{
    std::uint64_t after = m_lastEvents[name];
    auto done = [this, name](const HttpResult& result, const HttpResponseHead& head, const std::string& body) {
        const EndpointSettings* present = m_registry.settings(name);
        if (!present || result.end != HttpEnd::Complete || head.status != statusOk)
            return;
        absl::StatusOr<CacheEventPage> page = parseCacheEvents(body, present->models);
        if (!page.ok())
            return;
        m_lastEvents[name] = page->last;
        m_registry.applyCacheEvents(name, page->events);
    };
    sendForWhole(m_client, pageRequest(settings, m_self, absl::StrCat("/cache_events?after=", after)), maxPageBytes, std::move(done));
}

} // namespace catkinwing
