#include "catkinwing/Routing/CostModel.h"

#include "Seconds.h"
#include <algorithm>

namespace catkinwing {

static bool hasFreshReport(const EndpointView& endpoint, const RoutingPolicy& policy, TimePoint now)
{
    return endpoint.report && now - endpoint.report->measuredAt <= policy.maxReportAge;
}

unsigned estimatedInFlight(const EndpointView& endpoint, const RoutingPolicy& policy, TimePoint now)
{
    if (!hasFreshReport(endpoint, policy, now))
        return endpoint.ownInFlight;
    return endpoint.ownInFlight + endpoint.othersInFlight;
}

static double estimatedBacklog(const EndpointView& endpoint, TimePoint now)
{
    double remaining = remainingTokens(endpoint.backlog, endpoint.prefillTokensPerSecond, now);
    // The backlog includes at least this entry's requests without a first token,
    // even if the engine prefills more slowly than estimated.
    return std::max(remaining, endpoint.ownPendingPrefillTokens);
}

static Duration predictSlotWait(const EndpointView& endpoint, unsigned inFlight)
{
    if (inFlight < endpoint.slots || endpoint.slots == 0)
        return Duration::zero();
    unsigned ahead = inFlight - endpoint.slots + 1;
    return endpoint.requestDuration * ahead / endpoint.slots;
}

CostTerms predictTimeToFirstToken(const EndpointView& endpoint, const CostInputs& inputs, const RoutingPolicy& policy, TimePoint now)
{
    unsigned inFlight = estimatedInFlight(endpoint, policy, now);
    double occupancy = std::min(1.0, static_cast<double>(inFlight) / std::max(endpoint.slots, 1U));
    double secondsPerToken = (1 + policy.batchSlowdown * occupancy) / std::max(endpoint.prefillTokensPerSecond, 1.0);

    CostTerms terms;
    terms.prefillTokens = std::max(inputs.promptTokens - inputs.cachedTokens, 0.0);
    terms.queue = fromSeconds(estimatedBacklog(endpoint, now) * secondsPerToken);
    terms.slotWait = predictSlotWait(endpoint, inFlight);
    terms.prefill = fromSeconds(terms.prefillTokens * secondsPerToken);
    terms.network = endpoint.roundTripTime;
    if (inputs.needsAdapterLoad)
        terms.adapterLoad = policy.adapterLoadTime;

    Duration sum = terms.queue + terms.slotWait + terms.prefill + terms.network + terms.adapterLoad;
    if (endpoint.slowStartWeight < 1 && endpoint.slowStartWeight > 0)
        terms.slowStart = fromSeconds(toSeconds(sum) * (1 / endpoint.slowStartWeight - 1));
    terms.total = sum + terms.slowStart;
    return terms;
}

Duration nearBestMargin(Duration best, const EndpointView& endpoint, const RoutingPolicy& policy, TimePoint now)
{
    double margin = toSeconds(best) * policy.nearBestFraction;
    if (hasFreshReport(endpoint, policy, now)) {
        double age = toSeconds(std::max(now - endpoint.report->measuredAt, Duration::zero()));
        margin += age * policy.nearBestPerReportAge;
    }
    return std::max(policy.nearBestFloor, fromSeconds(margin));
}

bool isNearBest(const CostTerms& candidate, const CostTerms& best, Duration margin, const RoutingPolicy& policy)
{
    return candidate.total <= best.total + margin && candidate.prefillTokens <= best.prefillTokens + policy.nearBestTokens;
}

} // namespace catkinwing
