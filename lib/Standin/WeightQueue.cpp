#include "catkinwing/Standin/WeightQueue.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace catkinwing::standin {

// Rounding may leave a part of a byte unserved.
constexpr double byteTolerance = 0.5;

static double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

WeightQueue::WeightQueue(Scheduler& scheduler, WeightLimits limits)
    : m_scheduler(scheduler)
    , m_limits(limits)
    , m_start(scheduler.clock().now())
    , m_lastRefill(m_start)
    , m_tokens(limits.burstBytes)
{
    assert(limits.bytesPerSecond > 0 && "a weight store without a rate never serves");
}

WeightQueue::~WeightQueue()
{
    m_scheduler.cancel(m_timer);
}

absl::StatusOr<TransferId> WeightQueue::submit(std::uint64_t bytes, std::function<void()> done)
{
    if (m_transfers.size() >= m_limits.maxTransfers)
        return absl::ResourceExhaustedError("too many transfers");
    refill();
    Transfer transfer { ++m_lastTransfer, static_cast<double>(bytes), std::move(done) };
    m_transfers.push_back(std::move(transfer));
    schedule();
    return m_lastTransfer;
}

void WeightQueue::cancel(TransferId transfer)
{
    refill();
    auto found = std::find_if(m_transfers.begin(), m_transfers.end(), [transfer](const Transfer& candidate) { return candidate.id == transfer; });
    if (found != m_transfers.end())
        m_transfers.erase(found);
    schedule();
}

Duration WeightQueue::backlog() const
{
    double bytes = 0;
    for (const Transfer& transfer : m_transfers)
        bytes += transfer.bytesLeft;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(bytes / m_limits.bytesPerSecond));
}

// Tokens gained since the last call go to the first transfer; only an idle
// store saves them up, and no more than its burst.
void WeightQueue::refill()
{
    TimePoint now = m_scheduler.clock().now();
    m_tokens += m_limits.bytesPerSecond * toSeconds(now - m_lastRefill);
    m_lastRefill = now;
    if (m_transfers.empty()) {
        m_tokens = std::min(m_tokens, m_limits.burstBytes);
        return;
    }
    double spent = std::min(m_tokens, m_transfers.front().bytesLeft);
    m_transfers.front().bytesLeft -= spent;
    m_tokens -= spent;
    account(spent);
}

void WeightQueue::account(double bytes)
{
    auto second = static_cast<std::size_t>(toSeconds(m_lastRefill - m_start));
    if (m_served.size() <= second)
        m_served.resize(second + 1);
    m_served[second] += static_cast<std::uint64_t>(bytes);
}

void WeightQueue::serve()
{
    refill();
    while (!m_transfers.empty() && m_transfers.front().bytesLeft <= byteTolerance) {
        Transfer finished = std::move(m_transfers.front());
        m_transfers.pop_front();
        refill();
        finished.done();
    }
    schedule();
}

// A tick at least every so often spreads the bytes over the seconds in which
// they were served.
void WeightQueue::schedule()
{
    constexpr Duration longestTick = std::chrono::milliseconds(100);
    m_scheduler.cancel(m_timer);
    m_timer = 0;
    if (m_transfers.empty())
        return;
    double seconds = std::max(0.0, m_transfers.front().bytesLeft - m_tokens) / m_limits.bytesPerSecond;
    auto wait = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)) + Duration(1);
    m_timer = m_scheduler.callAfter(std::min(wait, longestTick), [this] { serve(); });
}

} // namespace catkinwing::standin
