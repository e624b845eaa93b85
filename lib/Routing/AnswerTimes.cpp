#include "catkinwing/Routing/AnswerTimes.h"

#include <algorithm>
#include <cmath>

namespace catkinwing {

/// What is believed before the first answer: engines that are known read 64 to 93
/// tokens in a millisecond and begin some 0.1 s after that; their steps for other
/// requests take as much again. They make an event of five to seven tokens in
/// 25 to 100 ms.
static constexpr double firstGuessSeconds = 0.12;
static constexpr double secondsPerKilotokenGuess = 0.02;
static constexpr double heldGuessSeconds = 0.5;
static constexpr double eventGuessSeconds = 0.03;
/// Answers for which what is believed before counts. Endpoints of a service
/// differ by a third in speed and more by their load, which a few answers show.
static constexpr double priorAnswers = 6;
/// The same for events of streams, of which an answer has several.
static constexpr double priorEvents = 15;
/// Thousands of tokens at the two points of the line that is believed before.
static constexpr double priorKilotokens = 20;
/// Each answer leaves this much of the weight of those before: the last fifty
/// count most, which one entry of few sees within a second of load.
static constexpr double keptByAnswer = 0.98;
static constexpr double keptByEvent = 0.98;
/// Answers count half after this time: an endpoint that was slow gets little
/// work, so that no answer would ever show that it has recovered.
static constexpr std::chrono::seconds answerHalfTime { 10 };
/// No engine is taken for faster or slower than this, whatever a few odd answers say.
static constexpr double leastSecondsPerKilotoken = 0.004;
static constexpr double mostSecondsPerKilotoken = 0.2;
static constexpr double leastFirstByteSeconds = 0.001;
/// One answer that was late for another reason, such as a frozen machine, says
/// no more than this.
static constexpr double mostSeconds = 5;
/// A quicker answer than all before moves the idle time most of the way, slower
/// ones little: of a hundred answers some ten find an endpoint almost idle.
static constexpr double quickerWeight = 0.5;
static constexpr double slowerWeight = 0.001;
/// A pause beyond this is a fault or the network, and no pace.
static constexpr double longestPauseSeconds = 1;

static double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

static Duration durationOf(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

static double agedPart(const AnswerTimes& times, TimePoint now)
{
    return std::exp2(-std::chrono::duration<double>(now - times.agedAt) / answerHalfTime);
}

static void age(AnswerTimes& times, TimePoint now)
{
    double part = agedPart(times, now);
    for (double* sum : { &times.weight, &times.sumKilotokens, &times.sumSeconds, &times.sumSquares, &times.sumProducts, &times.heldWeight,
             &times.sumHeldSeconds, &times.eventWeight, &times.sumEventSeconds })
        *sum *= part;
    times.agedAt = now;
}

static void addPoint(AnswerTimes& times, double kilotokens, double seconds, double weight)
{
    times.weight += weight;
    times.sumKilotokens += weight * kilotokens;
    times.sumSeconds += weight * seconds;
    times.sumSquares += weight * kilotokens * kilotokens;
    times.sumProducts += weight * kilotokens * seconds;
}

AnswerEstimate usualAnswers()
{
    return { firstGuessSeconds, secondsPerKilotokenGuess, firstGuessSeconds, heldGuessSeconds, eventGuessSeconds };
}

void learnFirstByte(AnswerTimes& times, double kilotokens, Duration took, TimePoint now)
{
    age(times, now);
    for (double* sum : { &times.weight, &times.sumKilotokens, &times.sumSeconds, &times.sumSquares, &times.sumProducts })
        *sum *= keptByAnswer;
    double seconds = std::min(secondsOf(took), mostSeconds);
    addPoint(times, kilotokens, seconds, 1);
    if (times.idleSeconds < 0)
        times.idleSeconds = std::min(seconds, firstGuessSeconds);
    double weight = seconds < times.idleSeconds ? quickerWeight : slowerWeight;
    times.idleSeconds += weight * (seconds - times.idleSeconds);
}

void learnHeld(AnswerTimes& times, Duration held, TimePoint now)
{
    age(times, now);
    times.heldWeight = times.heldWeight * keptByAnswer + 1;
    times.sumHeldSeconds = times.sumHeldSeconds * keptByAnswer + secondsOf(held);
}

void learnEvents(AnswerTimes& times, std::size_t events, Duration pause, TimePoint now)
{
    if (events == 0)
        return;
    age(times, now);
    double seconds = std::min(secondsOf(pause), longestPauseSeconds) / static_cast<double>(events);
    times.eventWeight = times.eventWeight * keptByEvent + 1;
    times.sumEventSeconds = times.sumEventSeconds * keptByEvent + seconds;
}

// Where all answers had the same to read they say nothing of the slope; the two
// points of the prior then do.
static void fitLine(AnswerTimes sums, const AnswerEstimate& prior, AnswerEstimate& estimate)
{
    addPoint(sums, 0, prior.secondsAtZero, priorAnswers / 2);
    addPoint(sums, priorKilotokens, prior.secondsAtZero + priorKilotokens * prior.secondsPerKilotoken, priorAnswers / 2);
    double spread = sums.weight * sums.sumSquares - sums.sumKilotokens * sums.sumKilotokens;
    double slope = (sums.weight * sums.sumProducts - sums.sumKilotokens * sums.sumSeconds) / spread;
    estimate.secondsPerKilotoken = std::clamp(slope, leastSecondsPerKilotoken, mostSecondsPerKilotoken);
    double atZero = (sums.sumSeconds - estimate.secondsPerKilotoken * sums.sumKilotokens) / sums.weight;
    estimate.secondsAtZero = std::max(atZero, leastFirstByteSeconds);
}

AnswerEstimate estimateAnswers(const AnswerTimes& times, const AnswerEstimate& prior, TimePoint now)
{
    AnswerTimes sums = times;
    age(sums, now);
    AnswerEstimate estimate;
    fitLine(sums, prior, estimate);
    estimate.idleSeconds = sums.idleSeconds < 0 ? prior.idleSeconds : std::max(sums.idleSeconds, leastFirstByteSeconds);
    estimate.heldSeconds = (sums.sumHeldSeconds + priorAnswers * prior.heldSeconds) / (sums.heldWeight + priorAnswers);
    estimate.eventSeconds = (sums.sumEventSeconds + priorEvents * prior.eventSeconds) / (sums.eventWeight + priorEvents);
    return estimate;
}

Duration timePerEvent(const AnswerEstimate& estimate)
{
    return durationOf(estimate.eventSeconds);
}

Duration idleFirstByte(const AnswerEstimate& estimate)
{
    return durationOf(estimate.idleSeconds);
}

Duration timePerKilotoken(const AnswerEstimate& estimate)
{
    return durationOf(estimate.secondsPerKilotoken);
}

Duration predictWait(const AnswerEstimate& estimate, const EndpointWork& work, unsigned slots)
{
    double seconds = work.unreadKilotokens * estimate.secondsPerKilotoken;
    if (slots > 0) {
        double queued = std::max(0.0, work.requests + 1 - slots);
        seconds += queued * estimate.heldSeconds / slots;
    }
    return durationOf(seconds);
}

} // namespace catkinwing
