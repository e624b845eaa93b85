#pragma once

#include "catkinwing/Support/Clock.h"

namespace catkinwing {

/// Rate that a token bucket keeps.
struct TokenRate {
    double perSecond { 0 };
    /// Most tokens that are saved up.
    double burst { 0 };
};

/// Bounds the rate of something; full at first.
class TokenBucket {
public:
    TokenBucket(TokenRate rate, TimePoint now);

    /// Takes \p amount if that much is there.
    bool tryTake(double amount, TimePoint now);
    /// Takes \p amount even if that leaves a debt, which later takers wait for.
    void takeIntoDebt(double amount, TimePoint now);
    /// Returns the tokens that are there, negative in debt.
    double available(TimePoint now) const;
    /// Returns the time until \p amount is there; the maximum duration if it never is.
    Duration timeTo(double amount, TimePoint now) const;
    const TokenRate& rate() const { return m_rate; }
    /// Changes the rate from \p now on and keeps what was saved, up to the new burst.
    void setRate(TokenRate rate, TimePoint now);

private:
    void refill(TimePoint now);

    TokenRate m_rate;
    double m_tokens;
    TimePoint m_refilledAt;
};

} // namespace catkinwing
