#include "catkinwing/Http/MemoryPressure.h"

#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;
using Indices = std::vector<std::size_t>;

namespace {

ConnectionLoad moving(std::size_t bytes)
{
    ConnectionLoad load;
    load.bytes = bytes;
    load.moved = bytes;
    load.age = 500ms;
    return load;
}

ConnectionLoad stalled(std::size_t bytes)
{
    ConnectionLoad load = moving(bytes);
    load.age = 10s;
    load.idleFor = 5s;
    return load;
}

} // namespace

TEST_CASE("a client is stalled that pauses, or trickles, and not one whose input waits")
{
    ConnectionLoad load = moving(4 << 20);
    CHECK_FALSE(isStalled(load));
    load.idleFor = 1001ms;
    CHECK(isStalled(load));
    load.hasUnreadInput = true;
    CHECK_FALSE(isStalled(load));
    ConnectionLoad trickling = moving(4 << 20);
    trickling.moved = 1000;
    trickling.age = 3s;
    CHECK(isStalled(trickling));
    trickling.moved = 200'000;
    CHECK_FALSE(isStalled(trickling));
}

TEST_CASE("stalled connections yield before moving ones, and large ones before small ones")
{
    std::vector<ConnectionLoad> loads { moving(1 << 20), stalled(10'000), moving(2 << 20), stalled(500'000), moving(10'000) };
    CHECK(chooseYielding(loads, 1) == Indices { 3 });
    CHECK(chooseYielding(loads, 500'001) == Indices { 3, 1 });
    CHECK(chooseYielding(loads, 600'000) == Indices { 3, 1, 2 });
    // The small one that moves stays.
    CHECK(chooseYielding(loads, 100 << 20) == Indices { 3, 1, 2, 0 });
    CHECK(chooseYielding(loads, 0).empty());
}

TEST_CASE("for a new body only stalled connections yield, and none in vain")
{
    std::vector<ConnectionLoad> loads { moving(1 << 20), stalled(10'000), stalled(500'000) };
    CHECK(chooseStalled(loads, 400'000) == Indices { 2 });
    CHECK(chooseStalled(loads, 510'000) == Indices { 2, 1 });
    CHECK(chooseStalled(loads, 510'001).empty());
}
