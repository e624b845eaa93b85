#include "catkinwing/Admission/SlotDivision.h"

#include <algorithm>
#include <numeric>

namespace catkinwing {

// Every entry computes the whole division from the same heartbeats, so with equal
// views the credits sum to the total without coordination. Views differ for up to
// one heartbeat after a change. SlotCredit covers this time: an entry uses the min
// of the slots that the division gave it within its grow delay. If the delay is at
// least the time in which all views are updated, one change of demand can't exceed
// the total. Either the window of some entry has only the new view; then all entries
// have received that view and use at most the slots that it gives. Or the windows of
// all entries include the old view, and they use at most the slots that it gives.
// Several changes within the delay, or a live entry that is recorded as dead, can
// exceed the total by the slots that are given twice, at most the total slots for
// each differing view. The queue of the endpoint absorbs this excess.

using Slots = std::vector<std::size_t>;

static Slots equalShares(std::size_t total, std::size_t count)
{
    Slots shares(count, total / count);
    for (std::size_t i = 0; i < total % count; ++i)
        ++shares[i];
    return shares;
}

/// Divides \p remaining slots evenly among the entries with unmet demand, up to the
/// demand of each entry. Returns the slots that remain.
static std::size_t fillToDemand(Slots& credits, const std::vector<EntryDemand>& demands, std::size_t remaining)
{
    std::vector<std::size_t> order(credits.size());
    std::iota(order.begin(), order.end(), std::size_t { 0 });
    std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) { return demands[a].slots < demands[b].slots; });
    std::size_t entriesLeft = order.size();
    for (std::size_t index : order) {
        std::size_t unmet = demands[index].slots > credits[index] ? demands[index].slots - credits[index] : 0;
        std::size_t granted = std::min(unmet, (remaining + entriesLeft - 1) / entriesLeft);
        credits[index] += granted;
        remaining -= granted;
        --entriesLeft;
    }
    return remaining;
}

std::vector<EntryCredit> divideSlots(std::size_t totalSlots, std::vector<EntryDemand> demands, std::size_t floor)
{
    if (demands.empty())
        return {};
    std::sort(demands.begin(), demands.end(), [](const EntryDemand& a, const EntryDemand& b) { return a.entry < b.entry; });
    std::size_t count = demands.size();
    Slots credits = equalShares(std::min(totalSlots, floor * count), count);
    std::size_t remaining = totalSlots - std::min(totalSlots, floor * count);
    remaining = fillToDemand(credits, demands, remaining);
    Slots spareSlots = equalShares(remaining, count);

    std::vector<EntryCredit> result;
    result.reserve(count);
    for (std::size_t i = 0; i < count; ++i)
        result.push_back({ demands[i].entry, credits[i] + spareSlots[i] });
    return result;
}

SlotCredit::SlotCredit(Duration growDelay)
    : m_growDelay(growDelay)
{
}

std::size_t SlotCredit::update(std::size_t slots, TimePoint now)
{
    if (m_samples.empty() || m_samples.back().slots != slots) {
        // Earlier samples with at least as many slots can no longer be the min of the
        // window. Removes them; the new sample starts at the time of the earliest removed
        // one, so that the samples leave no gap.
        TimePoint since = now;
        while (!m_samples.empty() && m_samples.back().slots >= slots) {
            since = m_samples.back().at;
            m_samples.pop_back();
        }
        m_samples.push_back({ since, slots });
    }
    // A sample applies until the start of the next one. Removes the front if the next
    // sample started before the window.
    while (m_samples.size() > 1 && m_samples[1].at <= now - m_growDelay)
        m_samples.pop_front();
    return m_samples.front().slots;
}

} // namespace catkinwing
