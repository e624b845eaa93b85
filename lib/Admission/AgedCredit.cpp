#include "catkinwing/Admission/AgedCredit.h"

#include <algorithm>

namespace catkinwing {

/// Portions whose expiries differ by less than this are merged and expire with the
/// earlier one. This bounds the number of portions.
static constexpr std::chrono::milliseconds mergeDistance { 50 };

void AgedCredit::add(const CreditPortion& portion)
{
    if (!(portion.amount > 0))
        return;
    auto next = std::upper_bound(m_portions.begin(), m_portions.end(), portion.expiresAt,
        [](TimePoint expiresAt, const CreditPortion& other) { return expiresAt < other.expiresAt; });
    m_total += portion.amount;
    bool mergesWithPrevious = next != m_portions.begin() && portion.expiresAt - std::prev(next)->expiresAt < mergeDistance;
    if (mergesWithPrevious)
        std::prev(next)->amount += portion.amount;
    else
        m_portions.insert(next, portion);
}

double AgedCredit::available(TimePoint now)
{
    while (!m_portions.empty() && m_portions.front().expiresAt <= now) {
        m_total -= m_portions.front().amount;
        m_portions.pop_front();
    }
    if (m_portions.empty())
        m_total = 0;
    return m_total;
}

CreditPortion AgedCredit::take(double amount, TimePoint now)
{
    double remaining = std::min(amount, available(now));
    CreditPortion taken { 0, m_portions.empty() ? now : m_portions.front().expiresAt };
    while (remaining > 0 && !m_portions.empty()) {
        CreditPortion& first = m_portions.front();
        double part = std::min(remaining, first.amount);
        first.amount -= part;
        m_total -= part;
        taken.amount += part;
        remaining -= part;
        if (first.amount <= 0)
            m_portions.pop_front();
    }
    return taken;
}

} // namespace catkinwing
