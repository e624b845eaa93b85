#include "catkinwing/Admission/AgedCredit.h"

#include <algorithm>
#include <numeric>

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
    if (m_portions.empty())
        return { 0, now };
    return takeFrom(0, remaining, Duration::max());
}

std::size_t AgedCredit::firstLastingBeyond(TimePoint time) const
{
    auto expiresBefore = [time](const CreditPortion& portion) { return portion.expiresAt <= time; };
    return static_cast<std::size_t>(std::partition_point(m_portions.begin(), m_portions.end(), expiresBefore) - m_portions.begin());
}

double AgedCredit::lastingBeyond(TimePoint time) const
{
    auto first = m_portions.begin() + static_cast<std::ptrdiff_t>(firstLastingBeyond(time));
    return std::accumulate(first, m_portions.end(), 0.0, [](double sum, const CreditPortion& portion) { return sum + portion.amount; });
}

CreditPortion AgedCredit::takeLastingBeyond(TimePoint time, double amount, Duration maxSpread)
{
    std::size_t first = firstLastingBeyond(time);
    if (first == m_portions.size())
        return { 0, time };
    return takeFrom(first, amount, maxSpread);
}

CreditPortion AgedCredit::takeFrom(std::size_t first, double amount, Duration maxSpread)
{
    CreditPortion taken { 0, m_portions[first].expiresAt };
    std::size_t used = first;
    for (; used < m_portions.size() && amount > 0 && m_portions[used].expiresAt - taken.expiresAt <= maxSpread; ++used) {
        CreditPortion& portion = m_portions[used];
        double part = std::min(amount, portion.amount);
        portion.amount -= part;
        m_total -= part;
        taken.amount += part;
        amount -= part;
        if (portion.amount > 0)
            break;
    }
    m_portions.erase(m_portions.begin() + static_cast<std::ptrdiff_t>(first), m_portions.begin() + static_cast<std::ptrdiff_t>(used));
    return taken;
}

} // namespace catkinwing
