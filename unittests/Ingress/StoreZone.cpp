#include "StoreZone.h"

#include <absl/strings/numbers.h>
#include <algorithm>
#include <utility>

namespace catkinwing {

using std::chrono::milliseconds;

/// Timeouts that the platform's store client uses.
static constexpr milliseconds watchTimeout { 1'600 };
static constexpr milliseconds callTimeout { 1'000 };
static constexpr milliseconds refusalTime { 10 };
static constexpr milliseconds storeLatency { 20 };
/// Interval at which the fakes check for changes.
static constexpr milliseconds pollInterval { 10 };
static constexpr milliseconds houseKeepingInterval { 250 };
static constexpr std::uint16_t firstPort = 100;

static std::string entryName(std::size_t entry)
{
    return "entry-" + std::to_string(entry);
}

/// An entry's connection to the store, with its faults and the timeouts of its client.
class StoreZone::StoreConnection final : public Store {
public:
    StoreConnection(StoreZone& zone, std::size_t entry, Scheduler& scheduler)
        : m_zone(zone)
        , m_entry(entry)
        , m_scheduler(scheduler)
        , m_client(zone.m_store.clientOn(scheduler))
    {
    }

    void list(const std::string& prefix, ListCallback done) override
    {
        if (reachesStore()) {
            m_client->list(prefix, std::move(done));
            return;
        }
        m_scheduler.callAfter(isRefusedByStore() ? refusalTime : callTimeout, [done = std::move(done)] { done(absl::UnavailableError("no answer")); });
    }

    std::unique_ptr<StoreWatch> watch(const std::string& prefix, StoreRevision firstRevision, StoreWatchCallbacks callbacks) override;

    void get(const std::string& key, GetCallback done) override { m_client->get(key, std::move(done)); }
    void compareAndSwap(const std::string& key, StoreRevision expected, const std::string& value, StoreLease lease, SwapCallback done) override
    {
        m_client->compareAndSwap(key, expected, value, lease, std::move(done));
    }
    void compareAndDelete(const std::string& key, StoreRevision expected, SwapCallback done) override { m_client->compareAndDelete(key, expected, std::move(done)); }
    void grantLease(milliseconds timeToLive, LeaseCallback done) override { m_client->grantLease(timeToLive, std::move(done)); }
    void keepAlive(StoreLease lease, KeepAliveCallback done) override { m_client->keepAlive(lease, std::move(done)); }
    void revokeLease(StoreLease lease, DoneCallback done) override { m_client->revokeLease(lease, std::move(done)); }

private:
    struct Watch;
    class Handle;

    EntryFault fault() const { return m_zone.m_entries[m_entry].fault; }
    bool isRefusedByStore() const { return fault() == EntryFault::StoreRefuses; }
    bool reachesStore() const { return fault() == EntryFault::None || fault() == EntryFault::Paused; }
    void poll(const std::shared_ptr<Watch>& watch);
    void deliver(Watch& watch);

    StoreZone& m_zone;
    std::size_t m_entry;
    Scheduler& m_scheduler;
    std::unique_ptr<Store> m_client;
};

/// A watch through the connection. Events that arrive while the store is unreachable are
/// held and delivered when the entry reaches it again, unless the call has timed out.
struct StoreZone::StoreConnection::Watch {
    void end(const absl::Status& status)
    {
        auto onEnd = std::move(callbacks.onEnd);
        callbacks = {};
        inner.reset();
        if (onEnd)
            onEnd(status);
    }

    StoreWatchCallbacks callbacks;
    std::unique_ptr<StoreWatch> inner;
    TimePoint askedAt {};
    std::vector<StoreEvent> heldEvents;
    std::optional<absl::Status> heldEnd;
    bool isHeldCurrent { false };
};

class StoreZone::StoreConnection::Handle final : public StoreWatch {
public:
    explicit Handle(std::shared_ptr<Watch> watch)
        : m_watch(std::move(watch))
    {
    }
    ~Handle() override
    {
        m_watch->callbacks = {};
        m_watch->inner.reset();
    }
    Handle(const Handle&) = delete;
    Handle& operator=(const Handle&) = delete;

private:
    std::shared_ptr<Watch> m_watch;
};

std::unique_ptr<StoreWatch> StoreZone::StoreConnection::watch(const std::string& prefix, StoreRevision firstRevision, StoreWatchCallbacks callbacks)
{
    auto watch = std::make_shared<Watch>();
    watch->callbacks = std::move(callbacks);
    watch->askedAt = m_scheduler.clock().now();
    StoreWatchCallbacks inner;
    inner.onEvents = [weak = std::weak_ptr<Watch>(watch)](const std::vector<StoreEvent>& events) {
        if (auto locked = weak.lock())
            locked->heldEvents.insert(locked->heldEvents.end(), events.begin(), events.end());
    };
    inner.onEnd = [weak = std::weak_ptr<Watch>(watch)](const absl::Status& status) {
        if (auto locked = weak.lock())
            locked->heldEnd = status;
    };
    inner.onCurrent = [weak = std::weak_ptr<Watch>(watch)] {
        if (auto locked = weak.lock())
            locked->isHeldCurrent = true;
    };
    watch->inner = m_client->watch(prefix, firstRevision, std::move(inner));
    poll(watch);
    return std::make_unique<Handle>(std::move(watch));
}

// Copies each callback before the call, since a callback may destroy the handle, which
// clears both.
void StoreZone::StoreConnection::deliver(Watch& watch)
{
    std::vector<StoreEvent> events = std::exchange(watch.heldEvents, {});
    bool isCurrent = std::exchange(watch.isHeldCurrent, false);
    if (events.empty() && !isCurrent)
        return;
    watch.askedAt = m_scheduler.clock().now();
    auto onEvents = watch.callbacks.onEvents;
    if (!events.empty() && onEvents)
        onEvents(events);
    auto onCurrent = watch.callbacks.onCurrent;
    if (isCurrent && onCurrent)
        onCurrent();
}

void StoreZone::StoreConnection::poll(const std::shared_ptr<Watch>& watch)
{
    m_scheduler.callAfter(pollInterval, [this, weak = std::weak_ptr<Watch>(watch)] {
        auto locked = weak.lock();
        if (!locked || !locked->callbacks.onEnd)
            return;
        bool hasTimedOut = m_scheduler.clock().now() - locked->askedAt >= watchTimeout;
        if (isRefusedByStore() || (!reachesStore() && hasTimedOut)) {
            locked->end(absl::UnavailableError("no answer"));
            return;
        }
        if (reachesStore()) {
            deliver(*locked);
            if (locked->heldEnd) {
                locked->end(*locked->heldEnd);
                return;
            }
        }
        poll(locked);
    });
}

/// Delivers an entry's requests to the other entries by the port of their address.
class StoreZone::PeerClient final : public HttpClient {
public:
    PeerClient(StoreZone& zone, std::size_t entry, Scheduler& scheduler)
        : m_zone(zone)
        , m_entry(entry)
        , m_scheduler(scheduler)
    {
    }

    std::shared_ptr<HttpExchange> send(HttpClientRequest request, HttpClientCallbacks callbacks) override;
    void forget(const SocketAddress&) override { }
    void replaceTls(std::shared_ptr<TlsContext>) override { }

private:
    struct Exchange final : HttpExchange {
        void cancel() override { isCancelled = true; }
        void pause() override { }
        void resume() override { }
        bool mayHaveReachedServer() const override { return true; }

        HttpClientRequest request;
        HttpClientCallbacks callbacks;
        std::size_t serverIndex { 0 };
        /// Start count of the process that received the request; zero before delivery.
        std::uint64_t serverStartCount { 0 };
        std::shared_ptr<FakeResponder> responder { std::make_shared<FakeResponder>() };
        TimePoint deadline {};
        bool isCancelled { false };
    };

    void poll(const std::shared_ptr<Exchange>& exchange);
    void deliver(Exchange& exchange);

    StoreZone& m_zone;
    std::size_t m_entry;
    Scheduler& m_scheduler;
};

struct StoreZone::Process {
    Process(StoreZone& zone, std::size_t entry)
        : storeConnection(zone, entry, fixture.scheduler)
        , peerClient(zone, entry, fixture.scheduler)
        , relayed(storeConnection, peerClient, fixture.scheduler, relayCallbacks(entry))
        , follower(relayed, fixture.scheduler, fixture.random, "entries/", fixture.parts, [](const std::string&) {})
    {
        fixture.random = Random(entry + 1);
        fixture.dialect.readEndpoint = readEndpoint;
        fixture.dialect.readRouteTable = readVersion;
        for (std::size_t i = 0; i < zone.m_entries.size(); ++i)
            fixture.addEntry(entryName(i), "north", firstPort + static_cast<int>(i));
        follower.start();
        houseKeep();
    }

    static absl::StatusOr<EndpointRecord> readEndpoint(const std::string& incarnation, absl::string_view text)
    {
        EndpointRecord record;
        record.incarnation = incarnation;
        record.service = "service";
        record.address = { "127.0.0.1", 1 };
        record.availabilityZone = "north-a";
        record.isLeaving = text == "leaving";
        return record;
    }

    static ConfigResult<RouteTable> readVersion(absl::string_view text)
    {
        ConfigResult<RouteTable> result;
        std::int64_t version = 0;
        if (absl::SimpleAtoi(text, &version))
            result.document = RouteTable(version, {}, {}, {});
        else
            result.faults.push_back({ "", "expected an integer version" });
        return result;
    }

    RelayCallbacks relayCallbacks(std::size_t entry)
    {
        RelayCallbacks callbacks;
        callbacks.findRelay = [this, entry] { return fixture.parts.entries.relayAddress(entryName(entry), fixture.scheduler.clock().now()); };
        callbacks.recordRelayFailure = [this](const SocketAddress& peer) { fixture.parts.entries.recordPeerFailure(peer, fixture.scheduler.clock().now()); };
        callbacks.recordHistoryGap = [this] { follower.recordHistoryGap(); };
        callbacks.findBootstrapPeer = [entry]() -> std::optional<SocketAddress> {
            return SocketAddress { "127.0.0.1", static_cast<std::uint16_t>(firstPort + (entry == 0 ? 1 : 0)) };
        };
        return callbacks;
    }

    void houseKeep()
    {
        follower.runHousekeeping();
        fixture.scheduler.callAfter(houseKeepingInterval, [this] { houseKeep(); });
    }

    IngressFixture fixture;
    StoreConnection storeConnection;
    PeerClient peerClient;
    RelayedStore relayed;
    StoreFollower follower;
};

std::shared_ptr<HttpExchange> StoreZone::PeerClient::send(HttpClientRequest request, HttpClientCallbacks callbacks)
{
    auto exchange = std::make_shared<Exchange>();
    exchange->serverIndex = request.server.port - firstPort;
    exchange->deadline = m_scheduler.clock().now() + request.headTimeout;
    exchange->request = std::move(request);
    exchange->callbacks = std::move(callbacks);
    poll(exchange);
    return exchange;
}

void StoreZone::PeerClient::deliver(Exchange& exchange)
{
    Entry& server = m_zone.m_entries[exchange.serverIndex];
    if (exchange.serverStartCount > 0 || !server.process || server.fault == EntryFault::Paused || !m_zone.isReachable(m_entry, exchange.serverIndex))
        return;
    exchange.serverStartCount = server.startCount;
    HttpRequest peerRequest;
    peerRequest.headers = exchange.request.headers;
    server.process->relayed.answerPeer(peerRequest, exchange.responder);
}

void StoreZone::PeerClient::poll(const std::shared_ptr<Exchange>& exchange)
{
    m_scheduler.callAfter(pollInterval, [this, exchange] {
        if (exchange->isCancelled)
            return;
        deliver(*exchange);
        const Entry& server = m_zone.m_entries[exchange->serverIndex];
        bool isRefused = !server.process || (exchange->serverStartCount > 0 && exchange->serverStartCount != server.startCount);
        bool isReachable = m_zone.isReachable(m_entry, exchange->serverIndex);
        if (exchange->responder->isFinished && isReachable) {
            exchange->callbacks.onHead(*exchange->responder->head);
            exchange->callbacks.onBody(exchange->responder->body);
            exchange->callbacks.onEnd({ HttpEnd::Complete, true, "" });
        } else if (isRefused && isReachable) {
            exchange->callbacks.onEnd({ HttpEnd::NoResponse, true, "closed" });
        } else if (m_scheduler.clock().now() >= exchange->deadline) {
            exchange->callbacks.onEnd({ HttpEnd::TimedOut, true, "timeout" });
        } else {
            poll(exchange);
        }
    });
}

StoreZone::StoreZone(std::size_t entries)
    : m_entries(entries)
{
    m_store.setLatency(storeLatency);
    for (std::size_t i = 0; i < entries; ++i)
        start(i);
}

StoreZone::~StoreZone() = default;

void StoreZone::start(std::size_t entry)
{
    ++m_entries[entry].startCount;
    m_entries[entry].process = std::make_unique<Process>(*this, entry);
}

bool StoreZone::isReachable(std::size_t from, std::size_t to) const
{
    return m_entries[from].fault != EntryFault::Partitioned && m_entries[to].fault != EntryFault::Partitioned;
}

void StoreZone::advance(Duration span)
{
    for (Duration passed {}; passed < span; passed += pollInterval) {
        m_scheduler.advance(pollInterval);
        for (Entry& entry : m_entries) {
            if (!entry.process)
                continue;
            if (entry.fault == EntryFault::Paused)
                entry.pausedFor += pollInterval;
            else if (entry.pausedFor > Duration::zero())
                entry.process->fixture.scheduler.freeze(std::exchange(entry.pausedFor, {}) + pollInterval);
            else
                entry.process->fixture.scheduler.advance(pollInterval);
        }
    }
}

void StoreZone::setFault(std::size_t entry, EntryFault fault)
{
    Entry& changed = m_entries[entry];
    bool isRestarted = changed.fault == EntryFault::Killed && fault != EntryFault::Killed;
    changed.fault = fault;
    changed.healthySince = now();
    if (fault == EntryFault::Killed)
        changed.process.reset();
    if (isRestarted)
        start(entry);
}

void StoreZone::registerEndpoint(const std::string& name, bool isLeaving)
{
    m_store.put("endpoints/" + name, isLeaving ? "leaving" : "ready");
}

bool StoreZone::mayUse(std::size_t entry, const std::string& endpoint) const
{
    bool isUsed = false;
    if (!m_entries[entry].process)
        return false;
    m_entries[entry].process->fixture.parts.endpoints.forEach([&](const RoutedEndpoint& known) {
        if (known.record.incarnation == endpoint && !known.isLeaving)
            isUsed = true;
    });
    return isUsed;
}

void StoreZone::writeConfiguration(std::int64_t version)
{
    m_store.put("configuration", std::to_string(version));
}

std::int64_t StoreZone::version(std::size_t entry) const
{
    if (!m_entries[entry].process)
        return 0;
    const auto& routes = m_entries[entry].process->fixture.parts.routes;
    return routes ? routes->version() : 0;
}

void StoreZone::setEvacuated(bool isEvacuated)
{
    if (isEvacuated)
        m_store.put("evacuated/north-a", "");
    else
        m_store.erase("evacuated/north-a");
}

bool StoreZone::isZoneOpen(std::size_t entry) const
{
    if (!m_entries[entry].process)
        return false;
    auto& fixture = m_entries[entry].process->fixture;
    return fixture.parts.endpoints.usableByRegion("service", fixture.scheduler.clock().now()).count("north") > 0;
}

bool StoreZone::hasBeenHealthy(std::size_t entry, Duration span) const
{
    return m_entries[entry].fault == EntryFault::None && now() - m_entries[entry].healthySince >= span;
}

bool StoreZone::isDirect(std::size_t entry) const
{
    return m_entries[entry].process && m_entries[entry].process->relayed.watchesDirectly();
}

} // namespace catkinwing
