#include "catkinwing/Routing/ResponseTimes.h"

#include <algorithm>
#include <cmath>

namespace catkinwing {

/// Estimates used for a service without responses. Known engines prefill a thousand
/// tokens in 11 to 16 ms, and in about twice that time when they also decode other
/// requests. They send the first byte about 0.1 s after the prefill, and then an
/// event of five to seven tokens every 25 to 100 ms.
static constexpr double defaultFirstByteSeconds = 0.12;
static constexpr double defaultSecondsPerKilotoken = 0.02;
static constexpr double defaultSlotSeconds = 0.5;
static constexpr double defaultEventSeconds = 0.03;
/// Weight of the prior estimate, in responses. Endpoints of a service differ by a
/// third in speed and by more than that in load, which a few responses reveal.
static constexpr double priorResponses = 6;
/// Weight of the prior event time, in recorded event intervals. A response has
/// several of them.
static constexpr double priorEvents = 15;
/// Thousands of tokens at the second point of the prior line; the first point is
/// at zero.
static constexpr double priorKilotokens = 20;
/// Factor by which each response reduces the weight of earlier ones. The last
/// fifty responses dominate; where there are few entries, each receives that many
/// within a second under load.
static constexpr double responseDecay = 0.98;
static constexpr double eventDecay = 0.98;
/// Half-life of the weight of responses. Without it, an endpoint that was slow
/// would receive too few requests to show that it has recovered.
static constexpr std::chrono::seconds responseHalfLife { 10 };
/// Bounds of the estimates, which keep a few outliers from producing an extreme
/// speed.
static constexpr double minSecondsPerKilotoken = 0.004;
static constexpr double maxSecondsPerKilotoken = 0.2;
static constexpr double minFirstByteSeconds = 0.001;
/// Upper bound of one recorded time until the first byte. It limits the effect of
/// a response that was delayed for another reason, such as a paused machine.
static constexpr double maxFirstByteSeconds = 5;
/// Weights of responses faster and slower than the present idle time. A faster
/// response moves the idle time far and a slower one only slightly, because only
/// about ten of a hundred responses come from an almost idle endpoint.
static constexpr double fasterWeight = 0.5;
static constexpr double slowerWeight = 0.001;
/// Upper bound of a recorded interval between events. A longer interval is caused
/// by a fault or the network and is not the engine's event rate.
static constexpr double maxEventIntervalSeconds = 1;

// secondsOf and durationOf convert in the same way as toSeconds and fromSeconds of
// Seconds.h.
static double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

static Duration durationOf(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

static double decayFactor(const ResponseTimes& times, TimePoint now)
{
    return std::exp2(-std::chrono::duration<double>(now - times.decayedAt) / responseHalfLife);
}

static void applyDecay(ResponseTimes& times, TimePoint now)
{
    double factor = decayFactor(times, now);
    for (double* sum : { &times.weight, &times.sumKilotokens, &times.sumSeconds, &times.sumSquares, &times.sumProducts, &times.slotWeight,
             &times.sumSlotSeconds, &times.eventWeight, &times.sumEventSeconds })
        *sum *= factor;
    times.decayedAt = now;
}

static void addPoint(ResponseTimes& times, double kilotokens, double seconds, double weight)
{
    times.weight += weight;
    times.sumKilotokens += weight * kilotokens;
    times.sumSeconds += weight * seconds;
    times.sumSquares += weight * kilotokens * kilotokens;
    times.sumProducts += weight * kilotokens * seconds;
}

ResponseEstimate defaultResponseEstimate()
{
    return { defaultFirstByteSeconds, defaultSecondsPerKilotoken, defaultFirstByteSeconds, defaultSlotSeconds, defaultEventSeconds };
}

void addFirstByteSample(ResponseTimes& times, double kilotokens, Duration took, TimePoint now)
{
    applyDecay(times, now);
    for (double* sum : { &times.weight, &times.sumKilotokens, &times.sumSeconds, &times.sumSquares, &times.sumProducts })
        *sum *= responseDecay;
    double seconds = std::min(secondsOf(took), maxFirstByteSeconds);
    addPoint(times, kilotokens, seconds, 1);
    if (times.idleSeconds < 0)
        times.idleSeconds = std::min(seconds, defaultFirstByteSeconds);
    double weight = seconds < times.idleSeconds ? fasterWeight : slowerWeight;
    times.idleSeconds += weight * (seconds - times.idleSeconds);
}

void addSlotTimeSample(ResponseTimes& times, Duration occupied, TimePoint now)
{
    applyDecay(times, now);
    times.slotWeight = times.slotWeight * responseDecay + 1;
    times.sumSlotSeconds = times.sumSlotSeconds * responseDecay + secondsOf(occupied);
}

void addEventSample(ResponseTimes& times, std::size_t events, Duration interval, TimePoint now)
{
    if (events == 0)
        return;
    applyDecay(times, now);
    double seconds = std::min(secondsOf(interval), maxEventIntervalSeconds) / static_cast<double>(events);
    times.eventWeight = times.eventWeight * eventDecay + 1;
    times.sumEventSeconds = times.sumEventSeconds * eventDecay + seconds;
}

// If all responses had the same number of tokens to prefill, they don't determine
// the slope; the two points of the prior do.
static void fitLine(ResponseTimes sums, const ResponseEstimate& prior, ResponseEstimate& estimate)
{
    addPoint(sums, 0, prior.secondsAtZero, priorResponses / 2);
    addPoint(sums, priorKilotokens, prior.secondsAtZero + priorKilotokens * prior.secondsPerKilotoken, priorResponses / 2);
    double determinant = sums.weight * sums.sumSquares - sums.sumKilotokens * sums.sumKilotokens;
    double slope = (sums.weight * sums.sumProducts - sums.sumKilotokens * sums.sumSeconds) / determinant;
    estimate.secondsPerKilotoken = std::clamp(slope, minSecondsPerKilotoken, maxSecondsPerKilotoken);
    double intercept = (sums.sumSeconds - estimate.secondsPerKilotoken * sums.sumKilotokens) / sums.weight;
    estimate.secondsAtZero = std::max(intercept, minFirstByteSeconds);
}

ResponseEstimate estimateResponses(const ResponseTimes& times, const ResponseEstimate& prior, TimePoint now)
{
    ResponseTimes sums = times;
    applyDecay(sums, now);
    ResponseEstimate estimate;
    fitLine(sums, prior, estimate);
    estimate.idleSeconds = sums.idleSeconds < 0 ? prior.idleSeconds : std::max(sums.idleSeconds, minFirstByteSeconds);
    estimate.slotSeconds = (sums.sumSlotSeconds + priorResponses * prior.slotSeconds) / (sums.slotWeight + priorResponses);
    estimate.eventSeconds = (sums.sumEventSeconds + priorEvents * prior.eventSeconds) / (sums.eventWeight + priorEvents);
    return estimate;
}

Duration timePerEvent(const ResponseEstimate& estimate)
{
    return durationOf(estimate.eventSeconds);
}

Duration idleFirstByte(const ResponseEstimate& estimate)
{
    return durationOf(estimate.idleSeconds);
}

Duration timePerKilotoken(const ResponseEstimate& estimate)
{
    return durationOf(estimate.secondsPerKilotoken);
}

Duration predictWait(const ResponseEstimate& estimate, const EndpointWork& work, unsigned slots)
{
    double seconds = work.unprefilledKilotokens * estimate.secondsPerKilotoken;
    if (slots > 0) {
        double queued = std::max(0.0, work.requests + 1 - slots);
        seconds += queued * estimate.slotSeconds / slots;
    }
    return durationOf(seconds);
}

} // namespace catkinwing
