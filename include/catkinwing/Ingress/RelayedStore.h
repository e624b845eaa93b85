#pragma once

#include "catkinwing/Coordination/Store.h"
#include "catkinwing/Http/HttpClient.h"
#include "catkinwing/Http/HttpServer.h"
#include "catkinwing/Ingress/StoreMirror.h"
#include "catkinwing/Support/Scheduler.h"
#include <functional>

namespace catkinwing {

/// Callbacks by which a RelayedStore selects other entries and reports failures.
struct RelayCallbacks {
    /// Returns the entry to request changes from; nothing if this entry is to
    /// watch the store directly.
    std::function<std::optional<SocketAddress>()> findRelay;
    /// Reports that a relay failed to return usable changes.
    std::function<void(const SocketAddress&)> recordRelayFailure;
    /// Reports that the next events were derived from a listing because a part
    /// of the change history was lost.
    std::function<void()> recordHistoryGap;
    /// Returns an entry to fetch all keys from while the store is unreachable and
    /// this entry has no data yet; nothing if no such entry is known.
    std::function<std::optional<SocketAddress>()> findBootstrapPeer;
};

/// A store whose watch goes through another entry, the relay, if there is one, so
/// that the number of store calls grows with the number of zones and not of
/// entries. All other calls go to the store directly. An entry watches the store
/// directly once its data is two seconds old. An entry that starts while the
/// store is unreachable fetches all keys from another entry.
class RelayedStore final : public Store {
public:
    /// All references must outlive the store.
    RelayedStore(Store& directStore, HttpClient& peerClient, Scheduler& scheduler, RelayCallbacks relayCallbacks);
    ~RelayedStore() override;
    RelayedStore(const RelayedStore&) = delete;
    RelayedStore& operator=(const RelayedStore&) = delete;

    void get(const std::string& key, GetCallback done) override;
    void list(const std::string& prefix, ListCallback done) override;
    void compareAndSwap(const std::string& key, StoreRevision expected, const std::string& value, StoreLease lease, SwapCallback done) override;
    void compareAndDelete(const std::string& key, StoreRevision expected, SwapCallback done) override;
    std::unique_ptr<StoreWatch> watch(const std::string& prefix, StoreRevision firstRevision, StoreWatchCallbacks callbacks) override;
    void grantLease(std::chrono::milliseconds timeToLive, LeaseCallback done) override;
    void keepAlive(StoreLease lease, KeepAliveCallback done) override;
    void revokeLease(StoreLease lease, DoneCallback done) override;
    void setEraCallback(const std::function<void()>& onNewEra) override;

    /// Answers another entry's request for changes, which waits for the store's
    /// next answer if there are no changes yet. Refuses the request with status
    /// 503 unless this entry watches the store directly and receives answers. A
    /// request for all keys is the exception: every entry that has data answers it,
    /// even without a watch, since the sender has no other source. Each answer holds the age of its data.
    void answerPeer(const HttpRequest& request, std::shared_ptr<HttpResponder> responder);
    /// Refuses all waiting and later requests for changes.
    void stopRelaying();
    /// Returns whether this entry watches the store directly.
    bool watchesDirectly() const;
    /// Returns how long ago the store confirmed, directly or through a relay, that
    /// this entry's data was complete; nothing before the first confirmation.
    std::optional<Duration> dataAge() const;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace catkinwing
