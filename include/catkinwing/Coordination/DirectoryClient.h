#pragma once

#include "catkinwing/Coordination/Instance.h"
#include "catkinwing/Http/HttpClient.h"
#include "catkinwing/Support/Scheduler.h"
#include <absl/status/status.h>

namespace catkinwing {

/// Settings of a directory client.
struct DirectoryClientOptions {
    /// Tried in turn; with none, nothing is ever announced.
    std::vector<SocketAddress> servers;
    /// Name of the service under which the instance is listed.
    std::string service;
    /// Sent as Catkinwing-From with each call.
    std::string callerName;
    std::chrono::milliseconds connectTimeout { 500 };
    std::chrono::milliseconds callTimeout { 2'000 };
    std::chrono::milliseconds retryDelay { 1'000 };
    /// The entry is written again this often, in case the directory lost it.
    std::chrono::milliseconds renewEvery { 60'000 };
};

/// Counts since the start of the process.
struct DirectoryCounters {
    std::uint64_t registrations { 0 };
    std::uint64_t deregistrations { 0 };
    std::uint64_t failures { 0 };
};

/// Keeps this instance's own entry in the platform's directory, over the
/// published Consul catalog API. Registering is idempotent and is repeated
/// until it succeeds.
class DirectoryClient {
public:
    using DoneCallback = std::function<void(absl::Status)>;

    /// \p http and \p scheduler must outlive the client.
    DirectoryClient(HttpClient& http, Scheduler& scheduler, DirectoryClientOptions options);
    ~DirectoryClient();
    DirectoryClient(const DirectoryClient&) = delete;
    DirectoryClient& operator=(const DirectoryClient&) = delete;

    /// Registers \p instance and keeps it registered; a later call replaces it,
    /// for instance by the same one in state Leaving.
    void announce(Instance instance);
    /// Takes the entry out; tried once at each server.
    void withdraw(DoneCallback done);
    /// Tells whether the directory has confirmed the latest announced entry.
    bool isAnnounced() const;
    const DirectoryCounters& counters() const;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace catkinwing
