#include "catkinwing/Http/MemoryPressure.h"

#include <algorithm>
#include <tuple>

namespace catkinwing {

using namespace std::chrono_literals;

/// A client that lost a packet or two sends on within this time.
static constexpr Duration maxPause = 1s;
/// A client that gets on and for which more is held may still have to yield.
static constexpr std::size_t largeBytes = 64u << 10;
/// Slowest average rate of a client that isn't stalled, in bytes a second. Slower ones would keep
/// the memory of a large body for minutes.
static constexpr double minRate = 32u << 10;

bool isStalled(const ConnectionLoad& load)
{
    if (load.hasUnreadInput)
        return false;
    std::chrono::duration<double> needed(static_cast<double>(load.moved) / minRate);
    return load.idleFor > maxPause || load.age - maxPause > needed;
}

static std::vector<std::size_t> takeUntil(const std::vector<std::size_t>& order, const std::vector<ConnectionLoad>& loads, std::size_t bytes)
{
    std::vector<std::size_t> chosen;
    std::size_t released = 0;
    for (std::size_t index : order) {
        if (released >= bytes)
            break;
        released += loads[index].bytes;
        chosen.push_back(index);
    }
    return chosen;
}

static std::vector<std::size_t> orderByYield(const std::vector<ConnectionLoad>& loads)
{
    std::vector<std::size_t> order;
    std::vector<bool> stalled(loads.size());
    for (std::size_t i = 0; i < loads.size(); ++i) {
        stalled[i] = isStalled(loads[i]);
        bool mayYield = loads[i].bytes > 0 && (stalled[i] || loads[i].bytes > largeBytes);
        if (mayYield)
            order.push_back(i);
    }
    std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        return std::make_tuple(!stalled[a], loads[b].bytes, loads[b].idleFor) < std::make_tuple(!stalled[b], loads[a].bytes, loads[a].idleFor);
    });
    return order;
}

std::vector<std::size_t> chooseStalled(const std::vector<ConnectionLoad>& loads, std::size_t bytes)
{
    std::vector<std::size_t> order = orderByYield(loads);
    order.erase(std::remove_if(order.begin(), order.end(), [&](std::size_t i) { return !isStalled(loads[i]); }), order.end());
    std::size_t releasable = 0;
    for (std::size_t index : order)
        releasable += loads[index].bytes;
    return releasable >= bytes ? takeUntil(order, loads, bytes) : std::vector<std::size_t>();
}

std::vector<std::size_t> chooseYielding(const std::vector<ConnectionLoad>& loads, std::size_t bytes)
{
    return takeUntil(orderByYield(loads), loads, bytes);
}

} // namespace catkinwing
