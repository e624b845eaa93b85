#include "KeepAlive.h"

#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

// Guards against a connection that is closed because one probe was lost.
TEST_CASE("at least three probes are sent before a silent connection times out")
{
    for (std::chrono::milliseconds timeout : { 4'000ms, 6'000ms, 15'000ms, 60'000ms }) {
        KeepAliveTimes times = keepAliveTimes(timeout);
        INFO(timeout.count() << " ms");
        CHECK(times.idle + 2 * times.interval <= timeout);
        CHECK(times.interval >= 1s);
    }
    CHECK(keepAliveTimes(200ms).idle == 1s);
}
