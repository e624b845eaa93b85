#pragma once

#include "catkinwing/Config/DaemonSettings.h"
#include "catkinwing/Coordination/Store.h"
#include "catkinwing/Http/EventLoop.h"
#include "catkinwing/Http/HttpClient.h"
#include "catkinwing/Ingress/Dialect.h"
#include "catkinwing/Support/Random.h"
#include <absl/status/statusor.h>
#include <functional>
#include <memory>

namespace catkinwing {

/// Creates a store client for the given servers. The client calls \p onCall
/// with the kind of each request that it sends.
using StoreFactory = std::function<std::unique_ptr<Store>(HttpClient& http, Scheduler& scheduler, std::vector<SocketAddress> servers,
    std::function<void(const char* kind)> onCall)>;

/// One entry that routes requests by host and path. It follows the store,
/// answers directory, readiness and metrics queries, and runs requests.
class IngressDaemon {
public:
    /// Starts serving. \p loop must outlive the daemon, and \p settings must
    /// have the ingress settings.
    static absl::StatusOr<std::unique_ptr<IngressDaemon>> start(EventLoop& loop, const DaemonSettings& settings, Random random,
        const Dialect& dialect, const StoreFactory& makeStore);
    ~IngressDaemon();
    IngressDaemon(const IngressDaemon&) = delete;
    IngressDaemon& operator=(const IngressDaemon&) = delete;

    /// Deregisters from the directory, finishes open requests and then calls
    /// \p done, at the latest when the drain timeout has passed. Further calls
    /// do nothing.
    void drain(std::function<void()> done);
    /// Applies the settings that can change at run time: the drain timeout, the
    /// directory lifetime and the retry limits.
    void reload(const DaemonSettings& settings);

private:
    struct Impl;
    explicit IngressDaemon(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> m_impl;
};

} // namespace catkinwing
