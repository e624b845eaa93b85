#pragma once

#include "catkinwing/Coordination/Store.h"
#include "catkinwing/Coordination/TokenBucket.h"
#include "catkinwing/Http/HttpClient.h"
#include <array>
#include <cstddef>
#include <vector>

namespace catkinwing {

/// Kinds of calls to the store, counted apart.
enum class StoreCall {
    Get,
    List,
    Swap,
    Delete,
    Watch,
    GrantLease,
    KeepAlive,
    RevokeLease,
};
constexpr std::size_t storeCallKinds = 8;

/// Returns the name of \p call for metrics, such as "get".
const char* storeCallName(StoreCall call);

/// Counts since the start of the process.
struct StoreCounters {
    struct OfKind {
        /// Requests that were sent, each attempt counted.
        std::uint64_t sent { 0 };
        /// Calls that got no usable answer.
        std::uint64_t failed { 0 };
        /// Calls that the rate guard kept from being sent.
        std::uint64_t refused { 0 };
    };

    std::array<OfKind, storeCallKinds> byKind {};
    /// Answers that did not follow the protocol.
    std::uint64_t malformed { 0 };

    const OfKind& of(StoreCall call) const { return byKind[static_cast<std::size_t>(call)]; }
    OfKind& of(StoreCall call) { return byKind[static_cast<std::size_t>(call)]; }
};

/// Settings of a store client.
struct EtcdStoreOptions {
    /// Tried in turn when a connection fails.
    std::vector<SocketAddress> servers;
    /// Sent as Catkinwing-From with each call.
    std::string callerName;
    std::chrono::milliseconds connectTimeout { 500 };
    /// Longest time from call to callback, attempts at all servers included.
    std::chrono::milliseconds callTimeout { 2'000 };
    /// A watch that is silent for this long ends.
    std::chrono::milliseconds watchIdleTimeout { 60'000 };
    /// Calls beyond these rates are refused at once; lease calls are counted
    /// but never refused.
    TokenRate reads { 50, 200 };
    TokenRate writes { 50, 100 };
    std::size_t maxAnswerBytes { 64u << 20 };
};

/// Store over the published HTTP/JSON gateway of etcd v3. Several hundred
/// daemons share one service, so each keeps its own calls to a stated rate.
class EtcdStore final : public Store {
public:
    /// \p http and \p scheduler must outlive the store.
    EtcdStore(HttpClient& http, Scheduler& scheduler, EtcdStoreOptions options);
    ~EtcdStore() override;

    void get(const std::string& key, GetCallback done) override;
    void list(const std::string& prefix, ListCallback done) override;
    void compareAndSwap(const std::string& key, StoreRevision expected, const std::string& value, StoreLease lease, SwapCallback done) override;
    void compareAndDelete(const std::string& key, StoreRevision expected, SwapCallback done) override;
    std::unique_ptr<StoreWatch> watch(const std::string& prefix, StoreRevision firstRevision, StoreWatchCallbacks callbacks) override;
    /// The time to live is rounded up to whole seconds.
    void grantLease(std::chrono::milliseconds timeToLive, LeaseCallback done) override;
    void keepAlive(StoreLease lease, KeepAliveCallback done) override;
    void revokeLease(StoreLease lease, DoneCallback done) override;

    const StoreCounters& counters() const;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace catkinwing
