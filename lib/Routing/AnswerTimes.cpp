#include "catkinwing/Routing/AnswerTimes.h"

#include <algorithm>

namespace catkinwing {

/// What is believed before the first answer, and the number of answers that it
/// counts for: engines that are known read 64 to 93 tokens in a millisecond and
/// begin some 0.1 s after that; their steps for other requests take as much again.
static constexpr double firstGuessSeconds = 0.12;
static constexpr double secondsPerKilotokenGuess = 0.02;
static constexpr double guessWeight = 6;
/// Thousands of tokens at the two points of the first guess.
static constexpr double guessKilotokens = 20;
/// Each answer leaves this much of the weight of those before: the last fifty
/// count most, which one entry sees within a second of load.
static constexpr double kept = 0.98;
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
static constexpr double heldGuessSeconds = 0.5;
static constexpr double heldWeight = 0.05;

/// Engines make an event of five to seven tokens in 25 to 100 ms.
static constexpr double eventGuessSeconds = 0.03;
/// The last fifty events count most: what one entry sees of a busy engine in a
/// tenth of a second.
static constexpr double eventWeight = 0.02;
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

static void addPoint(AnswerTimes& times, double kilotokens, double seconds, double weight)
{
    times.weight += weight;
    times.sumKilotokens += weight * kilotokens;
    times.sumSeconds += weight * seconds;
    times.sumSquares += weight * kilotokens * kilotokens;
    times.sumProducts += weight * kilotokens * seconds;
}

AnswerTimes::AnswerTimes()
    : idleSeconds(firstGuessSeconds)
    , heldSeconds(heldGuessSeconds)
    , eventSeconds(eventGuessSeconds)
{
    addPoint(*this, 0, firstGuessSeconds, guessWeight / 2);
    addPoint(*this, guessKilotokens, firstGuessSeconds + guessKilotokens * secondsPerKilotokenGuess, guessWeight / 2);
}

void learnFirstByte(AnswerTimes& times, double kilotokens, Duration took)
{
    for (double* sum : { &times.weight, &times.sumKilotokens, &times.sumSeconds, &times.sumSquares, &times.sumProducts })
        *sum *= kept;
    double seconds = std::min(secondsOf(took), mostSeconds);
    addPoint(times, kilotokens, seconds, 1);
    double weight = seconds < times.idleSeconds ? quickerWeight : slowerWeight;
    times.idleSeconds += weight * (seconds - times.idleSeconds);
}

void learnHeld(AnswerTimes& times, Duration held)
{
    times.heldSeconds += heldWeight * (secondsOf(held) - times.heldSeconds);
}

void learnEvents(AnswerTimes& times, std::size_t events, Duration pause)
{
    if (events == 0)
        return;
    double seconds = std::min(secondsOf(pause), longestPauseSeconds) / static_cast<double>(events);
    times.eventSeconds += eventWeight * (seconds - times.eventSeconds);
}

Duration timePerEvent(const AnswerTimes& times)
{
    return durationOf(times.eventSeconds);
}

// Where all answers had the same to read they say nothing of the slope.
static double slopeOf(const AnswerTimes& times)
{
    constexpr double leastSpread = 1e-3;
    double spread = times.weight * times.sumSquares - times.sumKilotokens * times.sumKilotokens;
    if (spread < leastSpread * times.weight * times.weight)
        return secondsPerKilotokenGuess;
    double slope = (times.weight * times.sumProducts - times.sumKilotokens * times.sumSeconds) / spread;
    return std::clamp(slope, leastSecondsPerKilotoken, mostSecondsPerKilotoken);
}

Duration idleFirstByte(const AnswerTimes& times)
{
    return durationOf(std::max(times.idleSeconds, leastFirstByteSeconds));
}

Duration timePerKilotoken(const AnswerTimes& times)
{
    return durationOf(slopeOf(times));
}

Duration predictWait(const AnswerTimes& times, const EndpointWork& work, unsigned slots)
{
    double seconds = work.unreadKilotokens * slopeOf(times);
    if (slots > 0) {
        double queued = std::max(0.0, work.requests + 1 - slots);
        seconds += queued * times.heldSeconds / slots;
    }
    return durationOf(seconds);
}

} // namespace catkinwing
