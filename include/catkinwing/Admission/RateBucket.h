#pragma once

#include "catkinwing/Support/Clock.h"

namespace catkinwing {

/// Token bucket that is full at the start. Its tokens are permits, not tokens of a
/// language model. Every function takes the current time.
class RateBucket {
public:
    /// \p rate is in tokens per second, \p capacity in tokens.
    RateBucket(double rate, double capacity);
    /// Removes \p tokens and returns true; returns false and changes nothing if the
    /// bucket holds fewer.
    bool take(double tokens, TimePoint now);
    /// Returns the time until the bucket holds \p tokens: zero if it does already,
    /// Duration::max() if it never will.
    Duration timeUntil(double tokens, TimePoint now);
    /// Changes rate and capacity; the tokens in the bucket stay, up to the new capacity.
    void configure(double rate, double capacity, TimePoint now);
    double rate() const { return m_rate; }
    double capacity() const { return m_capacity; }

private:
    void refill(TimePoint now);

    double m_rate;
    double m_capacity;
    double m_tokens;
    bool m_started { false };
    TimePoint m_filledAt {};
};

} // namespace catkinwing
