#pragma once

#include "catkinwing/Coordination/Store.h"
#include "catkinwing/Http/HttpClient.h"
#include "catkinwing/Http/HttpServer.h"
#include "catkinwing/Ingress/StoreMirror.h"
#include "catkinwing/Support/Scheduler.h"
#include <functional>

namespace catkinwing {

/// Which entry to learn the store's changes from.
struct RelayChoice {
    /// Returns the entry to ask; nothing if this entry is to watch the store itself.
    std::function<std::optional<SocketAddress>()> relay;
    /// Tells that the entry did not answer as it should.
    std::function<void(const SocketAddress&)> noteFailure;
    /// Tells that what comes next was concluded from a listing after a part of
    /// the history was lost.
    std::function<void()> noteTrouble;
    /// Returns an entry to learn everything from while the store doesn't answer
    /// and this entry knows nothing yet; nothing if none is known.
    std::function<std::optional<SocketAddress>()> bootstrap;
};

/// A store whose watch goes through another entry where there is one to ask, so
/// that the store's calls grow with the zones and not with the entries. Every
/// other call goes to the store itself. An entry turns to the store once its
/// relay hasn't told for two seconds what the store says. One that starts while the store is away
/// begins with what another entry knows.
class RelayedStore final : public Store {
public:
    /// All references must outlive the store.
    RelayedStore(Store& direct, HttpClient& peers, Scheduler& scheduler, RelayChoice choice);
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

    /// Answers another entry that asks for changes, as soon as the store has
    /// answered this one; refuses unless this entry watches the store itself and
    /// hears from it. One that asks for everything has nowhere else to learn it,
    /// and gets what this entry knows. Each answer says how old it is.
    void answerPeer(const HttpRequest& request, std::shared_ptr<HttpResponder> responder);
    /// Refuses those that wait, and all that come.
    void stopRelaying();
    /// Tells whether this entry watches the store itself.
    bool isDirect() const;
    /// Returns how long ago the store has told, itself or through a relay, that
    /// nothing else had changed; nothing before the first listing.
    std::optional<Duration> age() const;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace catkinwing
