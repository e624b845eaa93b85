#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace catkinwing {

/// The counters and gauges of a daemon, in Prometheus' text format. Label
/// values come from documents and enums, never from callers, so that the
/// number of series stays bounded.
class Metrics {
public:
    Metrics();
    ~Metrics();

    /// Counts an answered request.
    void countRequest(const std::string& team, const std::string& className, const std::string& outcome);
    /// Observes the time from arrival to the first token.
    void observeFirstToken(const std::string& className, std::chrono::nanoseconds time);
    /// Observes the time that a request waited in the queue.
    void observeQueueWait(const std::string& className, std::chrono::nanoseconds time);
    /// Observes how long a stage of a service's requests took, such as "attempt".
    void observeStage(const std::string& stage, const std::string& service, std::chrono::nanoseconds time);
    /// Counts an event by name, such as "retries" or "forwards".
    void count(const std::string& name, double amount = 1);
    /// Sets a gauge by name, such as "queue_length".
    void set(const std::string& name, double value);
    /// Returns all of it as text.
    std::string render() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace catkinwing
