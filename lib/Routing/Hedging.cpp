#include "catkinwing/Routing/Hedging.h"

#include "Seconds.h"
#include <algorithm>
#include <cmath>

namespace catkinwing {

/// Lower edge of the first bucket, and the ratio of successive edges.
static constexpr double firstEdgeSeconds = 0.0005;
static constexpr double edgeRatio = 1.15;

void LatencyQuantiles::record(Duration latency)
{
    double ratio = std::max(toSeconds(latency) / firstEdgeSeconds, 1.0);
    auto bucket = static_cast<std::size_t>(std::log(ratio) / std::log(edgeRatio));
    m_counts[std::min(bucket, bucketCount - 1)] += 1;
    m_total += 1;
    if (m_total < halvingThreshold)
        return;
    m_total = 0;
    for (std::uint32_t& count : m_counts) {
        count /= 2;
        m_total += count;
    }
}

std::optional<Duration> LatencyQuantiles::quantile(double fraction) const
{
    if (m_total < minimumSamples)
        return std::nullopt;
    double targetCount = fraction * m_total;
    double cumulativeCount = 0;
    std::size_t bucket = 0;
    while (bucket + 1 < bucketCount) {
        cumulativeCount += m_counts[bucket];
        if (cumulativeCount >= targetCount)
            break;
        bucket += 1;
    }
    return fromSeconds(firstEdgeSeconds * std::pow(edgeRatio, static_cast<double>(bucket + 1)));
}

HedgeDecision shouldHedge(const HedgeInputs& inputs, const HedgePolicy& policy)
{
    if (!policy.enabled)
        return HedgeDecision::Disabled;
    if (!inputs.idempotent)
        return HedgeDecision::NotIdempotent;
    if (inputs.delivered)
        return HedgeDecision::AlreadyDelivered;
    if (inputs.hedgesSoFar >= policy.maxHedges)
        return HedgeDecision::HedgeLimitReached;
    if (!inputs.waitQuantile)
        return HedgeDecision::TooFewSamples;
    if (inputs.elapsed < std::max(*inputs.waitQuantile, policy.minimumWait))
        return HedgeDecision::TooEarly;
    if (!inputs.secondAttemptPrediction)
        return HedgeDecision::NoOtherEndpoint;
    if (inputs.timeLeft && *inputs.secondAttemptPrediction > *inputs.timeLeft)
        return HedgeDecision::DeadlineTooClose;
    if (!inputs.budgetAvailable)
        return HedgeDecision::NoBudget;
    return HedgeDecision::Hedge;
}

} // namespace catkinwing
