#include "EntryFleet.h"

#include "PeerResponder.h"
#include "catkinwing/Ingress/CrashExchange.h"
#include "catkinwing/Ingress/LimitExchange.h"
#include "catkinwing/Ingress/LoadExchange.h"
#include <absl/strings/str_split.h>
#include <algorithm>
#include <cassert>

namespace catkinwing {

using std::chrono::milliseconds;

/// Time from the crash of an endpoint to the removal of its registration.
static constexpr milliseconds registrationRemovalDelay { 1'500 };
static constexpr milliseconds entryLeaseDuration { 4'000 };
/// Time after which endpoints that have become brittle let no request wait.
static constexpr milliseconds brittleSettleTime { 5'000 };
static constexpr milliseconds connectFailureDelay { 2 };
static constexpr milliseconds step { 10 };
static constexpr milliseconds routeTimeout { 4'000 };
static constexpr milliseconds crashReportInterval { 100 };
static constexpr milliseconds latencyInsideRegion { 1 };
static constexpr milliseconds latencyBetweenRegions { 55 };
static const std::string regions[] = { "north", "south" };

/// The HTTP client of one entry for requests to endpoints.
class EntryFleet::Client final : public HttpClient {
public:
    Client(EntryFleet& fleet, std::size_t entry)
        : m_fleet(fleet)
        , m_entry(entry)
    {
    }

    using Exchange = FakeHttpClient::Exchange;

    std::shared_ptr<HttpExchange> send(HttpClientRequest request, HttpClientCallbacks callbacks) override
    {
        auto exchange = std::make_shared<Exchange>();
        std::shared_ptr<SimulatedEndpoint> endpoint = m_fleet.endpointAt(request.server);
        bool isKept = endpoint && path.takeIdle(request.server);
        bool canConnect = endpoint && path.state() == PathState::Open;
        if (!isKept && !canConnect) {
            bool isHanging = endpoint && path.state() == PathState::Hanging;
            Duration delay = isHanging ? Duration(request.connectTimeout) : Duration(connectFailureDelay);
            m_fleet.scheduler.callAfter(delay, [exchange, callbacks, isHanging] { end(*exchange, callbacks, isHanging ? HttpEnd::TimedOut : HttpEnd::ConnectFailed); });
            return exchange;
        }
        exchange->mayHaveReached = true;
        std::uint64_t number = ++m_fleet.m_lastRequestNumber;
        path.addBreaker(number, [exchange, callbacks] {
            end(*exchange, callbacks, HttpEnd::NoResponse);
            exchange->isCancelled = true;
        });
        path.deliver([this, number, request = std::move(request), callbacks = std::move(callbacks), exchange] {
            bool isLost = exchange->isCancelled && !m_fleet.deliversCancelledRequests;
            std::shared_ptr<SimulatedEndpoint> at = m_fleet.endpointAt(request.server);
            if (!isLost && at)
                handleAttempt(*at, number, request, callbacks, exchange);
        });
        return exchange;
    }
    void forget(const SocketAddress& server) override { path.forget(server); }
    void replaceTls(std::shared_ptr<TlsContext>) override { }

    SimulatedPath path;

private:
    void addLimits(const std::string& text, HttpHeaders& headers) const
    {
        if (!text.empty())
            headers.add("request-limit", text);
        if (m_fleet.m_brittleSince)
            headers.add("rejection-limit", std::to_string(m_fleet.m_rejectionsPerSecond));
    }

    static void end(const Exchange& exchange, const HttpClientCallbacks& callbacks, HttpEnd how)
    {
        if (!exchange.isCancelled)
            callbacks.onEnd({ how, exchange.mayHaveReached, "simulated fault" });
    }

    /// Passes a complete answer on to the entry. The connection is kept then.
    void answer(std::uint64_t number, const SocketAddress& server, const std::shared_ptr<Exchange>& exchange, const HttpClientCallbacks& callbacks, const FakeHttpAnswer& answer)
    {
        path.deliver([this, number, server, exchange, callbacks, answer] {
            path.removeBreaker(number);
            if (exchange->isCancelled)
                return;
            path.giveBack(server);
            callbacks.onHead({ answer.status, answer.headers });
            for (const std::string& piece : answer.body)
                callbacks.onBody(piece);
            callbacks.onEnd({ HttpEnd::Complete, true, "" });
        });
    }

    void handleAttempt(SimulatedEndpoint& endpoint, std::uint64_t number, const HttpClientRequest& request, const HttpClientCallbacks& callbacks, const std::shared_ptr<Exchange>& exchange)
    {
        const std::string* segments = request.headers.find("segments");
        m_fleet.endpointAttempts.push_back({ *request.headers.find("request-id"), request.body, m_entry, m_fleet.now(), m_fleet.indexOf(endpoint), segments ? *segments : std::string() });
        std::string limitText = endpoint.limitText;
        bool isFull = m_fleet.isFull(endpoint);
        if (isFull)
            m_fleet.reject(endpoint);
        if (isFull || m_fleet.random.unit() < m_fleet.refusedFraction) {
            m_fleet.scheduler.callAfter(latencyInsideRegion, [this, number, request, exchange, callbacks, limitText] {
                FakeHttpAnswer refusal = catkinwing::refusalAnswer(request);
                addLimits(limitText, refusal.headers);
                answer(number, request.server, exchange, callbacks, refusal);
            });
            return;
        }
        ++endpoint.runningRequests;
        endpoint.connectionBreakers[number] = [this, number, exchange, callbacks] {
            path.removeBreaker(number);
            path.deliver([exchange, callbacks] { end(*exchange, callbacks, HttpEnd::NoResponse); });
        };
        bool isCrashing = (request.body == crashingBody || (segments && m_fleet.crashingSegmentOf(*segments))) && !m_fleet.isRepaired;
        std::weak_ptr<SimulatedEndpoint> weak = m_fleet.endpointAt(request.server);
        m_fleet.scheduler.callAfter(isCrashing ? m_fleet.crashDelay : m_fleet.answerDelay, [this, weak, number, isCrashing, exchange, callbacks, request] {
            finishAttempt(weak, number, isCrashing, request, callbacks, exchange);
        });
    }

    void finishAttempt(const std::weak_ptr<SimulatedEndpoint>& weak, std::uint64_t number, bool isCrashing, const HttpClientRequest& request, const HttpClientCallbacks& callbacks, const std::shared_ptr<Exchange>& exchange)
    {
        std::shared_ptr<SimulatedEndpoint> at = weak.lock();
        if (!at || !at->isUp)
            return;
        if (m_fleet.now() < at->silentUntil) {
            m_fleet.scheduler.callAfter(at->silentUntil - m_fleet.now(), [this, weak, number, isCrashing, exchange, callbacks, request] {
                finishAttempt(weak, number, isCrashing, request, callbacks, exchange);
            });
            return;
        }
        if (isCrashing) {
            const std::string* segments = request.headers.find("segments");
            const std::string* cause = segments ? m_fleet.crashingSegmentOf(*segments) : nullptr;
            (cause ? m_fleet.crashingSegments.at(*cause) : m_fleet.crashes).push_back(m_fleet.now());
            m_fleet.crash(at);
            return;
        }
        at->connectionBreakers.erase(number);
        --at->runningRequests;
        FakeHttpAnswer reply = endpointAnswer(request, 200, "fine");
        addLimits(at->limitText, reply.headers);
        answer(number, request.server, exchange, callbacks, reply);
    }

    EntryFleet& m_fleet;
    std::size_t m_entry;
};

/// The HTTP client of one entry for requests to other entries.
class EntryFleet::PeerClient final : public HttpClient {
public:
    PeerClient(EntryFleet& fleet, std::size_t entry)
        : m_fleet(fleet)
        , m_entry(entry)
    {
    }

    std::shared_ptr<HttpExchange> send(HttpClientRequest request, HttpClientCallbacks callbacks) override
    {
        std::size_t to = m_fleet.m_entryAt.at(request.server);
        bool crossesRegions = m_fleet.m_records[m_entry].region != m_fleet.m_records[to].region;
        bool isPartitioned = m_fleet.m_areRegionsPartitioned && crossesRegions;
        Duration latency = crossesRegions ? latencyBetweenRegions : latencyInsideRegion;
        if (isPartitioned || !m_fleet.isUp(to)) {
            auto exchange = std::make_shared<Client::Exchange>();
            m_fleet.scheduler.callAfter(connectFailureDelay, [exchange, callbacks] {
                if (!exchange->isCancelled)
                    callbacks.onEnd({ HttpEnd::ConnectFailed, false, "simulated fault" });
            });
            return exchange;
        }
        auto responder = std::make_shared<PeerResponder>(m_fleet.scheduler, latency, std::move(callbacks));
        m_fleet.scheduler.callAfter(latency, [this, to, responder, request = std::move(request)] { m_fleet.handleForward(to, request, responder); });
        return responder->exchange();
    }
    void forget(const SocketAddress&) override { }
    void replaceTls(std::shared_ptr<TlsContext>) override { }

private:
    EntryFleet& m_fleet;
    std::size_t m_entry;
};

struct EntryFleet::Entry {
    Entry(EntryFleet& fleet, std::size_t index, std::string entryKey, EntryRecord entryRecord)
        : key(std::move(entryKey))
        , record(std::move(entryRecord))
        , client(fleet, index)
        , peers(fleet, index)
        , log(fleet.scheduler.clock())
        , parts { fleet.scheduler, fleet.random, client, peers, metrics, log, fleet.m_dialect, record.region,
            EndpointTable(record.region, { { "north-a", "north" }, { "south-a", "south" } }), EntryTable(record), { 0.2, 50 }, {}, {}, {}, {}, {}, {}, {}, 0, 0, CrashSuspectTable(fleet.random.bits()) }
        , exchange(parts.crashSuspects, parts.entries, record, fleet.random)
        , loadExchange(parts.endpoints, parts.entries, record)
        , limitExchange(parts.endpoints, parts.entries, record, fleet.scheduler, fleet.random, [&fleet, index](const OutgoingDatagram& datagram) { fleet.deliver(index, { datagram }); })
    {
        parts.limitExchange = &limitExchange;
    }

    std::string key;
    EntryRecord record;
    Client client;
    PeerClient peers;
    Metrics metrics;
    DecisionLog log;
    IngressContext parts;
    CrashExchange exchange;
    LoadExchange loadExchange;
    LimitExchange limitExchange;
    bool isUp { true };
    /// Requests that other entries have forwarded to this one.
    std::vector<std::weak_ptr<PeerResponder>> forwards;
};

EntryFleet::EntryFleet(unsigned seed, std::size_t entriesPerRegion, std::size_t endpointsPerRegion, std::vector<std::string> homeRegions)
    : random(seed)
{
    m_route = IngressFixture::unaryRoute(RequestKind::Idempotent);
    m_route.timeout = routeTimeout;
    m_route.hasPromptAffinity = true;
    m_route.homeRegions = std::move(homeRegions);
    applyRoute();
    for (const std::string& region : regions) {
        for (std::size_t i = 0; i < entriesPerRegion; ++i) {
            auto port = static_cast<std::uint16_t>(m_records.size() + 1);
            m_records.push_back({ region, region + "-a", { "10.0.0.1", port }, { "10.0.0.2", port } });
        }
    }
    m_entries.resize(m_records.size());
    m_entryStarts.resize(m_records.size());
    reportBytesSent.resize(m_records.size());
    limitBytesSent.resize(m_records.size());
    for (std::size_t i = 0; i < m_records.size(); ++i)
        makeEntry(i);
    for (const std::string& region : regions) {
        for (std::size_t i = 0; i < endpointsPerRegion; ++i)
            startEndpoint(region, { "10.0.0.3", static_cast<std::uint16_t>(m_endpoints.size() + 1) });
    }
}

void EntryFleet::applyRoute()
{
    ServiceSettings service;
    service.name = "service";
    service.slots = m_slots;
    m_routes = std::make_shared<const RouteTable>(1, std::vector<Route> { m_route }, std::vector<ServiceSettings> { service }, ClientLimits {});
    for (const auto& entry : m_entries)
        entry->parts.routes = m_routes;
}

void EntryFleet::setMaxAttempts(unsigned maxAttempts)
{
    m_route.attempts = maxAttempts;
    applyRoute();
}

// Each start of an entry registers under a key of its own.
std::string EntryFleet::entryKey(std::size_t index) const
{
    std::string name = "entry-" + std::to_string(index);
    return m_entryStarts[index] == 0 ? name : name + "-" + std::to_string(m_entryStarts[index]);
}

void EntryFleet::makeEntry(std::size_t index)
{
    m_entries[index] = std::make_unique<Entry>(*this, index, entryKey(index), m_records[index]);
    m_entryAt[m_records[index].peerAddress] = index;
    IngressContext& parts = m_entries[index]->parts;
    parts.routes = m_routes;
    parts.startedAt = now();
    parts.crashSuspects.setUrgentCallback([this, index, entry = m_entries[index].get()] {
        scheduler.callAfter(latencyInsideRegion, [this, index, entry] { deliver(index, entry->exchange.takeUrgentDatagrams(now())); });
    });
    for (std::size_t i = 0; i < m_records.size(); ++i)
        parts.entries.put(entryKey(i), m_records[i]);
}

// Advances the time so that the running requests reach their deadlines.
EntryFleet::~EntryFleet()
{
    scheduler.advance(routeTimeout + step);
}

IngressContext& EntryFleet::partsOf(std::size_t entry)
{
    return m_entries[entry]->parts;
}

void EntryFleet::send(std::size_t entry, const std::string& body, const std::string& host)
{
    sendRequest({ {}, body, entry, now(), std::make_shared<FakeResponder>(), {} }, host);
}

void EntryFleet::sendPrompt(std::size_t entry, const std::string& body, const std::string& segments)
{
    sendRequest({ {}, body, entry, now(), std::make_shared<FakeResponder>(), segments }, "h");
}

void EntryFleet::sendRequest(SentRequest request, const std::string& host)
{
    request.id = "id-" + std::to_string(sentRequests.size());
    RoutedRequest routed;
    routed.http.method = "POST";
    routed.http.path = "/p/1";
    routed.http.body = request.body;
    routed.http.headers.add("host", host);
    routed.http.headers.add("request-id", request.id);
    if (!request.segments.empty())
        routed.http.headers.add("segments", request.segments);
    routed.facts = m_dialect.readRequest(routed.http);
    routed.arrivedAt = now();
    if (isUp(request.entry))
        std::make_shared<RoutedRun>(m_entries[request.entry]->parts, std::move(routed), request.responder)->begin();
    else
        request.responder->leave();
    sentRequests.push_back(std::move(request));
}

static bool containsSegment(const std::string& segments, absl::string_view segment)
{
    std::vector<absl::string_view> names = absl::StrSplit(segments, ',');
    return std::find(names.begin(), names.end(), segment) != names.end();
}

const std::string* EntryFleet::crashingSegmentOf(const std::string& segments) const
{
    auto found = std::find_if(crashingSegments.begin(), crashingSegments.end(), [&](const auto& item) { return containsSegment(segments, item.first); });
    return found == crashingSegments.end() ? nullptr : &found->first;
}

void EntryFleet::handleForward(std::size_t entry, const HttpClientRequest& request, const std::shared_ptr<PeerResponder>& responder)
{
    if (!isUp(entry)) {
        responder->breakConnection();
        return;
    }
    RoutedRequest routed;
    routed.http.method = request.method;
    routed.http.path = request.target;
    routed.http.body = request.body;
    routed.http.headers = request.headers;
    routed.facts = m_dialect.readRequest(routed.http);
    routed.isForwarded = true;
    readForwardHeaders(request.headers, routed);
    routed.arrivedAt = now();
    m_entries[entry]->forwards.push_back(responder);
    std::make_shared<RoutedRun>(m_entries[entry]->parts, std::move(routed), responder)->begin();
}

void EntryFleet::setBrittle(unsigned slots, double rejectionsPerSecond)
{
    m_brittleSince = now();
    m_slots = slots;
    m_rejectionsPerSecond = rejectionsPerSecond;
    applyRoute();
}

bool EntryFleet::isFull(const SimulatedEndpoint& endpoint) const
{
    return m_brittleSince && now() - *m_brittleSince >= brittleSettleTime && endpoint.runningRequests >= m_slots;
}

void EntryFleet::reject(SimulatedEndpoint& endpoint)
{
    endpoint.rejections.push_back(now());
    auto recent = std::count_if(endpoint.rejections.begin(), endpoint.rejections.end(), [this](TimePoint at) { return now() - at < std::chrono::seconds(1); });
    if (static_cast<double>(recent) <= m_rejectionsPerSecond || !endpoint.isUp)
        return;
    falls.push_back(now());
    crash(endpointAt(endpoint.address));
}

static EndpointRecord recordOf(const SimulatedEndpoint& endpoint)
{
    EndpointRecord record;
    record.incarnation = endpoint.incarnation;
    record.service = "service";
    record.address = endpoint.address;
    record.availabilityZone = endpoint.region + "-a";
    return record;
}

void EntryFleet::advance(Duration span)
{
    for (Duration passed { 0 }; passed < span; passed += step) {
        scheduler.advance(step);
        if (now() >= m_nextReportTime) {
            sendCrashReports();
            m_nextReportTime = now() + crashReportInterval;
        }
    }
}

void EntryFleet::sendCrashReports()
{
    for (std::size_t from = 0; from < m_entries.size(); ++from) {
        if (!isUp(from))
            continue;
        IngressContext& parts = m_entries[from]->parts;
        parts.endpoints.setSharers(parts.entries.rateSharers(m_records[from].region, now()), m_records[from].peerAddress.toString(), now());
        deliver(from, m_entries[from]->exchange.tick(now()));
        deliver(from, m_entries[from]->loadExchange.tick(m_entries[from]->key, now()));
        m_entries[from]->limitExchange.tick();
        parts.endpoints.recordSilentEndpoints(now());
        if (parts.endpoints.reach().takeNewCut(now()))
            parts.handleCutOff();
        parts.endpoints.abortUnresponsive(now());
    }
}

void EntryFleet::deliver(std::size_t from, const std::vector<OutgoingDatagram>& datagrams)
{
    for (const OutgoingDatagram& datagram : datagrams) {
        bool isLoad = decodeLoadReport(datagram.bytes).ok() || decodeLoadDigest(datagram.bytes).ok();
        if (!isLoad)
            (datagram.bytes.front() == limitMessageMark ? limitBytesSent : reportBytesSent)[from] += datagram.bytes.size();
        std::size_t to = m_entryAt.at(datagram.to);
        bool crossesRegions = m_records[from].region != m_records[to].region;
        bool isLost = m_droppingEntries.count(from) > 0 || m_droppingEntries.count(to) > 0 || (crossesRegions && m_areRegionsPartitioned) || random.unit() < lostFraction;
        if (isLost)
            continue;
        scheduler.callAfter(crossesRegions ? latencyBetweenRegions : latencyInsideRegion, [this, from, to, bytes = datagram.bytes] {
            if (!isUp(to))
                return;
            if (bytes.front() == limitMessageMark) {
                absl::StatusOr<LimitMessage> message = decodeLimitMessage(bytes);
                assert(message.ok() && "an encoded limit message can be decoded");
                m_entries[to]->limitExchange.handleMessage(m_records[from].peerAddress, *message);
                return;
            }
            absl::StatusOr<LoadReport> load = decodeLoadReport(bytes);
            absl::StatusOr<LoadDigest> digest = decodeLoadDigest(bytes);
            if (load.ok())
                m_entries[to]->loadExchange.handleReport(std::move(*load), now());
            else if (digest.ok())
                m_entries[to]->loadExchange.handleDigest(std::move(*digest), now());
            if (load.ok() || digest.ok())
                return;
            absl::StatusOr<CrashReport> report = decodeCrashReport(bytes);
            assert(report.ok() && "an encoded crash report can be decoded");
            m_entries[to]->exchange.handleReport(m_records[from].peerAddress, *report, now());
        });
    }
}

void EntryFleet::setPath(std::size_t entry, PathState state)
{
    m_entries[entry]->client.path.setState(state);
}

bool EntryFleet::isUp(std::size_t entry) const
{
    return m_entries[entry]->isUp;
}

void EntryFleet::removeRegistration(std::size_t entry)
{
    for (const auto& other : m_entries)
        other->parts.entries.remove(entryKey(entry), now());
}

void EntryFleet::killEntry(std::size_t entry)
{
    m_entries[entry]->isUp = false;
    for (const SentRequest& request : sentRequests) {
        if (request.entry == entry && request.responder->isOpen())
            request.responder->leave();
    }
    for (const std::weak_ptr<PeerResponder>& forward : m_entries[entry]->forwards) {
        if (std::shared_ptr<PeerResponder> open = forward.lock())
            open->breakConnection();
    }
    scheduler.callAfter(entryLeaseDuration, [this, entry] {
        if (!isUp(entry))
            removeRegistration(entry);
    });
}

void EntryFleet::restartEntry(std::size_t entry)
{
    assert(m_entries[entry]->parts.openRequestCount == 0 && "only an entry without open requests can be restarted");
    for (const auto& other : m_entries)
        other->parts.entries.remove(entryKey(entry), now());
    ++m_entryStarts[entry];
    m_replacedEntries.push_back(std::move(m_entries[entry]));
    makeEntry(entry);
    for (const auto& other : m_entries) {
        if (other)
            other->parts.entries.put(entryKey(entry), m_records[entry]);
    }
    for (const auto& endpoint : m_endpoints) {
        if (endpoint->isUp)
            m_entries[entry]->parts.endpoints.put(recordOf(*endpoint), now());
    }
}

void EntryFleet::startEndpoint(const std::string& region, const SocketAddress& address)
{
    auto endpoint = std::make_shared<SimulatedEndpoint>();
    endpoint->incarnation = "e" + std::to_string(++m_endpointStarts);
    endpoint->region = region;
    endpoint->address = address;
    m_endpoints.push_back(endpoint);
    changeRegistration(Duration::zero(), [this, endpoint] {
        for (const auto& entry : m_entries)
            entry->parts.endpoints.put(recordOf(*endpoint), now());
    });
}

void EntryFleet::changeRegistration(Duration delay, std::function<void()> change)
{
    delay = std::max(delay, m_storeSilentUntil - now());
    if (delay <= Duration::zero())
        change();
    else
        scheduler.callAfter(delay, std::move(change));
}

void EntryFleet::crash(const std::shared_ptr<SimulatedEndpoint>& endpoint)
{
    endpoint->isUp = false;
    for (const auto& [number, breakConnection] : std::exchange(endpoint->connectionBreakers, {}))
        scheduler.callAfter(step / 10, breakConnection);
    for (const auto& entry : m_entries)
        entry->client.forget(endpoint->address);
    changeRegistration(registrationRemovalDelay, [this, endpoint] {
        for (const auto& entry : m_entries)
            entry->parts.endpoints.remove(endpoint->incarnation, now());
    });
    scheduler.callAfter(restartDelay, [this, endpoint] {
        m_endpoints.erase(std::find(m_endpoints.begin(), m_endpoints.end(), endpoint));
        startEndpoint(endpoint->region, endpoint->address);
    });
}

void EntryFleet::crashOne(const std::string& region)
{
    for (const auto& endpoint : m_endpoints) {
        if (endpoint->isUp && endpoint->region == region) {
            crash(endpoint);
            return;
        }
    }
}

void EntryFleet::crashAll()
{
    for (const auto& endpoint : m_endpoints) {
        if (endpoint->isUp)
            crash(endpoint);
    }
}

std::shared_ptr<SimulatedEndpoint> EntryFleet::endpointAt(const SocketAddress& address) const
{
    for (const auto& endpoint : m_endpoints) {
        if (endpoint->isUp && endpoint->address == address)
            return endpoint;
    }
    return nullptr;
}

std::size_t EntryFleet::indexOf(const SimulatedEndpoint& endpoint) const
{
    auto isSame = [&](const std::shared_ptr<SimulatedEndpoint>& other) { return other.get() == &endpoint; };
    return static_cast<std::size_t>(std::find_if(m_endpoints.begin(), m_endpoints.end(), isSame) - m_endpoints.begin());
}

std::size_t EntryFleet::attemptsAfter(const std::string& body, TimePoint time) const
{
    return static_cast<std::size_t>(std::count_if(endpointAttempts.begin(), endpointAttempts.end(), [&](const EndpointAttempt& attempt) { return attempt.body == body && attempt.at > time; }));
}

std::size_t EntryFleet::attemptsWithSegmentAfter(const std::string& segment, TimePoint time) const
{
    return static_cast<std::size_t>(std::count_if(endpointAttempts.begin(), endpointAttempts.end(), [&](const EndpointAttempt& attempt) { return attempt.at > time && containsSegment(attempt.segments, segment); }));
}

double EntryFleet::servedFraction(const std::string& body, TimePoint from) const
{
    std::size_t all = 0;
    std::size_t served = 0;
    for (const SentRequest& request : sentRequests) {
        if (request.body != body || request.at < from)
            continue;
        ++all;
        served += request.responder->status() == 200 ? 1 : 0;
    }
    return all > 0 ? static_cast<double>(served) / static_cast<double>(all) : 0;
}

} // namespace catkinwing
