// A request that crashes the endpoints which run it, among others that don't.
#include "CrashWorld.h"

#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

/// Entries that are in touch know within this time that three endpoints have
/// crashed under a request, and so send it no more often than this later.
static constexpr Duration knownWithin = 5s;
static constexpr std::size_t mostSentLater = 3;

// Guards against a request that crashes one endpoint after another because it
// comes at another entry each time.
TEST_CASE("a request under which three endpoints crashed is no longer sent, at whichever entry it comes")
{
    for (unsigned seed = 1; seed <= 8; ++seed) {
        CrashWorld world(seed);
        TimePoint next = world.now();
        for (int i = 0; i < 2'200; ++i) {
            if (i % 3 == 0)
                world.sendToAny("other-" + std::to_string(i));
            if (world.now() >= next) {
                world.sendToAny(deadlyBody);
                next = world.now() + 100ms + std::chrono::milliseconds(world.random.below(600));
            }
            world.advance(10ms);
        }
        world.advance(5s);
        INFO("seed " << seed << ", " << world.crashes.size() << " crashes in all");
        REQUIRE(world.crashes.size() >= 3);
        CHECK(world.arrivalsAfter(deadlyBody, world.crashes[2] + knownWithin) <= mostSentLater);
    }
}
