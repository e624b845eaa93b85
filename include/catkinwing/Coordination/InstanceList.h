#pragma once

#include "catkinwing/Coordination/Instance.h"
#include "catkinwing/Http/HttpClient.h"
#include "catkinwing/Support/Random.h"
#include "catkinwing/Support/Scheduler.h"

namespace catkinwing {

/// Settings of a list.
struct InstanceListOptions {
    /// Tried in turn; with none, the list stays empty.
    std::vector<SocketAddress> servers;
    /// Name of the service whose instances are wanted.
    std::string service;
    /// Sent as Catkinwing-From with each call.
    std::string callerName;
    /// Longest wait of one blocking query.
    std::chrono::milliseconds wait { 30'000 };
    std::chrono::milliseconds connectTimeout { 500 };
    /// Added to the wait before a query counts as failed.
    std::chrono::milliseconds answerTimeout { 5'000 };
    std::chrono::milliseconds retryDelay { 500 };
    std::chrono::milliseconds longestRetryDelay { 10'000 };
    /// Shortest pause between two answers, so that a list which changes all the time costs little.
    std::chrono::milliseconds shortestPause { 200 };
};

/// Counts since the start of the process.
struct InstanceListCounters {
    std::uint64_t queries { 0 };
    std::uint64_t failures { 0 };
    std::uint64_t malformed { 0 };
};

/// Follows the instances of one service by blocking queries of the published
/// Consul health API. The list lags and may be unreachable: the last good one
/// is kept, and callers treat it as a hint.
class InstanceList {
public:
    using ChangeCallback = std::function<void(const std::vector<Instance>&)>;

    /// \p http, \p scheduler and \p random must outlive the list.
    InstanceList(HttpClient& http, Scheduler& scheduler, Random& random, InstanceListOptions options, ChangeCallback onChange);
    ~InstanceList();
    InstanceList(const InstanceList&) = delete;
    InstanceList& operator=(const InstanceList&) = delete;

    void start();
    void stop();

    /// Returns the last good list, by id.
    const std::vector<Instance>& instances() const;
    /// Tells whether a good answer ever came.
    bool hasAnswer() const;
    /// When the last good answer came.
    TimePoint updatedAt() const;
    const InstanceListCounters& counters() const;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace catkinwing
