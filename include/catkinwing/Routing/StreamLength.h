#pragma once

#include <cstddef>
#include <cstdint>

namespace catkinwing {

/// How many events the streams of one kind of request have, by the tokens that
/// their requests ask for; learnt from streams that have ended.
struct StreamLength {
    /// Decaying sums over the streams that stated their tokens.
    double tokens { 0 };
    double events { 0 };
    /// Mean over all streams.
    double meanEvents { 20 };
};

/// Notes that a request for at most \p outputTokens (zero if not stated) was
/// answered in \p events.
void learnEvents(StreamLength& length, std::int64_t outputTokens, std::size_t events);
/// Predicts the events of the answer to a request for at most \p outputTokens.
double predictEvents(const StreamLength& length, std::int64_t outputTokens);

} // namespace catkinwing
