#pragma once

#include "catkinwing/Support/Scheduler.h"
#include <absl/status/statusor.h>
#include <cstdint>
#include <deque>
#include <functional>
#include <vector>

namespace catkinwing::standin {

/// What the weight store can do.
struct WeightLimits {
    double bytesPerSecond { 100e6 };
    /// Bytes that may be served at once after a quiet time.
    double burstBytes { 0 };
    /// Transfers under way and waiting; further ones are refused.
    std::size_t maxTransfers { 8 };
};

/// Names a transfer; never zero.
using TransferId = std::uint64_t;

/// Serves transfers one after the other from one token bucket.
class WeightQueue {
public:
    WeightQueue(Scheduler& scheduler, WeightLimits limits);
    ~WeightQueue();
    WeightQueue(const WeightQueue&) = delete;
    WeightQueue& operator=(const WeightQueue&) = delete;

    /// Queues a transfer; ResourceExhausted if the queue is full.
    absl::StatusOr<TransferId> submit(std::uint64_t bytes, std::function<void()> done);
    /// Gives a transfer up; what it was served stays spent.
    void cancel(TransferId transfer);
    /// Returns how long the queue needs for what it holds.
    Duration backlog() const;
    /// Returns the bytes served in each whole second since the start.
    const std::vector<std::uint64_t>& servedBySecond() const { return m_served; }

private:
    struct Transfer {
        TransferId id { 0 };
        double bytesLeft { 0 };
        std::function<void()> done;
    };

    void serve();
    void refill();
    void account(double bytes);
    void schedule();

    Scheduler& m_scheduler;
    WeightLimits m_limits;
    TimePoint m_start;
    TimePoint m_lastRefill;
    double m_tokens { 0 };
    TransferId m_lastTransfer { 0 };
    std::deque<Transfer> m_transfers;
    TimerId m_timer { 0 };
    std::vector<std::uint64_t> m_served;
};

} // namespace catkinwing::standin
