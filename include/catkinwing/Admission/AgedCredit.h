#pragma once

#include "catkinwing/Support/Clock.h"
#include <deque>

namespace catkinwing {

/// An amount of credit that expires as a whole.
struct CreditPortion {
    double amount { 0 };
    TimePoint expiresAt {};
};

/// Credit that expires a fixed time after it was earned, wherever it was moved in the
/// meantime.
class AgedCredit {
public:
    void add(const CreditPortion& portion);
    /// Returns the credit that hasn't expired.
    double available(TimePoint now);
    /// Removes up to \p amount, what expires first being taken first. The result expires
    /// with the earliest portion that it contains.
    CreditPortion take(double amount, TimePoint now);
    /// Returns the credit that expires after \p time, without removing the rest.
    double lastingBeyond(TimePoint time) const;
    /// Removes up to \p amount of the credit that expires after \p time, what expires first
    /// being taken first. Takes only credit that expires at most \p maxSpread after that.
    CreditPortion takeLastingBeyond(TimePoint time, double amount, Duration maxSpread = Duration::max());

private:
    std::size_t firstLastingBeyond(TimePoint time) const;
    CreditPortion takeFrom(std::size_t first, double amount, Duration maxSpread);

    /// Ordered by expiry.
    std::deque<CreditPortion> m_portions;
    double m_total { 0 };
};

} // namespace catkinwing
