#pragma once

#include "catkinwing/Support/Clock.h"

namespace catkinwing {

/// A token bucket on a passed-in time; starts full.
class RateBucket {
public:
    /// \p rate is in tokens a second, \p capacity in tokens.
    RateBucket(double rate, double capacity);
    /// Takes \p tokens if they are there.
    bool take(double tokens, TimePoint now);
    /// Returns how long until \p tokens are there; zero if they are.
    Duration timeUntil(double tokens, TimePoint now);
    /// Changes rate and capacity; what is in the bucket stays, up to the capacity.
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
