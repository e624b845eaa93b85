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

/// Makes the client of the store at the given servers; \p onCall is to be told
/// the kind of each request that it sends.
using StoreMaker = std::function<std::unique_ptr<Store>(HttpClient& http, Scheduler& scheduler, std::vector<SocketAddress> servers,
    std::function<void(const char* kind)> onCall)>;

/// One entry that serves requests by host and path: follows the store, answers
/// the directory's and the platform's questions, and runs requests.
class IngressDaemon {
public:
    /// Starts to serve; the loop must outlive the daemon, and the settings must
    /// have the part for it.
    static absl::StatusOr<std::unique_ptr<IngressDaemon>> start(EventLoop& loop, const DaemonSettings& settings, Random random,
        const Dialect& dialect, const StoreMaker& makeStore);
    ~IngressDaemon();
    IngressDaemon(const IngressDaemon&) = delete;
    IngressDaemon& operator=(const IngressDaemon&) = delete;

    /// Leaves the directory, finishes what is open, and then calls \p done, at
    /// the latest when the drain timeout has passed. Further calls do nothing.
    void drain(std::function<void()> done);
    /// Notes that the settings file has changed.
    void reload(const DaemonSettings& settings);

private:
    struct Impl;
    explicit IngressDaemon(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> m_impl;
};

} // namespace catkinwing
