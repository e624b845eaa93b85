#include "catkinwing/Routing/EndpointView.h"

#include "Seconds.h"
#include <algorithm>
#include <cmath>

namespace catkinwing {

/// Dispatches and endings older than this are dropped even if no load report
/// arrives.
static constexpr Duration maxRecordAge = std::chrono::seconds(10);
/// Weight of a new sample in the moving averages.
static constexpr double sampleWeight = 0.1;

unsigned inFlightLimit(const EndpointView& endpoint)
{
    if (endpoint.credits == 0)
        return 0;
    auto scaled = static_cast<unsigned>(std::floor(endpoint.credits * endpoint.slowStartWeight));
    return std::max(scaled, 1U);
}

bool acceptsRequest(const EndpointView& endpoint)
{
    return endpoint.state == EndpointState::Live && endpoint.ownInFlight < inFlightLimit(endpoint);
}

double remainingTokens(const PrefillBacklog& backlog, double tokensPerSecond, TimePoint now)
{
    double drained = tokensPerSecond * toSeconds(std::max(now - backlog.asOf, Duration::zero()));
    return std::max(backlog.tokens - drained, 0.0);
}

static void addToBacklog(EndpointView& endpoint, const OwnDispatch& dispatch)
{
    endpoint.backlog.tokens = remainingTokens(endpoint.backlog, endpoint.prefillTokensPerSecond, dispatch.sentAt) + dispatch.prefillTokens;
    endpoint.backlog.asOf = dispatch.sentAt;
}

static void dropDispatchesUntil(EndpointView& endpoint, TimePoint time)
{
    auto& dispatches = endpoint.dispatchesSinceReport;
    auto firstKept = std::find_if(dispatches.begin(), dispatches.end(), [time](const OwnDispatch& dispatch) { return dispatch.sentAt > time; });
    dispatches.erase(dispatches.begin(), firstKept);
}

static void dropEndingsUntil(EndpointView& endpoint, TimePoint time)
{
    auto& endings = endpoint.requestEndTimesSinceReport;
    endings.erase(endings.begin(), std::upper_bound(endings.begin(), endings.end(), time));
}

void recordDispatch(EndpointView& endpoint, double prefillTokens, TimePoint now)
{
    OwnDispatch dispatch { now, prefillTokens };
    endpoint.ownInFlight += 1;
    endpoint.ownPendingPrefillTokens += prefillTokens;
    addToBacklog(endpoint, dispatch);
    dropDispatchesUntil(endpoint, now - maxRecordAge);
    endpoint.dispatchesSinceReport.push_back(dispatch);
}

void recordFirstToken(EndpointView& endpoint, double prefillTokens)
{
    endpoint.ownPendingPrefillTokens = std::max(endpoint.ownPendingPrefillTokens - prefillTokens, 0.0);
}

void recordRequestEnded(EndpointView& endpoint, TimePoint now)
{
    if (endpoint.ownInFlight == 0)
        return;
    endpoint.ownInFlight -= 1;
    dropEndingsUntil(endpoint, now - maxRecordAge);
    endpoint.requestEndTimesSinceReport.push_back(now);
}

// Returns the requests of other entries in \p report. Subtracts all of this entry's
// requests at the time of the report, including those that have ended since;
// otherwise they would count as a queue ahead of the requests sent since.
static unsigned requestsOfOthers(const EndpointView& endpoint, const EndpointLoadReport& report)
{
    std::size_t reported = report.running + report.waiting;
    std::size_t ownAtReport = endpoint.ownInFlight + endpoint.requestEndTimesSinceReport.size();
    ownAtReport -= std::min(ownAtReport, endpoint.dispatchesSinceReport.size());
    return static_cast<unsigned>(reported - std::min(reported, ownAtReport));
}

void recordReport(EndpointView& endpoint, const EndpointLoadReport& report)
{
    if (endpoint.report && report.measuredAt < endpoint.report->measuredAt)
        return;
    endpoint.report = report;
    endpoint.backlog = { report.queuedPrefillTokens, report.measuredAt };
    dropDispatchesUntil(endpoint, report.measuredAt);
    dropEndingsUntil(endpoint, report.measuredAt);
    endpoint.othersInFlight = requestsOfOthers(endpoint, report);
    for (const OwnDispatch& dispatch : endpoint.dispatchesSinceReport)
        addToBacklog(endpoint, dispatch);
}

static double updatedAverage(double average, double sample)
{
    return average + sampleWeight * (sample - average);
}

void updateSpeeds(EndpointView& endpoint, const ServiceSample& sample)
{
    if (sample.prefillTokens > 0 && sample.prefillTime > Duration::zero())
        endpoint.prefillTokensPerSecond = updatedAverage(endpoint.prefillTokensPerSecond, sample.prefillTokens / toSeconds(sample.prefillTime));
    if (sample.decodeTokens > 0 && sample.decodeTime > Duration::zero())
        endpoint.decodeTokensPerSecond = updatedAverage(endpoint.decodeTokensPerSecond, sample.decodeTokens / toSeconds(sample.decodeTime));
    if (sample.requestDuration > Duration::zero()) {
        double mean = updatedAverage(toSeconds(endpoint.requestDuration), toSeconds(sample.requestDuration));
        endpoint.requestDuration = fromSeconds(mean);
    }
}

} // namespace catkinwing
