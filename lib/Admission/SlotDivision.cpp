#include "catkinwing/Admission/SlotDivision.h"

#include <algorithm>
#include <numeric>

namespace catkinwing {

// Every entry computes the whole division from the same heartbeats, so equal
// views give credits that sum to the total without any agreement. Views differ
// for up to one heartbeat after a change. SlotCredit covers that: an entry uses
// the least that the division gave it within its grow delay. If the delay is no
// shorter than the spread of the views, one change of demand can't overshoot:
// either some entry saw only the new view in its window, then all have seen it
// and use at most what it gives, or all have the old view in their window and
// use at most what that gives. Changes that come faster, or an entry that is
// wrongly believed dead, can overshoot by at most what the division then gives
// twice, never above total slots for each disagreeing view; the endpoint's own
// queue takes that.

using Slots = std::vector<std::size_t>;

static Slots equalParts(std::size_t total, std::size_t count)
{
    Slots parts(count, total / count);
    for (std::size_t i = 0; i < total % count; ++i)
        ++parts[i];
    return parts;
}

/// Raises the lowest credits to a common level until demand or slots are used up.
static std::size_t fillToDemand(Slots& credits, const std::vector<EntryDemand>& demands, std::size_t left)
{
    std::vector<std::size_t> order(credits.size());
    std::iota(order.begin(), order.end(), std::size_t { 0 });
    std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) { return demands[a].slots < demands[b].slots; });
    std::size_t sharers = order.size();
    for (std::size_t index : order) {
        std::size_t unmet = demands[index].slots > credits[index] ? demands[index].slots - credits[index] : 0;
        std::size_t given = std::min(unmet, (left + sharers - 1) / sharers);
        credits[index] += given;
        left -= given;
        --sharers;
    }
    return left;
}

std::vector<EntryCredit> divideSlots(std::size_t totalSlots, std::vector<EntryDemand> demands, std::size_t floor)
{
    if (demands.empty())
        return {};
    std::sort(demands.begin(), demands.end(), [](const EntryDemand& a, const EntryDemand& b) { return a.entry < b.entry; });
    std::size_t count = demands.size();
    Slots credits = equalParts(std::min(totalSlots, floor * count), count);
    std::size_t left = totalSlots - std::min(totalSlots, floor * count);
    left = fillToDemand(credits, demands, left);
    Slots spare = equalParts(left, count);

    std::vector<EntryCredit> result;
    result.reserve(count);
    for (std::size_t i = 0; i < count; ++i)
        result.push_back({ demands[i].entry, credits[i] + spare[i] });
    return result;
}

SlotCredit::SlotCredit(Duration growDelay)
    : m_growDelay(growDelay)
{
}

std::size_t SlotCredit::update(std::size_t slots, TimePoint now)
{
    if (m_samples.empty() || m_samples.back().slots != slots) {
        // The new value takes the place of greater ones from when they began.
        TimePoint since = now;
        while (!m_samples.empty() && m_samples.back().slots >= slots) {
            since = m_samples.back().at;
            m_samples.pop_back();
        }
        m_samples.push_back({ since, slots });
    }
    // The front was in force until the next began; past the window it is forgotten.
    while (m_samples.size() > 1 && m_samples[1].at <= now - m_growDelay)
        m_samples.pop_front();
    return m_samples.front().slots;
}

} // namespace catkinwing
