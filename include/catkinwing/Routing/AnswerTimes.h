#pragma once

#include "catkinwing/Routing/EndpointChoice.h"
#include "catkinwing/Support/Clock.h"
#include <cstddef>

namespace catkinwing {

/// Prompts are counted in thousands of tokens.
constexpr double tokensPerKilotoken = 1'000;

/// How soon one endpoint answers, learnt from what it has answered. It begins
/// with what is usual and forgets what is old, so that a few answers correct it
/// and none is needed.
struct AnswerTimes {
    AnswerTimes();

    /// Sums of a decaying least-squares line: seconds until the first byte over
    /// thousands of prompt tokens to read.
    double weight { 0 };
    double sumKilotokens { 0 };
    double sumSeconds { 0 };
    double sumSquares { 0 };
    double sumProducts { 0 };
    /// Seconds until the first byte where nothing else is to be done: what the
    /// quickest of the last answers took.
    double idleSeconds { 0 };
    /// Seconds that a request occupies a slot.
    double heldSeconds { 0 };
    /// Seconds between two events of a stream.
    double eventSeconds { 0 };
};

/// Notes that the first byte of an answer came after \p took, where the endpoint
/// had a slot free and \p kilotokens to read, those of the request included.
void learnFirstByte(AnswerTimes& times, double kilotokens, Duration took);
/// Notes that a request has occupied its endpoint for \p held.
void learnHeld(AnswerTimes& times, Duration held);
/// Notes that a stream has gone on by \p events after \p pause.
void learnEvents(AnswerTimes& times, std::size_t events, Duration pause);

/// Time between two events of a stream.
Duration timePerEvent(const AnswerTimes& times);
/// Time until the first byte where nothing is to be read before it.
Duration idleFirstByte(const AnswerTimes& times);
/// Time that reading a thousand tokens of prompts takes, with all that runs beside it.
Duration timePerKilotoken(const AnswerTimes& times);
/// Predicts how much later than at an idle endpoint a request would be begun
/// that came now. \p slots is the number of requests that run at once, zero if
/// it isn't known.
Duration predictWait(const AnswerTimes& times, const EndpointWork& work, unsigned slots);

} // namespace catkinwing
