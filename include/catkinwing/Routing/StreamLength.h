#pragma once

#include <cstddef>
#include <cstdint>

namespace catkinwing {

/// Statistics of finished streams of one kind of request, used to predict the
/// number of events of a stream from the maximum output tokens of its request.
struct StreamLength {
    /// Decaying sums over the streams whose requests stated a token limit: `tokens` sums
    /// these limits, `events` the events that the streams had.
    double tokens { 0 };
    double events { 0 };
    /// Moving average of the events over all streams.
    double meanEvents { 20 };
};

/// Records that the response to a request for at most \p outputTokens (zero if not
/// stated) had \p events.
void addEventSample(StreamLength& length, std::int64_t outputTokens, std::size_t events);
/// Predicts the number of events in the response to a request for at most
/// \p outputTokens (zero if not stated).
double predictEvents(const StreamLength& length, std::int64_t outputTokens);

} // namespace catkinwing
