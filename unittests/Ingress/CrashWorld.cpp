#include "CrashWorld.h"

#include "catkinwing/Ingress/CrashExchange.h"
#include <algorithm>
#include <cassert>

namespace catkinwing {

using std::chrono::milliseconds;

/// An endpoint that crashed is out of the store this much later.
static constexpr milliseconds registrationLapse { 1'500 };
static constexpr milliseconds refusedConnection { 2 };
static constexpr milliseconds step { 10 };
static constexpr milliseconds routeTimeout { 4'000 };
static constexpr milliseconds tellInterval { 100 };
static constexpr milliseconds insideRegion { 1 };
static constexpr milliseconds betweenRegions { 55 };
static const std::string regions[] = { "north", "south" };

/// The path of one entry to the endpoints.
class CrashWorld::Client final : public HttpClient {
public:
    Client(CrashWorld& world, std::size_t entry)
        : m_world(world)
        , m_entry(entry)
    {
    }

    struct Exchange final : HttpExchange {
        void cancel() override { isCancelled = true; }
        void pause() override { }
        void resume() override { }
        bool mayHaveReachedServer() const override { return mayHaveReached; }

        bool isCancelled { false };
        bool mayHaveReached { false };
    };

    std::shared_ptr<HttpExchange> send(HttpClientRequest request, HttpClientCallbacks callbacks) override
    {
        auto exchange = std::make_shared<Exchange>();
        std::shared_ptr<CrashingEndpoint> endpoint = m_world.endpointAt(request.server);
        if (!endpoint) {
            m_world.scheduler.callAfter(refusedConnection, [exchange, callbacks] { end(*exchange, callbacks, HttpEnd::ConnectFailed); });
            return exchange;
        }
        exchange->mayHaveReached = true;
        arrive(*endpoint, request, callbacks, exchange);
        return exchange;
    }
    void forget(const SocketAddress&) override { }
    void replaceTls(std::shared_ptr<TlsContext>) override { }

private:
    static void end(const Exchange& exchange, const HttpClientCallbacks& callbacks, HttpEnd how)
    {
        if (!exchange.isCancelled)
            callbacks.onEnd({ how, exchange.mayHaveReached, "fault of the fake" });
    }

    void arrive(CrashingEndpoint& endpoint, const HttpClientRequest& request, const HttpClientCallbacks& callbacks, const std::shared_ptr<Exchange>& exchange)
    {
        m_world.arrivals.push_back({ request.body, m_entry, m_world.now() });
        std::uint64_t number = ++m_world.m_requests;
        endpoint.breakOff[number] = [exchange, callbacks] { end(*exchange, callbacks, HttpEnd::NoResponse); };
        bool isDeadly = request.body == deadlyBody && !m_world.isRepaired;
        std::weak_ptr<CrashingEndpoint> weak = m_world.endpointAt(request.server);
        m_world.scheduler.callAfter(isDeadly ? m_world.crashesAfter : m_world.runsFor, [this, weak, number, isDeadly, exchange, callbacks, request] {
            std::shared_ptr<CrashingEndpoint> at = weak.lock();
            if (!at || !at->isUp)
                return;
            if (isDeadly) {
                m_world.crashes.push_back(m_world.now());
                m_world.crash(at);
                return;
            }
            at->breakOff.erase(number);
            if (exchange->isCancelled)
                return;
            FakeHttpAnswer answer = answered(request, 200, "fine");
            callbacks.onHead({ answer.status, answer.headers });
            callbacks.onBody("fine");
            callbacks.onEnd({ HttpEnd::Complete, true, "" });
        });
    }

    CrashWorld& m_world;
    std::size_t m_entry;
};

struct CrashWorld::Entry {
    Entry(CrashWorld& world, std::size_t index, std::string entryKey, EntryRecord entryRecord)
        : key(std::move(entryKey))
        , record(std::move(entryRecord))
        , client(world, index)
        , peers(world.scheduler)
        , log(world.scheduler.clock())
        , parts { world.scheduler, world.random, client, peers, metrics, log, world.m_dialect, record.region,
            EndpointTable(record.region, { { "north-a", "north" }, { "south-a", "south" } }), EntryTable(record), { 0.2, 50 }, {}, {}, {}, {}, {}, {}, {}, 0, 0, CrashingRequests(world.random.bits()) }
        , exchange(parts.crashing, parts.entries, record, world.random)
    {
        peers.handler = [](const HttpClientRequest&) { return FakeHttpAnswer::failed(HttpEnd::ConnectFailed, false); };
    }

    std::string key;
    EntryRecord record;
    Client client;
    FakeHttpClient peers;
    Metrics metrics;
    DecisionLog log;
    IngressParts parts;
    CrashExchange exchange;
};

CrashWorld::CrashWorld(unsigned seed, std::size_t entriesPerRegion, std::size_t endpointsPerRegion, std::vector<std::string> homeRegions)
    : random(seed)
{
    Route route = IngressFixture::unary(RequestKind::Idempotent);
    route.timeout = routeTimeout;
    route.homeRegions = std::move(homeRegions);
    ServiceSettings service;
    service.name = "service";
    m_routes = std::make_shared<const RouteTable>(1, std::vector<Route> { route }, std::vector<ServiceSettings> { service }, ClientLimits {});
    for (const std::string& region : regions) {
        for (std::size_t i = 0; i < entriesPerRegion; ++i) {
            auto port = static_cast<std::uint16_t>(m_records.size() + 1);
            m_records.push_back({ region, region + "-a", { "10.0.0.1", port }, { "10.0.0.2", port } });
        }
    }
    m_entries.resize(m_records.size());
    bytesTold.resize(m_records.size());
    for (std::size_t i = 0; i < m_records.size(); ++i)
        makeEntry(i);
    for (const std::string& region : regions) {
        for (std::size_t i = 0; i < endpointsPerRegion; ++i)
            startEndpoint(region, { "10.0.0.3", static_cast<std::uint16_t>(m_endpoints.size() + 1) });
    }
}

static std::string entryKey(std::size_t index)
{
    return "entry-" + std::to_string(index);
}

void CrashWorld::makeEntry(std::size_t index)
{
    m_entries[index] = std::make_unique<Entry>(*this, index, entryKey(index), m_records[index]);
    m_entryAt[m_records[index].peers] = index;
    IngressParts& parts = m_entries[index]->parts;
    parts.routes = m_routes;
    for (std::size_t i = 0; i < m_records.size(); ++i)
        parts.entries.put(entryKey(i), m_records[i]);
}

// Lets the requests that are under way reach their deadlines.
CrashWorld::~CrashWorld()
{
    scheduler.advance(routeTimeout + step);
}

IngressParts& CrashWorld::partsOf(std::size_t entry)
{
    return m_entries[entry]->parts;
}

void CrashWorld::send(std::size_t entry, const std::string& body, const std::string& host)
{
    SentRequest request { body, entry, now(), std::make_shared<FakeResponder>() };
    RoutedRequest routed;
    routed.http.method = "POST";
    routed.http.path = "/p/1";
    routed.http.body = body;
    routed.http.headers.add("host", host);
    routed.http.headers.add("request-id", "id-" + std::to_string(sent.size()));
    routed.facts = m_dialect.readRequest(routed.http);
    routed.arrivedAt = now();
    std::make_shared<RoutedRun>(m_entries[entry]->parts, std::move(routed), request.answer)->begin();
    sent.push_back(std::move(request));
}

static EndpointRecord recordOf(const CrashingEndpoint& endpoint)
{
    EndpointRecord record;
    record.incarnation = endpoint.incarnation;
    record.service = "service";
    record.address = endpoint.address;
    record.availabilityZone = endpoint.region + "-a";
    return record;
}

void CrashWorld::advance(Duration span)
{
    for (Duration passed { 0 }; passed < span; passed += step) {
        scheduler.advance(step);
        if (now() >= m_nextTelling) {
            tell();
            m_nextTelling = now() + tellInterval;
        }
    }
}

void CrashWorld::tell()
{
    for (std::size_t from = 0; from < m_entries.size(); ++from) {
        for (const OutgoingDatagram& datagram : m_entries[from]->exchange.tick(now())) {
            bytesTold[from] += datagram.bytes.size();
            std::size_t to = m_entryAt.at(datagram.to);
            bool isCross = m_records[from].region != m_records[to].region;
            bool isLost = m_silenced.count(from) > 0 || m_silenced.count(to) > 0 || (isCross && m_areRegionsCut) || random.unit() < lost;
            if (isLost)
                continue;
            scheduler.callAfter(isCross ? betweenRegions : insideRegion, [this, from, to, bytes = datagram.bytes] {
                absl::StatusOr<CrashReport> report = decodeCrashReport(bytes);
                assert(report.ok() && "what is encoded can be decoded");
                m_entries[to]->exchange.take(m_records[from].peers, *report, now());
            });
        }
    }
}

// A request that is still under way belongs to the process that was there before.
void CrashWorld::restartEntry(std::size_t entry)
{
    assert(m_entries[entry]->parts.openRequests == 0 && "the entry has no requests");
    makeEntry(entry);
    for (const auto& endpoint : m_endpoints) {
        if (endpoint->isUp)
            m_entries[entry]->parts.endpoints.put(recordOf(*endpoint), now());
    }
}

void CrashWorld::startEndpoint(const std::string& region, const SocketAddress& address)
{
    auto endpoint = std::make_shared<CrashingEndpoint>();
    endpoint->incarnation = "e" + std::to_string(++m_starts);
    endpoint->region = region;
    endpoint->address = address;
    m_endpoints.push_back(endpoint);
    for (const auto& entry : m_entries)
        entry->parts.endpoints.put(recordOf(*endpoint), now());
}

void CrashWorld::crash(const std::shared_ptr<CrashingEndpoint>& endpoint)
{
    endpoint->isUp = false;
    for (const auto& [number, breakOff] : std::exchange(endpoint->breakOff, {}))
        scheduler.callAfter(step / 10, breakOff);
    scheduler.callAfter(registrationLapse, [this, endpoint] {
        for (const auto& entry : m_entries)
            entry->parts.endpoints.remove(endpoint->incarnation, now());
    });
    scheduler.callAfter(startsAgainAfter, [this, endpoint] {
        m_endpoints.erase(std::find(m_endpoints.begin(), m_endpoints.end(), endpoint));
        startEndpoint(endpoint->region, endpoint->address);
    });
}

void CrashWorld::crashOne(const std::string& region)
{
    for (const auto& endpoint : m_endpoints) {
        if (endpoint->isUp && endpoint->region == region) {
            crash(endpoint);
            return;
        }
    }
}

void CrashWorld::crashAll()
{
    for (const auto& endpoint : m_endpoints) {
        if (endpoint->isUp)
            crash(endpoint);
    }
}

std::shared_ptr<CrashingEndpoint> CrashWorld::endpointAt(const SocketAddress& address) const
{
    for (const auto& endpoint : m_endpoints) {
        if (endpoint->isUp && endpoint->address == address)
            return endpoint;
    }
    return nullptr;
}

std::size_t CrashWorld::arrivalsAfter(const std::string& body, TimePoint time) const
{
    return static_cast<std::size_t>(std::count_if(arrivals.begin(), arrivals.end(), [&](const Arrival& arrival) { return arrival.body == body && arrival.at > time; }));
}

double CrashWorld::servedShare(const std::string& body, TimePoint from) const
{
    std::size_t all = 0;
    std::size_t served = 0;
    for (const SentRequest& request : sent) {
        if (request.body != body || request.at < from)
            continue;
        ++all;
        served += request.answer->status() == 200 ? 1 : 0;
    }
    return all > 0 ? static_cast<double>(served) / static_cast<double>(all) : 0;
}

} // namespace catkinwing
