#include "catkinwing/Ingress/RelayedStore.h"

#include "catkinwing/Support/Logging.h"
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

namespace catkinwing {

using std::chrono::milliseconds;

/// Max age of an entry's store data before the entry watches the store directly.
/// Opening that watch takes 0.3 s, or 0.6 s if the store is slow. Together this is less
/// than the 3 s after which no request may be sent to a leaving endpoint. The store
/// answers a working watch every 1.2 s, a few tenths of a second later if it is slow.
static constexpr milliseconds maxAge { 2'000 };
/// Timeout of a request to a relay for an immediate answer. The timeout is short, since it
/// delays the recovery of an entry whose data is too old.
static constexpr milliseconds immediateAnswerTimeout { 400 };
/// Max time between two reads from the connection while a relay's answer arrives.
static constexpr milliseconds relayIdleTimeout { 300 };
static constexpr milliseconds relayConnectTimeout { 300 };
static constexpr milliseconds bootstrapTimeout { 1'200 };
/// Delay before the next relay is asked after a failure.
static constexpr milliseconds nextRelayDelay { 120 };
/// After a second relay failure in a row, or a slow one, an entry watches the store
/// directly for this long.
static constexpr milliseconds directWatchDuration { 3'000 };
/// A broken watch usually works again after one more listing. Waiting requests of
/// other entries are kept for this long before they are refused.
static constexpr milliseconds waiterHoldTime { 600 };
static constexpr std::size_t maxAnswerBytes = 16u << 20;
static constexpr int statusOk = 200;
static constexpr int statusGone = 410;
static constexpr int statusUnavailable = 503;

namespace {

    void addChangesAfter(HttpHeaders& headers, const StoreRevision& revision)
    {
        headers.add(changesAfterHeader, std::to_string(revision.number));
        headers.add(changesEraHeader, std::to_string(revision.era));
    }

    void removeEras(StoreChanges& changes)
    {
        changes.revision = changes.revision.number;
        for (StoreChange& change : changes.changes)
            change.revision = change.revision.number;
    }

    /// A request for changes that waits for the store's next answer.
    struct Waiter {
        StoreRevision afterRevision {};
        /// Whether the asking entry knows eras.
        bool knowsEras { false };
        std::shared_ptr<HttpResponder> responder;
    };

} // namespace

struct RelayedStore::Impl : std::enable_shared_from_this<Impl> {
    class Subscription;

    Impl(Store& store, HttpClient& client, Scheduler& loop, RelayCallbacks callbacks)
        : directStore(store)
        , peerClient(client)
        , scheduler(loop)
        , relayCallbacks(std::move(callbacks))
    {
    }

    TimePoint now() const { return scheduler.clock().now(); }
    void answerWaiters();
    void answer(HttpResponder& responder, StoreRevision after, bool knowsEras) const;
    void refuseWaiters();
    /// Records that the store answered this entry's own watch.
    void recordStoreAnswer();
    /// Records that this entry's data is complete as of \p time.
    void recordCurrentAsOf(TimePoint time);
    void endDirectWatch();
    std::optional<Duration> age() const;
    /// Fetches all keys from another entry. \p failure is the error of the store's
    /// listing, passed to \p done if no entry can be asked or none answers.
    void bootstrapFromPeer(const absl::Status& failure, ListCallback done);
    bool isDirect() const { return directWatchCount > 0; }
    /// Returns whether other entries may wait here for the store's next answer.
    bool mayRelay() const;

    Store& directStore;
    HttpClient& peerClient;
    Scheduler& scheduler;
    RelayCallbacks relayCallbacks;
    StoreMirror mirror;
    /// Number of direct watches. There may be two for a moment, since a new watch starts
    /// before the broken one is dropped.
    unsigned directWatchCount { 0 };
    bool hasStopped { false };
    TimePoint directWatchUntil {};
    /// When the store last answered this entry's own watch; nothing before the
    /// first answer since the entry last used a relay.
    std::optional<TimePoint> storeAnsweredAt;
    /// Time at which the last direct watch ended. Reset when the store next answers, and
    /// not yet when a new watch starts.
    std::optional<TimePoint> watchLostAt;
    /// Time as of which the store, directly or through a relay, confirmed this entry's data.
    std::optional<TimePoint> currentAsOf;
    /// Requests that are answered when the store next answers this entry.
    std::vector<Waiter> waiters;
};

/// One watch, which runs directly at the store or by repeated requests to a relay.
class RelayedStore::Impl::Subscription : public std::enable_shared_from_this<Subscription> {
public:
    Subscription(Impl& store, std::string prefix, StoreRevision lastRevision, StoreWatchCallbacks callbacks)
        : m_store(store)
        , m_prefix(std::move(prefix))
        , m_lastRevision(lastRevision)
        , m_callbacks(std::move(callbacks))
    {
    }

    void selectSource()
    {
        std::optional<SocketAddress> relay = findRelay();
        if (relay)
            askRelay(*relay);
        else
            watchDirectly();
    }

    void close()
    {
        m_callbacks = {};
        m_isClosed = true;
        if (m_directWatch)
            m_store.endDirectWatch();
        m_directWatch.reset();
        m_store.scheduler.cancel(m_nextRelayTimer);
        if (auto exchange = std::exchange(m_exchange, nullptr))
            exchange->cancel();
    }

private:
    std::optional<SocketAddress> findRelay() const
    {
        bool mustBeDirect = m_store.now() < m_store.directWatchUntil;
        return mustBeDirect ? std::nullopt : m_store.relayCallbacks.findRelay();
    }

    void watchDirectly()
    {
        logChange(LogLevel::Info, "store_watched_directly", { { "era", m_lastRevision.era }, { "after", m_lastRevision.number } });
        ++m_store.directWatchCount;
        std::weak_ptr<Subscription> weak = weak_from_this();
        StoreWatchCallbacks callbacks;
        callbacks.onEvents = [weak](const std::vector<StoreEvent>& events) {
            if (auto self = weak.lock()) {
                self->m_store.recordStoreAnswer();
                self->applyEvents(events);
            }
        };
        callbacks.onEnd = [weak](const absl::Status& status) {
            if (auto self = weak.lock())
                self->endWithError(status);
        };
        callbacks.onCurrent = [weak] {
            if (auto self = weak.lock())
                self->handleStoreConfirmation();
        };
        m_directWatch = m_store.directStore.watch(m_prefix, m_lastRevision.next(), std::move(callbacks));
    }

    // Switches to a relay right after an answer of the store, when the data is new and
    // the relay has the most time for its first answer.
    void handleStoreConfirmation()
    {
        m_store.recordStoreAnswer();
        m_store.answerWaiters();
        notifyCurrent();
        std::optional<SocketAddress> relay = m_isClosed ? std::nullopt : findRelay();
        if (relay)
            switchToRelay(*relay);
    }

    void switchToRelay(const SocketAddress& relay)
    {
        m_directWatch.reset();
        --m_store.directWatchCount;
        m_store.storeAnsweredAt.reset();
        m_store.refuseWaiters();
        askRelay(relay);
    }

    void askRelay(const SocketAddress& relay)
    {
        m_askedAt = m_store.now();
        HttpClientRequest request;
        request.server = relay;
        addChangesAfter(request.headers, m_lastRevision);
        request.connectTimeout = relayConnectTimeout;
        // An entry whose data is too old, such as after a network partition, needs an
        // immediate answer. Any other entry waits until its data reaches the max age.
        Duration left = maxAge - m_store.age().value_or(maxAge);
        bool isStale = left <= Duration::zero();
        if (isStale)
            request.headers.add(changesAtOnceHeader, "1");
        request.headTimeout = isStale ? immediateAnswerTimeout : std::chrono::ceil<milliseconds>(left);
        request.idleTimeout = relayIdleTimeout;
        m_exchange = sendForWhole(m_store.peerClient, std::move(request), maxAnswerBytes,
            [weak = weak_from_this(), relay](const HttpResult& result, const HttpResponseHead& head, const std::string& body) {
                if (auto self = weak.lock())
                    self->handleRelayAnswer(relay, result, head, body);
            });
    }

    void handleRelayAnswer(const SocketAddress& relay, const HttpResult& result, const HttpResponseHead& head, const std::string& body)
    {
        m_exchange.reset();
        bool isAnswer = result.end == HttpEnd::Complete && head.status == statusOk;
        absl::StatusOr<StoreChanges> changes = isAnswer ? decodeStoreChanges(body) : absl::UnavailableError("relay did not return store changes");
        if (changes.ok() && changes->age > maxAge)
            changes = absl::UnavailableError("store changes from the relay exceed the maximum age");
        if (changes.ok() && changes->revision.era < m_lastRevision.era)
            changes = absl::UnavailableError(absl::StrCat("store changes from the relay are of era ", changes->revision.era, " of the store"));
        if (!changes.ok()) {
            handleRelayFailure(relay, head.status, isAnswer ? std::string(changes.status().message()) : result.detail);
            return;
        }
        m_store.recordCurrentAsOf(m_store.now() - changes->age);
        std::vector<StoreEvent> events;
        for (StoreChange& change : changes->changes)
            events.push_back({ change.isDeletion, { std::move(change.key), std::move(change.value), change.revision, {} } });
        m_consecutiveFailures = 0;
        auto self = shared_from_this();
        if (changes->spansListing && m_store.relayCallbacks.recordHistoryGap)
            m_store.relayCallbacks.recordHistoryGap();
        StoreRevision before = m_store.mirror.revision();
        bool isNewEra = changes->revision.era > m_lastRevision.era;
        if (!events.empty())
            applyEvents(events);
        if (isNewEra)
            m_store.mirror.recordGap(before, changes->revision);
        // The answer's own revision may be later than that of its last change, since later
        // changes may have cancelled each other.
        m_lastRevision = std::max(m_lastRevision, changes->revision);
        notifyCurrent();
        if (!m_isClosed)
            selectSource();
    }

    // A relay that no longer has the changes this entry needs (status 410) hasn't failed.
    void handleRelayFailure(const SocketAddress& relay, int status, const std::string& detail)
    {
        logChange(LogLevel::Warning, "relay_lost", { { "relay", relay.toString() }, { "status", status }, { "detail", detail }, { "era", m_lastRevision.era }, { "seen", m_lastRevision.number } });
        if (status != statusGone)
            m_store.relayCallbacks.recordRelayFailure(relay);
        bool isFirst = std::exchange(m_consecutiveFailures, m_consecutiveFailures + 1) == 0;
        // A relay that timed out has used up much of the time within which changes must
        // arrive, so no second relay is asked.
        bool failedFast = m_store.now() - m_askedAt < relayConnectTimeout || status != 0;
        if (isFirst && failedFast) {
            askNextRelay();
            return;
        }
        m_consecutiveFailures = 0;
        m_store.directWatchUntil = m_store.now() + directWatchDuration;
        watchDirectly();
    }

    // All entries of a zone lose their relay at the same time. The delay lets the next
    // relay start to watch the store for the others.
    void askNextRelay()
    {
        m_nextRelayTimer = m_store.scheduler.callAfter(nextRelayDelay, [weak = weak_from_this()] {
            auto self = weak.lock();
            if (self && !self->m_isClosed)
                self->selectSource();
        });
    }

    void applyEvents(const std::vector<StoreEvent>& events)
    {
        for (const StoreEvent& event : events)
            m_lastRevision = std::max(m_lastRevision, event.current.revision);
        m_store.mirror.applyEvents(events);
        m_store.answerWaiters();
        auto onEvents = m_callbacks.onEvents;
        if (onEvents)
            onEvents(events);
    }

    void notifyCurrent()
    {
        auto onCurrent = m_callbacks.onCurrent;
        if (onCurrent)
            onCurrent();
    }

    void endWithError(const absl::Status& status)
    {
        logChange(LogLevel::Warning, "store_watch_ended", { { "era", m_lastRevision.era }, { "after", m_lastRevision.number }, { "detail", std::string(status.message()) } });
        auto onEnd = std::move(m_callbacks.onEnd);
        close();
        if (onEnd)
            onEnd(status);
    }

    Impl& m_store;
    std::string m_prefix;
    StoreRevision m_lastRevision;
    StoreWatchCallbacks m_callbacks;
    std::unique_ptr<StoreWatch> m_directWatch;
    std::shared_ptr<HttpExchange> m_exchange;
    TimerId m_nextRelayTimer { 0 };
    TimePoint m_askedAt {};
    /// Consecutive failures of relays.
    int m_consecutiveFailures { 0 };
    bool m_isClosed { false };
};

// An entry of an earlier release takes revisions for numbers that only rise. It is answered as
// long as they do; after that it has to watch the store itself. An entry of a later era than
// this one knows what this one still has to learn.
void RelayedStore::Impl::answer(HttpResponder& responder, StoreRevision after, bool knowsEras) const
{
    HttpResponseHead head;
    StoreRevision position = knowsEras || after == StoreRevision {} ? after : StoreRevision { mirror.revision().era, after.number };
    bool canAnswer = position.era <= mirror.revision().era && (knowsEras || !mirror.hasSeenEras());
    std::optional<StoreChanges> changes = canAnswer ? mirror.changesAfter(position) : std::nullopt;
    if (changes && !knowsEras)
        removeEras(*changes);
    if (changes)
        changes->age = std::chrono::ceil<milliseconds>(age().value_or(longestStoreAge));
    head.status = changes ? statusOk : statusGone;
    responder.send(head, changes ? encodeStoreChanges(*changes) : "");
}

void RelayedStore::Impl::answerWaiters()
{
    auto waiting = std::exchange(waiters, {});
    for (Waiter& waiter : waiting)
        answer(*waiter.responder, waiter.afterRevision, waiter.knowsEras);
}

void RelayedStore::Impl::refuseWaiters()
{
    auto waiting = std::exchange(waiters, {});
    for (Waiter& waiter : waiting) {
        HttpResponseHead head;
        head.status = statusUnavailable;
        waiter.responder->send(head, "");
    }
}

void RelayedStore::Impl::recordCurrentAsOf(TimePoint time)
{
    currentAsOf = std::max(currentAsOf.value_or(time), time);
}

void RelayedStore::Impl::recordStoreAnswer()
{
    storeAnsweredAt = now();
    watchLostAt.reset();
    recordCurrentAsOf(now());
}

std::optional<Duration> RelayedStore::Impl::age() const
{
    if (!currentAsOf)
        return std::nullopt;
    return now() - *currentAsOf;
}

// A new watch is usually answered soon, unless it follows a watch that ended. Entries
// that wait here while the store doesn't answer would take the missing changes for
// the absence of changes.
bool RelayedStore::Impl::mayRelay() const
{
    if (hasStopped)
        return false;
    if (watchLostAt)
        return now() < *watchLostAt + waiterHoldTime;
    return isDirect() && (!storeAnsweredAt || now() - *storeAnsweredAt <= maxAge);
}

void RelayedStore::Impl::endDirectWatch()
{
    --directWatchCount;
    if (isDirect())
        return;
    if (!watchLostAt)
        watchLostAt = now();
    scheduler.callAfter(waiterHoldTime, [weak = weak_from_this()] {
        auto self = weak.lock();
        if (self && !self->mayRelay())
            self->refuseWaiters();
    });
}

void RelayedStore::Impl::bootstrapFromPeer(const absl::Status& failure, ListCallback done)
{
    std::optional<SocketAddress> peer = relayCallbacks.findBootstrapPeer ? relayCallbacks.findBootstrapPeer() : std::nullopt;
    if (mirror.revision() > StoreRevision {} || !peer) {
        done(failure);
        return;
    }
    HttpClientRequest request;
    request.server = *peer;
    addChangesAfter(request.headers, {});
    request.connectTimeout = relayConnectTimeout;
    request.headTimeout = bootstrapTimeout;
    request.idleTimeout = bootstrapTimeout;
    sendForWhole(peerClient, std::move(request), maxAnswerBytes,
        [weak = weak_from_this(), peer = *peer, failure, done = std::move(done)](const HttpResult& result, const HttpResponseHead& head, const std::string& body) {
            auto self = weak.lock();
            if (!self)
                return;
            bool isAnswer = result.end == HttpEnd::Complete && head.status == statusOk;
            absl::StatusOr<StoreChanges> known = isAnswer ? decodeStoreChanges(body) : failure;
            if (!known.ok()) {
                done(known.status());
                return;
            }
            StoreListing listing;
            listing.revision = known->revision;
            listing.isSecondHand = true;
            for (StoreChange& change : known->changes)
                listing.values.push_back({ std::move(change.key), std::move(change.value), change.revision, {} });
            logChange(LogLevel::Warning, "store_learned_from_entry", { { "from", peer.toString() }, { "era", listing.revision.era }, { "revision", listing.revision.number }, { "keys", listing.values.size() } });
            self->recordCurrentAsOf(self->now() - known->age);
            self->mirror.applyListing(listing);
            done(std::move(listing));
        });
}

RelayedStore::RelayedStore(Store& directStore, HttpClient& peerClient, Scheduler& scheduler, RelayCallbacks relayCallbacks)
    : m_impl(std::make_shared<Impl>(directStore, peerClient, scheduler, std::move(relayCallbacks)))
{
}

RelayedStore::~RelayedStore() = default;

void RelayedStore::get(const std::string& key, GetCallback done)
{
    m_impl->directStore.get(key, std::move(done));
}

void RelayedStore::list(const std::string& prefix, ListCallback done)
{
    m_impl->directStore.list(prefix, [weak = std::weak_ptr<Impl>(m_impl), askedAt = m_impl->now(), done = std::move(done)](const absl::StatusOr<StoreListing>& listing) {
        auto impl = weak.lock();
        if (!impl)
            return;
        if (!listing.ok()) {
            logChange(LogLevel::Warning, "store_listing_failed", { { "detail", std::string(listing.status().message()) } });
            impl->bootstrapFromPeer(listing.status(), done);
            return;
        }
        bool isStale = listing->revision < impl->mirror.revision();
        logChange(isStale ? LogLevel::Warning : LogLevel::Info, isStale ? "store_listing_stale" : "store_listed",
            { { "era", listing->revision.era }, { "revision", listing->revision.number }, { "before_era", impl->mirror.revision().era }, { "before", impl->mirror.revision().number }, { "keys", listing->values.size() } });
        impl->recordCurrentAsOf(askedAt);
        impl->mirror.applyListing(*listing);
        done(listing);
    });
}

void RelayedStore::compareAndSwap(const std::string& key, StoreRevision expected, const std::string& value, StoreLease lease, SwapCallback done)
{
    m_impl->directStore.compareAndSwap(key, expected, value, lease, std::move(done));
}

void RelayedStore::compareAndDelete(const std::string& key, StoreRevision expected, SwapCallback done)
{
    m_impl->directStore.compareAndDelete(key, expected, std::move(done));
}

void RelayedStore::grantLease(milliseconds timeToLive, LeaseCallback done)
{
    m_impl->directStore.grantLease(timeToLive, std::move(done));
}

void RelayedStore::keepAlive(StoreLease lease, KeepAliveCallback done)
{
    m_impl->directStore.keepAlive(lease, std::move(done));
}

void RelayedStore::revokeLease(StoreLease lease, DoneCallback done)
{
    m_impl->directStore.revokeLease(lease, std::move(done));
}

void RelayedStore::setEraCallback(const std::function<void()>& onNewEra)
{
    m_impl->directStore.setEraCallback(onNewEra);
}

namespace {

    /// Closes its watch on destruction.
    template <typename Watched>
    class RelayedWatch final : public StoreWatch {
    public:
        explicit RelayedWatch(std::shared_ptr<Watched> watched)
            : m_watched(std::move(watched))
        {
        }
        ~RelayedWatch() override { m_watched->close(); }
        RelayedWatch(const RelayedWatch&) = delete;
        RelayedWatch& operator=(const RelayedWatch&) = delete;

    private:
        std::shared_ptr<Watched> m_watched;
    };

} // namespace

std::unique_ptr<StoreWatch> RelayedStore::watch(const std::string& prefix, StoreRevision firstRevision, StoreWatchCallbacks callbacks)
{
    auto subscription = std::make_shared<Impl::Subscription>(*m_impl, prefix, firstRevision.previous(), std::move(callbacks));
    subscription->selectSource();
    return std::make_unique<RelayedWatch<Impl::Subscription>>(std::move(subscription));
}

void RelayedStore::answerPeer(const HttpRequest& request, std::shared_ptr<HttpResponder> responder)
{
    Impl& impl = *m_impl;
    const std::string* text = request.headers.find(changesAfterHeader);
    StoreRevision after;
    bool isValid = text && absl::SimpleAtoi(*text, &after.number);
    const std::string* era = request.headers.find(changesEraHeader);
    bool knowsEras = era && absl::SimpleAtoi(*era, &after.era);
    bool requestsAllKeys = isValid && after.number == 0 && impl.mirror.revision() > StoreRevision {};
    if (!requestsAllKeys && (!isValid || !impl.mayRelay())) {
        HttpResponseHead head;
        head.status = statusUnavailable;
        responder->send(head, "");
        return;
    }
    const StoreRevision known = impl.mirror.revision();
    bool hasChanges = knowsEras ? after < known || after.era > known.era : after.number < known.number;
    bool wantsImmediateAnswer = request.headers.find(changesAtOnceHeader) != nullptr;
    if (after.number == 0 || (impl.storeAnsweredAt && (hasChanges || wantsImmediateAnswer)))
        impl.answer(*responder, after, knowsEras);
    else
        impl.waiters.push_back({ after, knowsEras, std::move(responder) });
}

void RelayedStore::stopRelaying()
{
    m_impl->hasStopped = true;
    m_impl->refuseWaiters();
}

bool RelayedStore::watchesDirectly() const
{
    return m_impl->isDirect();
}

std::optional<Duration> RelayedStore::dataAge() const
{
    return m_impl->age();
}

} // namespace catkinwing
