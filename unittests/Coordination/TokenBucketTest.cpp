#include "catkinwing/Coordination/TokenBucket.h"

#include "catkinwing/Coordination/WeightStoreRate.h"
#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

TEST_CASE("a token bucket gives its burst and then its rate")
{
    TimePoint start {};
    TokenBucket bucket({ 10, 5 }, start);
    CHECK(bucket.tryTake(5, start));
    CHECK_FALSE(bucket.tryTake(1, start));
    CHECK(bucket.tryTake(1, start + 100ms));
    CHECK(bucket.available(start + 1h) == Approx(5));
}

TEST_CASE("zones that share the weight store stay within its rate together")
{
    TimePoint start {};
    constexpr double total = 1000;
    std::vector<WeightStoreRate> zones;
    for (std::size_t endpoints : { 10, 30, 60 })
        zones.emplace_back(weightStoreShare(total, endpoints, 100), 1s, start);
    double loaded = 0;
    constexpr std::uint64_t loadBytes = 700;
    // The greedy loaders start a load whenever they may.
    for (TimePoint now = start; now < start + 1000s; now += 100ms) {
        for (auto& zone : zones) {
            if (zone.budget(now) <= 0)
                continue;
            zone.noteLoad(loadBytes, now);
            loaded += loadBytes;
        }
    }
    CHECK(loaded <= 1001 * total + 3 * loadBytes);
    CHECK(loaded >= 990 * total);
}
