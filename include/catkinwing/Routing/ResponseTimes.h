#pragma once

#include "catkinwing/Routing/EndpointChoice.h"
#include "catkinwing/Support/Clock.h"
#include <cstddef>

namespace catkinwing {

/// Tokens in a kilotoken, the unit of prompt lengths in the estimates.
constexpr double tokensPerKilotoken = 1'000;

/// Estimated response times of an endpoint.
struct ResponseEstimate {
    /// Intercept of the line that is fitted to the responses: seconds until the
    /// first byte if the endpoint has no prompt tokens to prefill.
    double secondsAtZero { 0 };
    /// Slope of the line: seconds per thousand prompt tokens to prefill.
    double secondsPerKilotoken { 0 };
    /// Seconds until the first byte at an idle endpoint, from the fastest of the
    /// recent responses.
    double idleSeconds { 0 };
    /// Seconds for which a request occupies a slot of the endpoint.
    double slotSeconds { 0 };
    /// Seconds between two events of a stream.
    double eventSeconds { 0 };
};

/// Weighted sums over the responses of one endpoint, or of all endpoints of a
/// service. The weight of a response decays with each later response and with
/// time.
struct ResponseTimes {
    /// Sums for a least-squares fit of the seconds until the first byte against
    /// the thousands of prompt tokens to prefill.
    double weight { 0 };
    double sumKilotokens { 0 };
    double sumSeconds { 0 };
    double sumSquares { 0 };
    double sumProducts { 0 };
    /// Seconds until the first byte of the fastest responses; negative before the
    /// first response.
    double idleSeconds { -1 };
    /// Sums for the mean of the seconds for which a request occupies a slot.
    double slotWeight { 0 };
    double sumSlotSeconds { 0 };
    /// Sums for the mean of the seconds between two events of a stream.
    double eventWeight { 0 };
    double sumEventSeconds { 0 };
    /// When the time decay was last applied to the sums.
    TimePoint decayedAt {};
};

/// Returns the estimate for a service that has not returned any response yet.
ResponseEstimate defaultResponseEstimate();
/// Returns the estimate from the responses in \p times and from \p prior, which
/// counts as a few responses. The estimate of the service serves as the prior of an
/// endpoint: where hundreds of endpoints share the load, an entry receives one
/// response every few seconds from a given endpoint, but several a second from the
/// service as a whole.
ResponseEstimate estimateResponses(const ResponseTimes& times, const ResponseEstimate& prior, TimePoint now);

/// Records that the first byte of a response arrived after \p took, from an
/// endpoint with a free slot and \p kilotokens of prompts to prefill, including
/// those of this request.
void addFirstByteSample(ResponseTimes& times, double kilotokens, Duration took, TimePoint now);
/// Records that a request occupied a slot of its endpoint for \p occupied.
void addSlotTimeSample(ResponseTimes& times, Duration occupied, TimePoint now);
/// Records that \p events arrived on a stream, \p interval after the previous ones.
void addEventSample(ResponseTimes& times, std::size_t events, Duration interval, TimePoint now);

/// Returns the time between two events of a stream.
Duration timePerEvent(const ResponseEstimate& estimate);
/// Returns the time until the first byte at an idle endpoint.
Duration idleFirstByte(const ResponseEstimate& estimate);
/// Returns the time to prefill a thousand prompt tokens under the present
/// concurrent load.
Duration timePerKilotoken(const ResponseEstimate& estimate);
/// Predicts how long a request that is dispatched now would wait before the
/// endpoint starts it, compared to an idle endpoint. \p slots is the number of
/// requests that the endpoint runs at once, zero if unknown.
Duration predictWait(const ResponseEstimate& estimate, const EndpointWork& work, unsigned slots);

} // namespace catkinwing
