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

private:
    /// Ordered by expiry.
    std::deque<CreditPortion> m_portions;
    double m_total { 0 };
};

} // namespace catkinwing
