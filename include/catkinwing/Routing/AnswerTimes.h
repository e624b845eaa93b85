#pragma once

#include "catkinwing/Routing/EndpointChoice.h"
#include "catkinwing/Support/Clock.h"
#include <cstddef>

namespace catkinwing {

/// Prompts are counted in thousands of tokens.
constexpr double tokensPerKilotoken = 1'000;

/// How soon an endpoint answers, as far as it is known.
struct AnswerEstimate {
    /// Seconds until the first byte where nothing is to be read, on the line that
    /// fits the answers.
    double secondsAtZero { 0 };
    double secondsPerKilotoken { 0 };
    /// Seconds until the first byte where nothing else is to be done: what the
    /// quickest of the last answers took.
    double idleSeconds { 0 };
    /// Seconds that a request occupies a slot.
    double heldSeconds { 0 };
    /// Seconds between two events of a stream.
    double eventSeconds { 0 };
};

/// Sums over the answers of one endpoint, or of all endpoints of a service. Old
/// answers count less by the number of those after them and by their age.
struct AnswerTimes {
    /// Sums of a least-squares line: seconds until the first byte over thousands
    /// of prompt tokens to read.
    double weight { 0 };
    double sumKilotokens { 0 };
    double sumSeconds { 0 };
    double sumSquares { 0 };
    double sumProducts { 0 };
    /// Seconds until the first byte of the quickest answers; negative before the first.
    double idleSeconds { -1 };
    double heldWeight { 0 };
    double sumHeldSeconds { 0 };
    double eventWeight { 0 };
    double sumEventSeconds { 0 };
    /// When the sums were last made to age.
    TimePoint agedAt {};
};

/// What is believed of a service before any answer.
AnswerEstimate usualAnswers();
/// Returns what \p times tell, beginning with \p prior: what is believed of an
/// endpoint is that of its service until its own answers say otherwise. An
/// entry sees an answer of an endpoint each few seconds where hundreds of them
/// share the work, but several a second of all endpoints of a service.
AnswerEstimate estimateAnswers(const AnswerTimes& times, const AnswerEstimate& prior, TimePoint now);

/// Notes that the first byte of an answer came after \p took, where the endpoint
/// had a slot free and \p kilotokens to read, those of the request included.
void learnFirstByte(AnswerTimes& times, double kilotokens, Duration took, TimePoint now);
/// Notes that a request has occupied its endpoint for \p held.
void learnHeld(AnswerTimes& times, Duration held, TimePoint now);
/// Notes that a stream has gone on by \p events after \p pause.
void learnEvents(AnswerTimes& times, std::size_t events, Duration pause, TimePoint now);

/// Time between two events of a stream.
Duration timePerEvent(const AnswerEstimate& estimate);
/// Time until the first byte where nothing is to be read before it.
Duration idleFirstByte(const AnswerEstimate& estimate);
/// Time that reading a thousand tokens of prompts takes, with all that runs beside it.
Duration timePerKilotoken(const AnswerEstimate& estimate);
/// Predicts how much later than at an idle endpoint a request would be begun
/// that came now. \p slots is the number of requests that run at once, zero if
/// it isn't known.
Duration predictWait(const AnswerEstimate& estimate, const EndpointWork& work, unsigned slots);

} // namespace catkinwing
