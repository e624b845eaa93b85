#include "catkinwing/Gateway/Daemon.h"

#include "catkinwing/Coordination/DirectoryClient.h"
#include "catkinwing/Coordination/EtcdStore.h"
#include "catkinwing/Coordination/InstanceList.h"
#include "catkinwing/Gateway/CallerApi.h"
#include "catkinwing/Gateway/ConfigSync.h"
#include "catkinwing/Gateway/EndpointPoller.h"
#include "catkinwing/Gateway/LedgerForwarder.h"
#include "catkinwing/Gateway/OperatorApi.h"
#include "catkinwing/Gateway/PeerApi.h"
#include "catkinwing/Gateway/PlacementControl.h"
#include "catkinwing/Gateway/ShardCoordinator.h"
#include "catkinwing/Support/Logging.h"
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <algorithm>

namespace catkinwing {

static constexpr std::chrono::milliseconds brokerTick { 250 };
static constexpr std::chrono::milliseconds stateTick { 1'000 };
static constexpr std::chrono::milliseconds drainTick { 50 };
/// Name of the entries in the platform's directory.
static constexpr const char* entryService = "catkinwing-entry";
/// Name of the endpoints in the platform's instance list.
static constexpr const char* endpointService = "catkinwing-endpoint";

namespace {

    /// TLS of the listeners and of the client towards peers; null for plain text.
    struct TlsContexts {
        std::shared_ptr<TlsContext> callers;
        std::shared_ptr<TlsContext> peers;
        std::shared_ptr<TlsContext> operators;
        std::shared_ptr<TlsContext> peerClient;
    };

} // namespace

static TlsFiles toFiles(const TlsSettings& settings)
{
    return { settings.certificateFile, settings.keyFile, settings.authorityFile };
}

static absl::StatusOr<std::shared_ptr<TlsContext>> serverContext(const std::optional<TlsSettings>& settings)
{
    if (!settings)
        return std::shared_ptr<TlsContext>();
    return TlsContext::forServer(toFiles(*settings));
}

// Its peers would refuse all that an entry with another's certificate sends.
static absl::Status checkPeerName(const TlsContext& context, const DaemonSettings& settings)
{
    std::string name = context.commonName();
    if (name == settings.name)
        return absl::OkStatus();
    return absl::InvalidArgumentError(absl::StrCat("certificate file '", settings.tls.peers->certificateFile, "': common name '", name, "' is not the entry's name '", settings.name, "'"));
}

static absl::StatusOr<TlsContexts> loadTls(const DaemonSettings& daemonSettings)
{
    const ListenerTls& settings = daemonSettings.tls;
    TlsContexts contexts;
    for (auto [from, to] : { std::make_pair(&settings.callers, &contexts.callers), std::make_pair(&settings.peers, &contexts.peers), std::make_pair(&settings.operators, &contexts.operators) }) {
        absl::StatusOr<std::shared_ptr<TlsContext>> context = serverContext(*from);
        if (!context.ok())
            return context.status();
        *to = *std::move(context);
    }
    if (settings.peers) {
        absl::StatusOr<std::shared_ptr<TlsContext>> client = TlsContext::forClient(toFiles(*settings.peers));
        if (!client.ok())
            return client.status();
        contexts.peerClient = *std::move(client);
        absl::Status named = checkPeerName(*contexts.peerClient, daemonSettings);
        if (!named.ok())
            return named;
    }
    return contexts;
}

static EntryIdentity identityOf(const DaemonSettings& settings, const Clock& clock, Random& random)
{
    EntryIdentity identity;
    identity.ref = { settings.name, makeIncarnation(clock, random) };
    identity.zone = settings.availabilityZone;
    identity.region = settings.region;
    identity.callerAddress = settings.advertise.callers;
    identity.peerAddress = settings.advertise.peers;
    identity.operatorAddress = settings.advertise.operators;
    return identity;
}

static EtcdStoreOptions storeOptions(const DaemonSettings& settings)
{
    EtcdStoreOptions options;
    options.servers = settings.store;
    options.callerName = settings.name;
    return options;
}

static DirectoryClientOptions directoryOptions(const DaemonSettings& settings)
{
    DirectoryClientOptions options;
    options.servers = settings.directory;
    options.service = entryService;
    options.callerName = settings.name;
    return options;
}

static std::unique_ptr<DirectoryClient> makeDirectory(HttpClient& http, Scheduler& scheduler, const DaemonSettings& settings)
{
    if (settings.directory.empty())
        return nullptr;
    return std::make_unique<DirectoryClient>(http, scheduler, directoryOptions(settings));
}

static InstanceListOptions listOptions(const DaemonSettings& settings, const char* service)
{
    InstanceListOptions options;
    options.servers = settings.directory;
    options.service = service;
    options.callerName = settings.name;
    return options;
}

struct Daemon::Impl {
    Impl(EventLoop& eventLoop, const DaemonSettings& daemonSettings, Random seed, TlsContexts contexts, const IssuedKeys::Secret& secret);

    HttpServerOptions serverOptions(const SocketAddress& listen, std::shared_ptr<TlsContext> context);
    absl::Status listen();
    void startServices();
    MembershipEvents membershipEvents();
    void onConfigChanged(const std::shared_ptr<const ConfigSnapshot>& snapshot);
    void onFrozen(Duration span);
    void everyBrokerTick();
    void everyStateTick();
    LocalState localState();
    std::vector<ModelRoom> zoneRoom();
    void learnEntries(const std::vector<Instance>& instances);
    Instance ownInstance(InstanceState state) const;
    void announce(InstanceState state);
    std::unique_ptr<InstanceList> makeList(const char* service, InstanceList::ChangeCallback onChange);
    void drain(std::function<void()> done);
    void drainStep();
    void reloadKeys();
    void noteServedElsewhere(const ServedElsewhere& served);
    bool isReady() const;
    nlohmann::json platformStatus() const;

    EventLoop& loop;
    DaemonSettings settings;
    Random random;
    TlsContexts tls;
    LinkFaults faults;
    std::unique_ptr<HttpClient> plainClient;
    std::unique_ptr<HttpClient> peerClient;
    FaultableHttpClient platformHttp;
    FaultableHttpClient endpointHttp;
    FaultableHttpClient peerHttp;
    EtcdStore store;
    /// Null where the settings name no directory.
    std::unique_ptr<DirectoryClient> directory;
    PeerLink link;
    Membership membership;
    ConfigKeeper config;
    ConfigSync sync;
    EndpointRegistry endpoints;
    RemoteCells remoteCells;
    EndpointPoller poller;
    Metrics metrics;
    std::shared_ptr<ClientMemory> clientMemory { std::make_shared<ClientMemory>(ClientMemory::capacityWithin(settings.limits.maximumMemoryMegabytes)) };
    ServiceLevelRecorder serviceLevels;
    RequestBroker broker;
    EntryDirectory entries;
    LedgerForwarder claimForwarder;
    KeyedRequests keyed;
    CallerApi callers;
    PeerApi peers;
    ConfigWriter writer;
    OperatorApi operators;
    std::unique_ptr<InstanceList> entryList;
    std::unique_ptr<InstanceList> endpointList;
    PlacementControl placement;
    std::unique_ptr<HttpServer> callerServer;
    std::unique_ptr<HttpServer> peerServer;
    std::unique_ptr<HttpServer> operatorServer;
    bool isDraining { false };
    bool hasDrained { false };
    TimePoint drainDeadline {};
    std::vector<std::function<void()>> onDrained;
    /// Tokens served by other zones and entries so far, by zone, team and pool.
    std::map<std::string, std::uint64_t> servedElsewhere;
};

static std::string holderName(const EntryRef& self)
{
    return absl::StrCat(self.name, "/", self.incarnation.start, "/", self.incarnation.random);
}

static LedgerOptions ledgerOptions()
{
    LedgerOptions options;
    options.layout.keyPrefix = "/catkinwing/ledger/";
    return options;
}

static HttpClientOptions peerClientOptions(std::shared_ptr<TlsContext> tls)
{
    HttpClientOptions options;
    options.tls = std::move(tls);
    // Entries of earlier versions leave some answers without a frame, cut ones included.
    options.acceptsUnframedBodies = false;
    return options;
}

Daemon::Impl::Impl(EventLoop& eventLoop, const DaemonSettings& daemonSettings, Random seed, TlsContexts contexts, const IssuedKeys::Secret& secret)
    : loop(eventLoop)
    , settings(daemonSettings)
    , random(seed)
    , tls(std::move(contexts))
    , plainClient(makeHttpClient(loop, {}))
    , peerClient(makeHttpClient(loop, peerClientOptions(tls.peerClient)))
    , platformHttp(*plainClient, loop, faults)
    , endpointHttp(*plainClient, loop, faults)
    , peerHttp(*peerClient, loop, faults)
    , store(platformHttp, loop, storeOptions(settings))
    , directory(makeDirectory(platformHttp, loop, settings))
    , link(peerHttp, settings.name)
    , membership(identityOf(settings, loop.clock(), random), {}, loop, link, Random(random.bits()), membershipEvents())
    , config(store, loop, random, { [this](const auto& snapshot) { onConfigChanged(snapshot); }, [this](const auto& news) { sync.push(news); } })
    , sync(config, membership, link, loop)
    , endpoints(settings.name, settings.region, settings.availabilityZone, random)
    , remoteCells(settings.region, settings.availabilityZone, random)
    , poller(settings.name, endpoints, endpointHttp, loop)
    , broker({ loop, random, endpointHttp, peerHttp, endpoints, remoteCells, metrics, serviceLevels, membership.self().ref, settings.region, settings.availabilityZone, clientMemory })
    , entries(membership.self())
    , claimForwarder(link, entries, loop)
    , keyed(
          store, broker, entries, ledgerOptions(), [this](unsigned shard) { return shardCoordinator(membership.self(), membership.view(), shard); }, &claimForwarder, secret)
    , callers({ broker, keyed, config, entries, random, metrics, loop.clock(), settings.region, settings.availabilityZone, tls.callers ? "https" : "http" })
    , peers(membership, config, keyed, callers, link, loop, faults, metrics, tls.peers ? PeerProof::CertificateName : PeerProof::None)
    , writer(store, loop, config)
    , operators({ settings, config, writer, broker, membership, entries, faults, loop.clock(), [this] { return isDraining; }, [this] { return isReady(); }, [this] { drain({}); }, [this] { return platformStatus(); }, *clientMemory })
    , entryList(makeList(entryService, [this](const auto& instances) { learnEntries(instances); }))
    , endpointList(makeList(endpointService, [this](const auto& instances) { endpoints.applyInstances(instances, loop.clock().now()); }))
    , placement(store, loop, random, endpointHttp, settings, holderName(membership.self().ref), endpoints)
{
    endpoints.onCapacity = [this] { broker.schedulePump(); };
    broker.onServed = [this](const AcceptedRequest& request, double tokens) { placement.noteDemand(request.routing.model, request.routing.adapter, tokens); };
    endpoints.onLeaving = [this](const EndpointLeaving& leaving) { membership.reportLeaving(leaving); };
}

MembershipEvents Daemon::Impl::membershipEvents()
{
    MembershipEvents events;
    events.onPaused = [this](Duration span) { onFrozen(span); };
    events.onConfigDiffers = [this](const ConfigPeer& peer) { sync.reconcile(peer); };
    events.onEndpointLeaving = [this](const EndpointLeaving& leaving) { endpoints.applyPeerLeaving(leaving, loop.clock().now()); };
    events.onServedElsewhere = [this](const ServedElsewhere& served) { noteServedElsewhere(served); };
    events.onSuperseded = [this] {
        logChange(LogLevel::Error, "superseded", { { "entry", settings.name } });
        loop.stop();
    };
    return events;
}

// A zone tells what it served since its last word; the books want a total, so
// that a word that is lost or doubled does no harm. The inner protocol counts
// by one name, which is "TEAM/POOL" here.
void Daemon::Impl::noteServedElsewhere(const ServedElsewhere& served)
{
    if (served.region != settings.region)
        return;
    std::uint64_t& total = servedElsewhere[absl::StrCat(served.zone, "/", served.team)];
    total += served.tokens;
    std::pair<std::string, std::string> name = absl::StrSplit(served.team, absl::MaxSplits('/', 1));
    broker.admission().applyRemoteService({ served.zone, 1 }, { name.first, name.second, total }, loop.clock().now());
}

void Daemon::Impl::onFrozen(Duration span)
{
    logChange(LogLevel::Warning, "frozen", { { "span_ms", std::chrono::duration_cast<std::chrono::milliseconds>(span).count() } });
    placement.dropAfterFreeze();
    metrics.count("freezes");
}

void Daemon::Impl::onConfigChanged(const std::shared_ptr<const ConfigSnapshot>& snapshot)
{
    TimePoint now = loop.clock().now();
    endpoints.configure(snapshot, now);
    broker.configure(snapshot);
    placement.configure(snapshot);
    remoteCells.update(membership.view(), *snapshot, now);
    entries.update(membership.view(), *snapshot, endpoints.models(), now);
    membership.setLocalState(localState());
}

std::vector<ModelRoom> Daemon::Impl::zoneRoom()
{
    std::vector<ModelRoom> rooms;
    for (const std::string& model : endpoints.models()) {
        ModelRoom room;
        room.model = model;
        room.freeSlots = endpoints.cell().freeCredits(model);
        auto queued = broker.queuedByModel().find(model);
        room.queued = queued == broker.queuedByModel().end() ? 0 : static_cast<std::uint32_t>(queued->second);
        room.predictedWait = broker.predictedWaitFor(model);
        rooms.push_back(std::move(room));
    }
    return rooms;
}

LocalState Daemon::Impl::localState()
{
    LocalState state;
    state.configDigest = config.tree().digest();
    state.load = endpoints.ownLoad();
    state.models = zoneRoom();
    for (const ModelRoom& room : state.models) {
        std::uint32_t inFlight = 0;
        for (EndpointHandle handle : endpoints.cell().endpointsFor(room.model))
            inFlight += endpoints.cell().endpoint(handle).ownInFlight;
        state.demand.push_back({ room.model, inFlight + room.queued });
    }
    for (const ServiceCounter& counter : broker.admission().servedCounters())
        state.served.push_back({ absl::StrCat(counter.team, "/", counter.pool), counter.tokens });
    return state;
}

void Daemon::Impl::everyBrokerTick()
{
    membership.checkForPause();
    broker.tick();
    loop.callAfter(brokerTick, [this] { everyBrokerTick(); });
}

void Daemon::Impl::everyStateTick()
{
    TimePoint now = loop.clock().now();
    const MembershipView& view = membership.view();
    std::vector<std::string> live { settings.name };
    for (const MemberView& member : view.members) {
        if (member.state == MemberState::Live)
            live.push_back(member.identity.ref.name);
    }
    poller.setEntries(std::move(live));
    endpoints.divideCredits(view.members, broker.queuedByModel(), now);
    endpoints.evaluate(now);
    remoteCells.update(view, *config.snapshot(), now);
    entries.update(view, *config.snapshot(), endpoints.models(), now);
    sync.updateDuty();
    // Two of the zone's entries are candidates: each candidate polls the lease.
    placement.setCandidate(settings.weightStore && config.isWatching() && !isDraining);
    membership.setLocalState(localState());
    loop.callAfter(stateTick, [this] { everyStateTick(); });
}

void Daemon::Impl::learnEntries(const std::vector<Instance>& instances)
{
    std::vector<Candidate> candidates;
    for (const Instance& instance : instances) {
        auto peer = instance.meta.find(metaPeerAddress);
        absl::StatusOr<SocketAddress> address = parseSocketAddress(peer == instance.meta.end() ? "" : peer->second);
        if (address.ok() && instance.id != settings.name)
            candidates.push_back({ *address, instance.zone, instance.region });
    }
    membership.addCandidates(candidates);
}

Instance Daemon::Impl::ownInstance(InstanceState state) const
{
    const EntryIdentity& self = membership.self();
    Instance instance;
    instance.id = self.ref.name;
    instance.address = self.callerAddress;
    instance.state = state;
    instance.zone = self.zone;
    instance.region = self.region;
    instance.incarnation = absl::StrCat(self.ref.incarnation.start, "/", self.ref.incarnation.random);
    instance.meta[metaCallerAddress] = self.callerAddress.toString();
    instance.meta[metaPeerAddress] = self.peerAddress.toString();
    instance.meta[metaOperatorAddress] = self.operatorAddress.toString();
    return instance;
}

void Daemon::Impl::announce(InstanceState state)
{
    if (directory)
        directory->announce(ownInstance(state));
}

std::unique_ptr<InstanceList> Daemon::Impl::makeList(const char* service, InstanceList::ChangeCallback onChange)
{
    if (settings.directory.empty())
        return nullptr;
    return std::make_unique<InstanceList>(platformHttp, loop, random, listOptions(settings, service), std::move(onChange));
}

static HttpRefusal refusalOfBody(int status)
{
    constexpr int tooLarge = 413;
    constexpr int unavailable = 503;
    ApiError error;
    error.status = status;
    if (status == tooLarge) {
        error.code = "body_too_large";
        error.message = "the body is longer than this entry takes";
    } else if (status == unavailable) {
        error.code = "request_buffers_full";
        error.message = "this entry has no room for the body now";
        error.retryAfter = std::chrono::seconds(1);
    } else {
        error.code = "body_not_in_time";
        error.message = "the body didn't arrive in time";
    }
    return { errorHead(error), errorBody(error) };
}

HttpServerOptions Daemon::Impl::serverOptions(const SocketAddress& listen, std::shared_ptr<TlsContext> context)
{
    HttpServerOptions options;
    options.listen = listen;
    options.tls = std::move(context);
    options.memory = clientMemory;
    options.makeRefusal = refusalOfBody;
    options.allowsHttp2 = false;
    options.onRefused = [this, listener = listen.toString()](const SocketAddress& caller, const std::string& reason) {
        metrics.count("requests_refused_" + reason);
        logChange(LogLevel::Warning, "request_refused", { { "listener", listener }, { "caller", caller.toString() }, { "reason", reason } });
    };
    return options;
}

absl::Status Daemon::Impl::listen()
{
    HttpServerOptions callerOptions = serverOptions(settings.listen.callers, tls.callers);
    callerOptions.maxBodyBytes = static_cast<std::size_t>(settings.limits.maximumBodyBytes);
    callerOptions.allowsHttp2 = true;
    callerOptions.maxConnections = static_cast<std::size_t>(connectionsForCallers(settings.limits));
    auto callerListener = HttpServer::listen(loop, callerOptions, [this](HttpRequest request, const std::shared_ptr<HttpResponder>& responder) { callers.handle(std::move(request), responder); });
    if (!callerListener.ok())
        return callerListener.status();
    callerServer = *std::move(callerListener);
    HttpServerOptions peerOptions = serverOptions(settings.listen.peers, tls.peers);
    peerOptions.maxBodyBytes = callerOptions.maxBodyBytes;
    auto peerListener = HttpServer::listen(loop, peerOptions, [this](HttpRequest request, std::shared_ptr<HttpResponder> responder) { peers.handle(std::move(request), std::move(responder)); });
    if (!peerListener.ok())
        return peerListener.status();
    peerServer = *std::move(peerListener);
    auto operatorListener = HttpServer::listen(loop, serverOptions(settings.listen.operators, tls.operators), [this](const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) { operators.handle(request, responder); });
    if (!operatorListener.ok())
        return operatorListener.status();
    operatorServer = *std::move(operatorListener);
    return absl::OkStatus();
}

void Daemon::Impl::startServices()
{
    std::vector<Candidate> seeds;
    for (const SocketAddress& seed : settings.peerSeeds)
        seeds.push_back({ seed, "", "" });
    membership.addCandidates(seeds);
    membership.start();
    announce(InstanceState::Live);
    for (InstanceList* list : { entryList.get(), endpointList.get() }) {
        if (list)
            list->start();
    }
    poller.start();
    everyBrokerTick();
    everyStateTick();
    logChange(LogLevel::Info, "started", { { "entry", settings.name }, { "zone", settings.availabilityZone }, { "region", settings.region } });
}

bool Daemon::Impl::isReady() const
{
    return !isDraining && !config.snapshot()->teams.empty();
}

nlohmann::json Daemon::Impl::platformStatus() const
{
    nlohmann::json calls = nlohmann::json::object();
    for (std::size_t kind = 0; kind < storeCallKinds; ++kind) {
        auto call = static_cast<StoreCall>(kind);
        const StoreCounters::OfKind& counts = store.counters().of(call);
        calls[storeCallName(call)] = { { "sent", counts.sent }, { "failed", counts.failed }, { "refused", counts.refused } };
    }
    const LedgerCounters& ledger = keyed.ledger().counters();
    TransportCounters carried = link.counters();
    return {
        { "store_calls", std::move(calls) },
        { "directory_announced", directory && directory->isAnnounced() },
        { "placement_lease", placement.lease().isHeld(loop.clock().now()) },
        { "ledger", { { "won", ledger.won }, { "already_claimed", ledger.alreadyClaimed }, { "not_available", ledger.notAvailable }, { "swaps", ledger.swaps }, { "swap_conflicts", ledger.swapConflicts }, { "forwarded", ledger.forwarded }, { "forwards_failed", ledger.forwardsFailed } } },
        { "peer_bytes", { { "sent", carried.bytesSent }, { "received", carried.bytesReceived }, { "batches_sent", carried.batchesSent } } },
    };
}

void Daemon::Impl::drain(std::function<void()> done)
{
    if (done)
        onDrained.push_back(std::move(done));
    if (isDraining)
        return;
    isDraining = true;
    logChange(LogLevel::Info, "draining", { { "running", broker.running() } });
    drainDeadline = loop.clock().now() + config.snapshot()->global->drainGrace;
    callers.startDraining();
    membership.startDraining();
    announce(InstanceState::Leaving);
    placement.stop();
    drainStep();
}

// Those who look at the directory or at an older list of entries still come for
// a moment; they are answered until nothing is in progress and that has passed.
void Daemon::Impl::drainStep()
{
    bool isLate = loop.clock().now() >= drainDeadline;
    bool isBusy = broker.running() > 0 || callers.openRequests() > 0 || callerServer->unsentAnswers() > 0 || peerServer->unsentAnswers() > 0;
    if (isBusy && !isLate) {
        loop.callAfter(drainTick, [this] { drainStep(); });
        return;
    }
    hasDrained = true;
    logChange(LogLevel::Info, "drained", { { "cut_off", callers.openRequests() } });
    membership.announceExit();
    callerServer->stopListening();
    auto done = [this] {
        for (const std::function<void()>& callback : onDrained)
            callback();
        onDrained.clear();
    };
    if (directory)
        directory->withdraw([done](const absl::Status&) { done(); });
    else
        loop.callAfter(Duration::zero(), done);
}

void Daemon::Impl::reloadKeys()
{
    absl::StatusOr<TlsContexts> contexts = loadTls(settings);
    if (!contexts.ok()) {
        logChange(LogLevel::Error, "keys_not_reloaded", { { "reason", std::string(contexts.status().message()) } });
        return;
    }
    tls = *std::move(contexts);
    callerServer->replaceTls(tls.callers);
    peerServer->replaceTls(tls.peers);
    operatorServer->replaceTls(tls.operators);
    peerClient->replaceTls(tls.peerClient);
    logChange(LogLevel::Info, "keys_reloaded", nlohmann::json::object());
}

absl::StatusOr<std::unique_ptr<Daemon>> Daemon::start(EventLoop& loop, const DaemonSettings& settings, Random random)
{
    absl::StatusOr<TlsContexts> tls = loadTls(settings);
    if (!tls.ok())
        return tls.status();
    absl::StatusOr<IssuedKeys::Secret> secret = IssuedKeys::makeSecret();
    if (!secret.ok())
        return secret.status();
    auto impl = std::make_unique<Impl>(loop, settings, random, *std::move(tls), *secret);
    absl::Status listening = impl->listen();
    if (!listening.ok())
        return listening;
    impl->startServices();
    return std::unique_ptr<Daemon>(new Daemon(std::move(impl)));
}

Daemon::Daemon(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

Daemon::~Daemon() = default;

void Daemon::drain(std::function<void()> done)
{
    m_impl->drain(std::move(done));
}

void Daemon::reloadKeys()
{
    m_impl->reloadKeys();
}

} // namespace catkinwing
