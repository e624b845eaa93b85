#include "catkinwing/Coordination/EtcdStore.h"

#include "EtcdMessages.h"
#include "EtcdWatch.h"
#include "catkinwing/Coordination/ServerCall.h"
#include <algorithm>
#include <cassert>
#include <utility>

namespace catkinwing {

static constexpr int statusOk = 200;

const char* storeCallName(StoreCall call)
{
    switch (call) {
    case StoreCall::Get:
        return "get";
    case StoreCall::List:
        return "list";
    case StoreCall::Swap:
        return "swap";
    case StoreCall::Delete:
        return "delete";
    case StoreCall::Watch:
        return "watch";
    case StoreCall::GrantLease:
        return "grant_lease";
    case StoreCall::KeepAlive:
        return "keep_alive";
    case StoreCall::RevokeLease:
        break;
    }
    return "revoke_lease";
}

struct EtcdStore::Impl : std::enable_shared_from_this<Impl> {
    Impl(HttpClient& givenHttp, Scheduler& givenScheduler, EtcdStoreOptions givenOptions)
        : http(givenHttp)
        , scheduler(givenScheduler)
        , options(std::move(givenOptions))
        , reads(options.reads, givenScheduler.clock().now())
        , writes(options.writes, givenScheduler.clock().now())
    {
    }

    bool admit(StoreCall call);
    HttpClientRequest request(const char* path, std::string body) const;
    void send(StoreCall call, const char* path, std::string body, std::function<void(const ServerAnswer&)> done);
    void sendSwap(StoreCall call, StoreRevision expected, std::string body, SwapCallback done);
    SwapResult readSwap(StoreCall call, StoreRevision expected, const ServerAnswer& answer);
    template <typename Value>
    absl::StatusOr<Value> read(StoreCall call, const ServerAnswer& answer, absl::StatusOr<Value> (*reader)(absl::string_view));
    absl::Status failure(StoreCall call, const ServerAnswer& answer);

    HttpClient& http;
    Scheduler& scheduler;
    EtcdStoreOptions options;
    TokenBucket reads;
    TokenBucket writes;
    /// Server that answered last, tried first.
    std::size_t preferredServer { 0 };
    std::shared_ptr<StoreCounters> counters { std::make_shared<StoreCounters>() };
};

// A renewal that is held back would cost the lease, and a watch saves reads.
// Both are few, by their owners' pauses.
bool EtcdStore::Impl::admit(StoreCall call)
{
    TimePoint now = scheduler.clock().now();
    bool isAdmitted = true;
    switch (call) {
    case StoreCall::Get:
    case StoreCall::List:
        isAdmitted = reads.tryTake(1, now);
        break;
    case StoreCall::Swap:
    case StoreCall::Delete:
        isAdmitted = writes.tryTake(1, now);
        break;
    case StoreCall::Watch:
        reads.takeIntoDebt(1, now);
        break;
    case StoreCall::GrantLease:
    case StoreCall::KeepAlive:
    case StoreCall::RevokeLease:
        writes.takeIntoDebt(1, now);
        break;
    }
    if (!isAdmitted)
        ++counters->of(call).refused;
    return isAdmitted;
}

HttpClientRequest EtcdStore::Impl::request(const char* path, std::string body) const
{
    HttpClientRequest request;
    request.method = "POST";
    request.target = path;
    request.headers.add("content-type", "application/json");
    request.headers.add("catkinwing-from", options.callerName);
    request.body = std::move(body);
    return request;
}

// Swaps are never repeated here: a swap that took effect unseen would answer
// its repetition with a conflict.
static bool isIdempotent(StoreCall call)
{
    return call != StoreCall::Swap && call != StoreCall::Delete && call != StoreCall::GrantLease;
}

void EtcdStore::Impl::send(StoreCall call, const char* path, std::string body, std::function<void(const ServerAnswer&)> done)
{
    auto whileAlive = [weak = weak_from_this(), call, done = std::move(done)](const ServerAnswer& answer) {
        auto self = weak.lock();
        if (!self)
            return;
        self->counters->of(call).sent += answer.attempts;
        self->preferredServer = answer.server;
        done(answer);
    };
    if (!admit(call)) {
        ServerAnswer refusal;
        refusal.server = preferredServer;
        refusal.detail = "rate of calls to the store is used up";
        scheduler.callAfter(Duration::zero(), [whileAlive, refusal] { whileAlive(refusal); });
        return;
    }
    ServerCall serverCall;
    serverCall.servers = options.servers;
    serverCall.firstServer = preferredServer;
    serverCall.request = request(path, std::move(body));
    serverCall.isIdempotent = isIdempotent(call);
    serverCall.connectTimeout = options.connectTimeout;
    serverCall.callTimeout = options.callTimeout;
    serverCall.maxAnswerBytes = options.maxAnswerBytes;
    callServers(http, scheduler, std::move(serverCall), whileAlive);
}

absl::Status EtcdStore::Impl::failure(StoreCall call, const ServerAnswer& answer)
{
    ++counters->of(call).failed;
    if (!answer.isComplete)
        return absl::UnavailableError("no answer from the store: " + answer.detail);
    return readError(answer.head.status, answer.body);
}

template <typename Value>
absl::StatusOr<Value> EtcdStore::Impl::read(StoreCall call, const ServerAnswer& answer, absl::StatusOr<Value> (*reader)(absl::string_view))
{
    if (!answer.isComplete || answer.head.status != statusOk)
        return failure(call, answer);
    auto value = reader(answer.body);
    if (!value.ok() && absl::IsUnavailable(value.status())) {
        ++counters->of(call).failed;
        ++counters->malformed;
    }
    return value;
}

void EtcdStore::Impl::sendSwap(StoreCall call, StoreRevision expected, std::string body, SwapCallback done)
{
    send(call, "/v3/kv/txn", std::move(body), [this, call, expected, done = std::move(done)](const ServerAnswer& answer) {
        done(readSwap(call, expected, answer));
    });
}

SwapResult EtcdStore::Impl::readSwap(StoreCall call, StoreRevision expected, const ServerAnswer& answer)
{
    auto txn = read(call, answer, readTxn);
    if (txn.ok() && !txn->isCommitted)
        return { SwapOutcome::Conflict, 0 };
    if (txn.ok() && txn->revision > expected)
        return { SwapOutcome::Committed, txn->revision };
    bool isRefusal = answer.isComplete && answer.head.status != statusOk && provesNotApplied(txn.status());
    if (!answer.mayHaveReachedServer || isRefusal)
        return { SwapOutcome::NotSent, 0 };
    return { SwapOutcome::Unknown, 0 };
}

EtcdStore::EtcdStore(HttpClient& http, Scheduler& scheduler, EtcdStoreOptions options)
    : m_impl(std::make_shared<Impl>(http, scheduler, std::move(options)))
{
    assert(!m_impl->options.servers.empty() && "the store needs a server");
}

EtcdStore::~EtcdStore() = default;

void EtcdStore::get(const std::string& key, GetCallback done)
{
    m_impl->send(StoreCall::Get, "/v3/kv/range", rangeBody(key), [impl = m_impl.get(), key, done = std::move(done)](const ServerAnswer& answer) {
        auto listing = impl->read(StoreCall::Get, answer, readRange);
        if (!listing.ok()) {
            done(listing.status());
            return;
        }
        if (listing->values.empty()) {
            done(StoredValue { key, "", 0 });
            return;
        }
        if (listing->values.size() != 1 || listing->values.front().key != key) {
            ++impl->counters->malformed;
            done(absl::UnavailableError("store answered with another key"));
            return;
        }
        done(std::move(listing->values.front()));
    });
}

static bool holdsOnly(const StoreListing& listing, const std::string& prefix)
{
    auto isBelow = [&](const StoredValue& value) { return value.key.compare(0, prefix.size(), prefix) == 0; };
    return std::all_of(listing.values.begin(), listing.values.end(), isBelow);
}

void EtcdStore::list(const std::string& prefix, ListCallback done)
{
    m_impl->send(StoreCall::List, "/v3/kv/range", prefixRangeBody(prefix), [impl = m_impl.get(), prefix, done = std::move(done)](const ServerAnswer& answer) {
        auto listing = impl->read(StoreCall::List, answer, readRange);
        if (listing.ok() && !holdsOnly(*listing, prefix)) {
            ++impl->counters->malformed;
            done(absl::UnavailableError("store answered with another prefix"));
            return;
        }
        done(std::move(listing));
    });
}

void EtcdStore::compareAndSwap(const std::string& key, StoreRevision expected, const std::string& value, StoreLease lease, SwapCallback done)
{
    m_impl->sendSwap(StoreCall::Swap, expected, swapBody(key, expected, value, lease), std::move(done));
}

void EtcdStore::compareAndDelete(const std::string& key, StoreRevision expected, SwapCallback done)
{
    assert(expected > 0 && "an absent key can't be deleted");
    m_impl->sendSwap(StoreCall::Delete, expected, deleteBody(key, expected), std::move(done));
}

std::unique_ptr<StoreWatch> EtcdStore::watch(const std::string& prefix, StoreRevision firstRevision, StoreWatchCallbacks callbacks)
{
    m_impl->admit(StoreCall::Watch);
    HttpClientRequest request = m_impl->request("/v3/watch", watchBody(prefix, firstRevision));
    request.connectTimeout = m_impl->options.connectTimeout;
    request.headTimeout = m_impl->options.callTimeout;
    request.idleTimeout = m_impl->options.watchIdleTimeout;
    request.freshConnection = true;
    return openEtcdWatch(m_impl->http, m_impl->options, m_impl->preferredServer, std::move(request), m_impl->counters, std::move(callbacks));
}

void EtcdStore::grantLease(std::chrono::milliseconds timeToLive, LeaseCallback done)
{
    auto asked = std::chrono::ceil<std::chrono::seconds>(timeToLive);
    m_impl->send(StoreCall::GrantLease, "/v3/lease/grant", grantBody(asked), [impl = m_impl.get(), asked, done = std::move(done)](const ServerAnswer& answer) {
        auto granted = impl->read(StoreCall::GrantLease, answer, readGrant);
        if (!granted.ok()) {
            done(granted.status());
            return;
        }
        // The holder counts on what it asked for.
        if (granted->timeToLive < asked) {
            done(absl::UnavailableError("store granted a shorter lease than was asked for"));
            return;
        }
        done(granted->lease);
    });
}

void EtcdStore::keepAlive(StoreLease lease, KeepAliveCallback done)
{
    m_impl->send(StoreCall::KeepAlive, "/v3/lease/keepalive", leaseBody(lease), [impl = m_impl.get(), done = std::move(done)](const ServerAnswer& answer) {
        auto renewed = impl->read(StoreCall::KeepAlive, answer, readKeepAlive);
        if (!renewed.ok()) {
            done(renewed.status());
            return;
        }
        done(std::chrono::milliseconds(renewed->timeToLive));
    });
}

void EtcdStore::revokeLease(StoreLease lease, DoneCallback done)
{
    m_impl->send(StoreCall::RevokeLease, "/v3/lease/revoke", leaseBody(lease), [impl = m_impl.get(), done = std::move(done)](const ServerAnswer& answer) {
        bool isDone = answer.isComplete && answer.head.status == statusOk;
        done(isDone ? absl::OkStatus() : impl->failure(StoreCall::RevokeLease, answer));
    });
}

const StoreCounters& EtcdStore::counters() const
{
    return *m_impl->counters;
}

} // namespace catkinwing
