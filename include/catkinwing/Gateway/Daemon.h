#pragma once

#include "catkinwing/Config/DaemonSettings.h"
#include "catkinwing/Http/EventLoop.h"
#include "catkinwing/Support/Random.h"
#include <absl/status/statusor.h>
#include <functional>
#include <memory>

namespace catkinwing {

/// One entry: puts the packages together on one loop.
class Daemon {
public:
    /// Starts to serve; the loop must outlive the daemon.
    static absl::StatusOr<std::unique_ptr<Daemon>> start(EventLoop& loop, const DaemonSettings& settings, Random random);
    ~Daemon();
    Daemon(const Daemon&) = delete;
    Daemon& operator=(const Daemon&) = delete;

    /// Refuses new work, finishes what is in progress, leaves the directory, and
    /// then calls \p done. Further calls do nothing.
    void drain(std::function<void()> done);
    /// Reads keys and certificates again; what is wrong is logged and the old
    /// ones stay in use.
    void reloadKeys();

private:
    struct Impl;
    explicit Daemon(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> m_impl;
};

} // namespace catkinwing
