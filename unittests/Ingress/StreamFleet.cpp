#include "StreamFleet.h"

#include "PeerResponder.h"
#include "catkinwing/Ingress/CrashExchange.h"
#include "catkinwing/Ingress/LoadExchange.h"
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <cassert>

namespace catkinwing {

using std::chrono::milliseconds;

static constexpr std::size_t entriesPerRegion = 3;
static constexpr std::size_t endpointsPerRegion = 6;
static constexpr milliseconds step { 10 };
static constexpr milliseconds reportInterval { 100 };
static constexpr milliseconds latencyInsideRegion { 1 };
static constexpr milliseconds latencyBetweenRegions { 55 };
static constexpr milliseconds connectFailureDelay { 2 };
static constexpr milliseconds routeTimeout { 8'000 };
static constexpr milliseconds clientDeadline { 8'000 };
/// A registration expires after three missed heartbeats.
static constexpr milliseconds registrationLapse { 3'600 };
/// A leaving endpoint serves its streams for this long.
static constexpr milliseconds drainTime { 3'000 };
/// Pause of a client before it takes a broken stream up, or returns after a refusal without a
/// retry-after time.
static constexpr milliseconds takeUpDelay { 100 };
static constexpr milliseconds returnDelay { 150 };
static constexpr std::size_t maxClientAttempts = 6;
static constexpr milliseconds endpointDownTime { 3'000 };
static const std::string deadlyBody = "deadly";
static const std::string regions[] = { "north", "south" };

/// The HTTP client of one entry for requests to endpoints.
class StreamFleet::EndpointClient final : public HttpClient {
public:
    explicit EndpointClient(StreamFleet& fleet)
        : m_fleet(fleet)
    {
    }

    using Exchange = FakeHttpClient::Exchange;

    std::shared_ptr<HttpExchange> send(HttpClientRequest request, HttpClientCallbacks callbacks) override
    {
        auto exchange = std::make_shared<Exchange>();
        std::shared_ptr<StreamEndpoint> endpoint = m_fleet.endpointAt(request.server);
        if (!endpoint) {
            end(connectFailureDelay, exchange, callbacks, HttpEnd::ConnectFailed);
            return exchange;
        }
        exchange->mayHaveReached = true;
        const std::string* expected = request.headers.find("incarnation");
        if (expected && *expected != endpoint->incarnation) {
            m_fleet.scheduler.callAfter(latencyInsideRegion, [exchange, callbacks, id = *request.headers.find("request-id")] {
                if (exchange->isCancelled)
                    return;
                callbacks.onHead({ 421, { { "not-run", "1" }, { "request-id", id } } });
                callbacks.onEnd({ HttpEnd::Complete, true, "" });
            });
            return exchange;
        }
        m_fleet.m_reachedAttempts.insert(*request.headers.find("request-id"));
        std::uint64_t number = ++m_fleet.m_lastNumber;
        endpoint->connectionBreakers[number] = [this, exchange, callbacks] { end(latencyInsideRegion, exchange, callbacks, HttpEnd::NoResponse); };
        std::uint64_t first = 1;
        if (const std::string* after = request.headers.find("resume-after"); after && absl::SimpleAtoi(*after, &first))
            ++first;
        HttpHeaders headers { { "endpoint", "yes" }, { "request-id", *request.headers.find("request-id") }, { "content-type", "text/event-stream" } };
        if (request.body == deadlyBody) {
            Duration runTime = m_fleet.firstEventDelay + m_fleet.eventInterval * m_fleet.m_deadlyEvents;
            m_fleet.scheduler.callAfter(runTime - m_fleet.eventInterval / 2, [this, endpoint, exchange] {
                if (!exchange->isCancelled && endpoint->isUp)
                    m_fleet.crashFor(*endpoint);
            });
        }
        m_fleet.scheduler.callAfter(m_fleet.firstEventDelay, [this, endpoint, exchange, callbacks, headers, first, number] {
            if (exchange->isCancelled || !endpoint->isUp)
                return;
            afterSilence(endpoint, [this, endpoint, exchange, callbacks, headers, first, number] {
                if (exchange->isCancelled || !endpoint->isUp)
                    return;
                callbacks.onHead({ 200, headers });
                sendEvents(endpoint, exchange, callbacks, first, number);
            });
        });
        return exchange;
    }
    void forget(const SocketAddress&) override { }
    void replaceTls(std::shared_ptr<TlsContext>) override { }

private:
    void end(Duration delay, const std::shared_ptr<Exchange>& exchange, const HttpClientCallbacks& callbacks, HttpEnd how) const
    {
        m_fleet.scheduler.callAfter(delay, [exchange, callbacks, how] {
            if (!exchange->isCancelled)
                callbacks.onEnd({ how, exchange->mayHaveReached, "simulated fault" });
        });
    }

    void afterSilence(const std::shared_ptr<StreamEndpoint>& endpoint, std::function<void()> callback) const
    {
        if (m_fleet.now() < endpoint->silentUntil)
            m_fleet.scheduler.callAfter(endpoint->silentUntil - m_fleet.now(), std::move(callback));
        else
            callback();
    }

    void sendEvents(const std::shared_ptr<StreamEndpoint>& endpoint, const std::shared_ptr<Exchange>& exchange, const HttpClientCallbacks& callbacks, std::uint64_t next, std::uint64_t number)
    {
        if (exchange->isCancelled || !endpoint->isUp)
            return;
        if (m_fleet.now() < endpoint->silentUntil) {
            afterSilence(endpoint, [this, endpoint, exchange, callbacks, next, number] { sendEvents(endpoint, exchange, callbacks, next, number); });
            return;
        }
        callbacks.onBody(absl::StrCat("id: ", next, "\ndata: ", endpoint->version, "\n\n"));
        if (next < m_fleet.eventsPerStream) {
            m_fleet.scheduler.callAfter(m_fleet.eventInterval, [this, endpoint, exchange, callbacks, next, number] { sendEvents(endpoint, exchange, callbacks, next + 1, number); });
            return;
        }
        endpoint->connectionBreakers.erase(number);
        if (!exchange->isCancelled)
            callbacks.onEnd({ HttpEnd::Complete, true, "" });
    }

    StreamFleet& m_fleet;
};

/// Receives the answer of one client attempt and checks its events.
class StreamFleet::ClientResponder final : public HttpResponder {
public:
    ClientResponder(StreamFleet& fleet, std::shared_ptr<StreamClient> client, std::string attemptId)
        : m_fleet(fleet)
        , m_client(std::move(client))
        , m_attemptId(std::move(attemptId))
        , m_isTakeUp(!m_client->firstAttempt.empty())
        , m_sentAt(fleet.now())
    {
    }

    void sendHead(const HttpResponseHead& head) override { m_status = head.status; }
    void write(std::string bytes) override
    {
        for (absl::string_view event : absl::StrSplit(bytes, "\n\n", absl::SkipEmpty()))
            takeEvent(event);
    }
    void finish() override
    {
        m_closed = nullptr;
        m_isOpen = false;
        m_client->hasEnded = true;
        m_fleet.m_totals.completed += m_client->lastEvent == m_fleet.eventsPerStream ? 1 : 0;
    }
    void abort() override
    {
        ++m_fleet.m_totals.brokenOff;
        lose();
    }
    void send(const HttpResponseHead& head, std::string body) override
    {
        m_closed = nullptr;
        m_isOpen = false;
        m_fleet.m_totals.failed += head.status == 502 ? 1 : 0;
        Duration delay = returnDelay;
        double seconds = 0;
        const std::string* retryAfter = head.headers.find("retry-after");
        if (retryAfter && absl::SimpleAtod(*retryAfter, &seconds))
            delay = std::min(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)), (m_client->deadline - m_fleet.now()) / 3);
        if (m_isTakeUp)
            ++m_fleet.refusedTakeUps[body];
        const std::string* outcome = head.headers.find("Catkinwing-Outcome");
        m_fleet.m_totals.untrueRefusals += outcome && *outcome == "not-run" && m_fleet.m_reachedAttempts.count(m_attemptId) > 0 ? 1 : 0;
        // Clients retry once, and that was the attempt to resume the stream.
        if (m_isTakeUp)
            m_client->hasEnded = true;
        else
            m_fleet.scheduleAttempt(m_client, delay);
    }
    bool isOpen() const override { return m_isOpen; }
    std::size_t pendingBytes() const override { return 0; }
    void onWritable(std::function<void()>) override { }
    void onClosed(std::function<void()> callback) override { m_closed = std::move(callback); }

    /// The connection ends because the client or the entry leaves.
    void close()
    {
        if (!m_isOpen)
            return;
        std::function<void()> closed = std::move(m_closed);
        lose();
        if (closed)
            closed();
    }

private:
    void lose()
    {
        m_closed = nullptr;
        m_isOpen = false;
        m_fleet.scheduleAttempt(m_client, takeUpDelay);
    }

    void takeEvent(absl::string_view event)
    {
        if (!m_isOpen)
            return;
        std::vector<absl::string_view> lines = absl::StrSplit(event, '\n');
        std::uint64_t id = 0;
        bool isRead = lines.size() == 2 && absl::SimpleAtoi(lines[0].substr(4), &id);
        assert(isRead && "an event of an endpoint has an id and data");
        static_cast<void>(isRead);
        std::string version(lines[1].substr(6));
        StreamTotals& totals = m_fleet.m_totals;
        totals.disordered += id != m_client->lastEvent + 1 ? 1 : 0;
        m_client->lastEvent = id;
        if (m_client->firstAttempt.empty()) {
            m_client->firstAttempt = m_attemptId;
            ++totals.begun;
            ++m_fleet.begunAtVersion[version];
        }
        if (m_isTakeUp && m_versions.empty()) {
            totals.wentOn += m_countsAsTakenUp ? 1 : 0;
            m_fleet.takeUpTimes.push_back(m_fleet.now() - m_sentAt);
        }
        bool wasJoined = m_client->versions.size() > 1;
        m_client->versions.insert(version);
        bool wasJoinedHere = m_versions.size() > 1;
        m_versions.insert(version);
        totals.joined += !wasJoined && m_client->versions.size() > 1 ? 1 : 0;
        totals.joinedWithinAnswer += !wasJoinedHere && m_versions.size() > 1 ? 1 : 0;
        if (m_client->leavesAfter == id && m_client->attempts == 1)
            m_fleet.scheduler.callAfter(Duration(1), [self = m_self.lock()] { self->close(); });
    }

public:
    void setSelf(const std::shared_ptr<ClientResponder>& self) { m_self = self; }
    void countAsTakenUp() { m_countsAsTakenUp = true; }

private:
    StreamFleet& m_fleet;
    std::shared_ptr<StreamClient> m_client;
    std::string m_attemptId;
    bool m_isTakeUp;
    TimePoint m_sentAt;
    bool m_countsAsTakenUp { false };
    std::weak_ptr<ClientResponder> m_self;
    std::set<std::string> m_versions;
    std::function<void()> m_closed;
    int m_status { 0 };
    bool m_isOpen { true };
};

/// The HTTP client of one entry for requests to other entries.
class StreamFleet::PeerClient final : public HttpClient {
public:
    PeerClient(StreamFleet& fleet, std::size_t entry)
        : m_fleet(fleet)
        , m_entry(entry)
    {
    }

    std::shared_ptr<HttpExchange> send(HttpClientRequest request, HttpClientCallbacks callbacks) override;
    void forget(const SocketAddress&) override { }
    void replaceTls(std::shared_ptr<TlsContext>) override { }

private:
    StreamFleet& m_fleet;
    std::size_t m_entry;
};

struct StreamFleet::Entry {
    Entry(StreamFleet& fleet, std::size_t index, EntryRecord entryRecord)
        : record(std::move(entryRecord))
        , client(fleet)
        , peers(fleet, index)
        , log(fleet.scheduler.clock())
        , parts { fleet.scheduler, fleet.random, client, peers, metrics, log, fleet.m_dialect, record.region,
            EndpointTable(record.region, { { "north-a", "north" }, { "south-a", "south" } }), EntryTable(record), { 0.2, 50 }, {}, {}, {}, {}, {}, {}, {}, 0, 0, CrashSuspectTable(fleet.random.bits()) }
        , crashExchange(parts.crashSuspects, parts.entries, record, fleet.random)
        , loadExchange(parts.endpoints, parts.entries, record)
        , streamOrigins(parts.endpoints, parts.entries, record, fleet.scheduler, [&fleet, index](const OutgoingDatagram& datagram) { fleet.deliver(index, { datagram }); })
        , versionRecordWriter(fleet.m_recordStore, parts)
    {
        parts.streamOrigins = &streamOrigins;
        parts.endpoints.setReplacedObserver([this](const RoutedEndpoint& endpoint) { streamOrigins.withdrawAfterRestart(endpoint); });
    }

    EntryRecord record;
    EndpointClient client;
    PeerClient peers;
    Metrics metrics;
    DecisionLog log;
    IngressContext parts;
    CrashExchange crashExchange;
    LoadExchange loadExchange;
    StreamOriginExchange streamOrigins;
    VersionRecordWriter versionRecordWriter;
    bool isUp { true };
    std::vector<std::weak_ptr<ClientResponder>> clients;
    std::vector<std::weak_ptr<PeerResponder>> forwards;
};

std::shared_ptr<HttpExchange> StreamFleet::PeerClient::send(HttpClientRequest request, HttpClientCallbacks callbacks)
{
    std::size_t to = m_fleet.m_entryAt.at(request.server);
    bool crossesRegions = m_fleet.m_records[m_entry].region != m_fleet.m_records[to].region;
    Duration latency = crossesRegions ? latencyBetweenRegions : latencyInsideRegion;
    if ((m_fleet.m_areRegionsPartitioned && crossesRegions) || !m_fleet.m_entries[to]->isUp) {
        auto exchange = std::make_shared<FakeHttpClient::Exchange>();
        m_fleet.scheduler.callAfter(connectFailureDelay, [exchange, callbacks] {
            if (!exchange->isCancelled)
                callbacks.onEnd({ HttpEnd::ConnectFailed, false, "simulated fault" });
        });
        return exchange;
    }
    auto responder = std::make_shared<PeerResponder>(m_fleet.scheduler, latency, std::move(callbacks));
    m_fleet.scheduler.callAfter(latency, [this, to, responder, request = std::move(request)] {
        Entry& entry = *m_fleet.m_entries[to];
        if (!entry.isUp) {
            responder->breakConnection();
            return;
        }
        RoutedRequest routed;
        routed.http.method = request.method;
        routed.http.path = request.target;
        routed.http.body = request.body;
        routed.http.headers = request.headers;
        routed.facts = m_fleet.m_dialect.readRequest(routed.http);
        routed.isForwarded = true;
        readForwardHeaders(request.headers, routed);
        routed.arrivedAt = m_fleet.now();
        entry.forwards.push_back(responder);
        std::make_shared<RoutedRun>(entry.parts, std::move(routed), responder)->begin();
    });
    return responder->exchange();
}

StreamFleet::StreamFleet(unsigned seed, const std::vector<std::string>& versions, unsigned maxAttempts, std::vector<std::string> homeRegions)
    : random(seed)
{
    m_route = IngressFixture::streamRoute(true);
    m_route.timeout = routeTimeout;
    m_route.attempts = maxAttempts;
    m_route.homeRegions = std::move(homeRegions);
    applyConfiguration();
    for (const std::string& region : regions) {
        for (std::size_t i = 0; i < entriesPerRegion; ++i) {
            auto port = static_cast<std::uint16_t>(m_records.size() + 1);
            m_records.push_back({ region, region + "-a", { "10.0.0.1", port }, { "10.0.0.2", port } });
        }
    }
    m_entries.resize(m_records.size());
    datagramBytesSent.resize(m_records.size());
    for (std::size_t i = 0; i < m_records.size(); ++i)
        makeEntry(i);
    for (const std::string& region : regions) {
        for (std::size_t i = 0; i < endpointsPerRegion; ++i) {
            StreamEndpoint endpoint;
            endpoint.version = versions[i % versions.size()];
            endpoint.region = region;
            endpoint.address = { "10.0.0.3", static_cast<std::uint16_t>(m_endpoints.size() + 1) };
            startEndpoint(std::move(endpoint));
        }
    }
    // Entries have known the endpoints for a while when streams begin.
    advance(std::chrono::seconds(10));
}

StreamFleet::~StreamFleet()
{
    scheduler.advance(routeTimeout * 2);
}

void StreamFleet::applyConfiguration()
{
    ServiceSettings service;
    service.name = "service";
    std::int64_t version = m_routes ? m_routes->version() + 1 : 1;
    m_routes = std::make_shared<const RouteTable>(version, std::vector<Route> { m_route }, std::vector<ServiceSettings> { service }, ClientLimits {});
    for (const auto& entry : m_entries) {
        if (!entry)
            continue;
        entry->parts.routes = m_routes;
        applyVersionRecord(entry->parts);
    }
}

IngressContext& StreamFleet::partsOf(std::size_t entry)
{
    return m_entries[entry]->parts;
}

static std::string entryKey(std::size_t index)
{
    return "entry-" + std::to_string(index);
}

void StreamFleet::makeEntry(std::size_t index)
{
    m_entries[index] = std::make_unique<Entry>(*this, index, m_records[index]);
    m_entryAt[m_records[index].peerAddress] = index;
    IngressContext& parts = m_entries[index]->parts;
    parts.routes = m_routes;
    parts.startedAt = now();
    parts.crashSuspects.setUrgentCallback([this, index, entry = m_entries[index].get()] {
        scheduler.callAfter(latencyInsideRegion, [this, index, entry] { deliver(index, entry->crashExchange.takeUrgentDatagrams(now())); });
    });
    for (std::size_t i = 0; i < m_records.size(); ++i)
        parts.entries.put(entryKey(i), m_records[i]);
    if (m_registrations.empty())
        parts.endpoints.recordFirstStart();
    else
        parts.endpoints.recordHistoryGap(now());
    for (const auto& [incarnation, record] : m_registrations)
        parts.endpoints.put(record, now());
    setVersionRecord(parts);
}

void StreamFleet::setVersionRecord(IngressContext& parts) const
{
    parts.versionRecord = { readVersionRecord(m_knownRecord.value).value_or(VersionRecord {}), m_knownRecord.revision, 0 };
    applyVersionRecord(parts);
}

void StreamFleet::followVersionRecord()
{
    StoredValue record = m_recordStore.peek(versionRecordKey);
    if (record.revision == m_publishedRecord)
        return;
    m_publishedRecord = record.revision;
    changeStore([this, record] {
        m_knownRecord = record;
        for (const auto& entry : m_entries)
            setVersionRecord(entry->parts);
    });
}

void StreamFleet::startStream(std::optional<std::uint64_t> leavesAfter, const std::string& body)
{
    auto client = std::make_shared<StreamClient>();
    client->body = body.empty() ? absl::StrCat("body-", m_clients.size()) : body;
    client->leavesAfter = leavesAfter;
    client->deadline = now() + clientDeadline;
    client->entry = random.below(m_entries.size());
    m_clients.push_back(client);
    ++m_totals.streams;
    attempt(client);
}

void StreamFleet::startDeadlyStream(std::uint64_t events)
{
    m_deadlyEvents = events;
    startStream(std::nullopt, deadlyBody);
}

void StreamFleet::crashFor(const StreamEndpoint& endpoint)
{
    deadlyCrashes.push_back(now());
    auto isSame = [&](const auto& other) { return other.get() == &endpoint; };
    auto index = std::find_if(m_endpoints.begin(), m_endpoints.end(), isSame) - m_endpoints.begin();
    crashEndpoint(static_cast<std::size_t>(index), endpointDownTime, endpoint.version);
}

void StreamFleet::run(Duration span, unsigned perSecond, double leaving)
{
    TimePoint end = now() + span;
    TimePoint next = now();
    while (now() < end) {
        for (; next <= now(); next += std::chrono::duration_cast<Duration>(std::chrono::seconds(1)) / perSecond) {
            bool leaves = random.unit() < leaving;
            startStream(leaves ? std::optional<std::uint64_t>(1 + random.below(eventsPerStream - 2)) : std::nullopt);
        }
        advance(step);
    }
}

void StreamFleet::finish()
{
    advance(clientDeadline + routeTimeout);
}

std::size_t StreamFleet::servingAt(const std::string& version) const
{
    return static_cast<std::size_t>(std::count_if(m_endpoints.begin(), m_endpoints.end(), [&](const auto& endpoint) { return endpoint->isUp && endpoint->version == version; }));
}

// An attempt goes to another entry than the one before, as a new connection does.
void StreamFleet::attempt(const std::shared_ptr<StreamClient>& client)
{
    if (client->hasEnded || client->attempts >= maxClientAttempts || now() >= client->deadline) {
        client->hasEnded = true;
        return;
    }
    for (std::size_t tries = 0; client->attempts > 0 && tries < m_entries.size(); ++tries) {
        std::size_t other = random.below(m_entries.size());
        if (other != client->entry && m_entries[other]->isUp) {
            client->entry = other;
            break;
        }
    }
    ++client->attempts;
    Entry& entry = *m_entries[client->entry];
    if (!entry.isUp) {
        scheduleAttempt(client, takeUpDelay);
        return;
    }
    std::string id = absl::StrCat("id-", ++m_lastNumber);
    auto responder = std::make_shared<ClientResponder>(*this, client, id);
    responder->setSelf(responder);
    RoutedRequest routed;
    routed.http.method = "POST";
    routed.http.path = "/p/1";
    routed.http.body = client->body;
    routed.http.headers.add("host", "h");
    routed.http.headers.add("request-id", id);
    routed.http.headers.add("time-left", std::to_string(std::chrono::duration_cast<milliseconds>(client->deadline - now()).count()));
    if (!client->firstAttempt.empty()) {
        routed.http.headers.add("resumes", client->firstAttempt);
        routed.http.headers.add("resume-after", std::to_string(client->lastEvent));
        if (servingAt(*client->versions.begin()) >= 2) {
            ++m_totals.takenUp;
            responder->countAsTakenUp();
        }
    }
    routed.facts = m_dialect.readRequest(routed.http);
    routed.arrivedAt = now();
    entry.clients.push_back(responder);
    std::make_shared<RoutedRun>(entry.parts, std::move(routed), responder)->begin();
}

void StreamFleet::scheduleAttempt(const std::shared_ptr<StreamClient>& client, Duration delay)
{
    scheduler.callAfter(delay, [this, client] { attempt(client); });
}

void StreamFleet::advance(Duration span)
{
    for (Duration passed { 0 }; passed < span; passed += step) {
        scheduler.advance(step);
        followVersionRecord();
        if (now() >= m_nextReportTime) {
            exchangeReports();
            m_nextReportTime = now() + reportInterval;
        }
    }
}

void StreamFleet::exchangeReports()
{
    for (std::size_t from = 0; from < m_entries.size(); ++from) {
        if (!m_entries[from]->isUp)
            continue;
        IngressContext& parts = m_entries[from]->parts;
        parts.endpoints.setKnowledgeAge((m_storeSilentSince ? now() - *m_storeSilentSince : Duration::zero()) + registrationDelay);
        parts.endpoints.setSharers(parts.entries.rateSharers(m_records[from].region, now()), m_records[from].peerAddress.toString(), now());
        deliver(from, m_entries[from]->crashExchange.tick(now()));
        deliver(from, m_entries[from]->loadExchange.tick(entryKey(from), now()));
        m_entries[from]->streamOrigins.tick();
        m_entries[from]->versionRecordWriter.tick();
        parts.endpoints.recordSilentEndpoints(now());
        if (parts.endpoints.reach().takeNewCut(now()))
            parts.handleCutOff();
        parts.endpoints.abortUnresponsive(now());
    }
}

void StreamFleet::deliver(std::size_t from, const std::vector<OutgoingDatagram>& datagrams)
{
    for (const OutgoingDatagram& datagram : datagrams) {
        datagramBytesSent[from] += datagram.bytes.size();
        std::size_t to = m_entryAt.at(datagram.to);
        bool crossesRegions = m_records[from].region != m_records[to].region;
        if ((crossesRegions && m_areRegionsPartitioned) || random.unit() < lostFraction)
            continue;
        scheduler.callAfter(crossesRegions ? latencyBetweenRegions : latencyInsideRegion, [this, from, to, bytes = datagram.bytes] {
            if (!m_entries[to]->isUp)
                return;
            Entry& entry = *m_entries[to];
            if (bytes.front() == streamOriginMark) {
                entry.streamOrigins.handleMessage(m_records[from].peerAddress, *decodeStreamOriginMessage(bytes));
                return;
            }
            if (absl::StatusOr<LoadReport> load = decodeLoadReport(bytes); load.ok())
                entry.loadExchange.handleReport(std::move(*load), now());
            else if (absl::StatusOr<LoadDigest> digest = decodeLoadDigest(bytes); digest.ok())
                entry.loadExchange.handleDigest(std::move(*digest), now());
            else if (absl::StatusOr<CrashReport> report = decodeCrashReport(bytes); report.ok()) {
                entry.crashExchange.handleReport(m_records[from].peerAddress, *report, now());
                entry.parts.endpoints.recordReportedLosses(*report, now());
            }
        });
    }
}

// Entries learn of the end of a killed entry's registration from the next start, which has
// the same key here.
void StreamFleet::killEntry(std::size_t entry)
{
    if (!m_entries[entry]->isUp)
        return;
    m_entries[entry]->isUp = false;
    for (const std::weak_ptr<ClientResponder>& client : m_entries[entry]->clients) {
        if (std::shared_ptr<ClientResponder> open = client.lock())
            open->close();
    }
    for (const std::weak_ptr<PeerResponder>& forward : m_entries[entry]->forwards) {
        if (std::shared_ptr<PeerResponder> open = forward.lock())
            open->breakConnection();
    }
    scheduler.callAfter(entryDownTime, [this, entry] {
        m_replacedEntries.push_back(std::move(m_entries[entry]));
        makeEntry(entry);
    });
}

void StreamFleet::changeStore(std::function<void()> change)
{
    scheduler.callAfter(registrationDelay, [this, change = std::move(change)] {
        if (m_storeSilentSince)
            m_heldChanges.push_back(change);
        else
            change();
    });
}

void StreamFleet::publish(const EndpointRecord& record)
{
    changeStore([this, record] {
        m_registrations[record.incarnation] = record;
        for (const auto& entry : m_entries)
            entry->parts.endpoints.put(record, now());
    });
}

void StreamFleet::retract(const std::string& incarnation)
{
    changeStore([this, incarnation] {
        m_registrations.erase(incarnation);
        for (const auto& entry : m_entries)
            entry->parts.endpoints.remove(incarnation, now());
    });
}

void StreamFleet::silenceStore()
{
    m_storeSilentSince = now();
    m_recordStore.setSilent(true);
}

void StreamFleet::restoreStore()
{
    m_storeSilentSince.reset();
    m_recordStore.setSilent(false);
    for (const std::function<void()>& change : std::exchange(m_heldChanges, {}))
        change();
}

void StreamFleet::startEndpoint(StreamEndpoint endpoint)
{
    ++m_endpointStarts;
    if (endpoint.incarnation.empty())
        endpoint.incarnation = absl::StrCat("e", m_endpointStarts);
    endpoint.startedAt = milliseconds(m_endpointStarts);
    EndpointRecord record;
    record.incarnation = endpoint.incarnation;
    record.startedAt = endpoint.startedAt;
    record.service = "service";
    record.softwareVersion = endpoint.version;
    record.address = endpoint.address;
    record.availabilityZone = endpoint.region + "-a";
    m_endpoints.push_back(std::make_shared<StreamEndpoint>(std::move(endpoint)));
    publish(record);
}

void StreamFleet::crashEndpoint(std::size_t index, Duration downTime, const std::string& version, bool keepsIncarnation)
{
    std::shared_ptr<StreamEndpoint> endpoint = m_endpoints[index];
    if (!endpoint->isUp)
        return;
    endpoint->isUp = false;
    for (const auto& [number, breakConnection] : std::exchange(endpoint->connectionBreakers, {}))
        breakConnection();
    if (!keepsIncarnation)
        scheduler.callAfter(registrationLapse, [this, endpoint] { retract(endpoint->incarnation); });
    scheduler.callAfter(downTime, [this, endpoint, version, keepsIncarnation] {
        m_endpoints.erase(std::find(m_endpoints.begin(), m_endpoints.end(), endpoint));
        StreamEndpoint next;
        next.incarnation = keepsIncarnation ? endpoint->incarnation : std::string();
        next.version = version;
        next.region = endpoint->region;
        next.address = endpoint->address;
        startEndpoint(std::move(next));
    });
}

void StreamFleet::replaceEndpoint(std::size_t index, const std::string& version)
{
    std::shared_ptr<StreamEndpoint> endpoint = m_endpoints[index];
    StreamEndpoint next;
    next.version = version;
    next.region = endpoint->region;
    next.address = { "10.0.0.4", static_cast<std::uint16_t>(m_endpointStarts + 1) };
    startEndpoint(std::move(next));
    EndpointRecord leaving = m_registrations.at(endpoint->incarnation);
    leaving.isLeaving = true;
    publish(leaving);
    scheduler.callAfter(drainTime, [this, endpoint] {
        endpoint->isUp = false;
        for (const auto& [number, breakConnection] : std::exchange(endpoint->connectionBreakers, {}))
            breakConnection();
        m_endpoints.erase(std::find(m_endpoints.begin(), m_endpoints.end(), endpoint));
        retract(endpoint->incarnation);
    });
}

std::shared_ptr<StreamEndpoint> StreamFleet::endpointAt(const SocketAddress& address) const
{
    for (const auto& endpoint : m_endpoints) {
        if (endpoint->isUp && endpoint->address == address)
            return endpoint;
    }
    return nullptr;
}

StreamTotals StreamFleet::totals() const
{
    return m_totals;
}

} // namespace catkinwing
