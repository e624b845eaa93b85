#include "catkinwing/Ingress/EndpointReach.h"

#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

static constexpr TimePoint start { 100s };

TEST_CASE("an entry is cut off if several endpoints fail and nothing is received from any")
{
    EndpointReach reach;
    reach.recordReceived("chat", start);
    reach.recordFailure("chat", 1, start + 200ms);
    reach.recordFailure("chat", 1, start + 210ms);
    CHECK_FALSE(reach.isCutOff("chat", start + 220ms));
    reach.recordFailure("chat", 2, start + 220ms);
    CHECK(reach.isCutOff("chat", start + 220ms));
    CHECK(reach.failedEndpoints().size() == 2);
    CHECK(reach.recordReceived("chat", start + 300ms));
    CHECK_FALSE(reach.isCutOff("chat", start + 300ms));
    CHECK_FALSE(reach.recordReceived("chat", start + 310ms));
}

TEST_CASE("endpoints that fail between two answers of others don't show a cut")
{
    EndpointReach reach;
    reach.recordReceived("chat", start);
    reach.recordFailure("chat", 1, start + 10ms);
    reach.recordFailure("chat", 2, start + 11ms);
    CHECK_FALSE(reach.isCutOff("chat", start + 11ms));
    reach.recordReceived("chat", start + 50ms);
    CHECK_FALSE(reach.isCutOff("chat", start + 1s));
}

TEST_CASE("a service can be out of reach while another one answers, and a cut from all of them covers each")
{
    EndpointReach reach;
    reach.recordFailure("chat", 1, start);
    reach.recordFailure("chat", 2, start);
    reach.recordReceived("desk", start + 1s);
    CHECK(reach.isCutOff("chat", start + 1s));
    CHECK_FALSE(reach.isCutOff("desk", start + 1s));
    reach.recordFailure("chat", 1, start + 2s);
    reach.recordFailure("desk", 3, start + 2s);
    CHECK(reach.isCutOff("desk", start + 2s));
}

TEST_CASE("failures of long ago don't show a cut")
{
    EndpointReach reach;
    reach.recordFailure("chat", 1, start);
    reach.recordFailure("chat", 2, start + 20s);
    CHECK_FALSE(reach.isCutOff("chat", start + 20s));
}

TEST_CASE("one request at a time tests whether endpoints are reached again")
{
    EndpointReach reach;
    reach.recordFailure("chat", 1, start);
    reach.recordFailure("chat", 2, start);
    CHECK(reach.tryProbe("chat", true, start + 1s));
    CHECK_FALSE(reach.tryProbe("chat", true, start + 1'400ms));
    reach.recordFailure("chat", 3, start + 1'400ms);
    CHECK_FALSE(reach.tryProbe("chat", true, start + 1'600ms));
    CHECK(reach.tryProbe("chat", true, start + 1'700ms));
    // The test hangs.
    CHECK_FALSE(reach.tryProbe("chat", true, start + 2'600ms));
    CHECK(reach.tryProbe("chat", true, start + 2'700ms));
}

// Guards against requests that are lost one after the other on connections that hang.
TEST_CASE("a request that may not be repeated tests endpoints only if no other one comes")
{
    EndpointReach reach;
    reach.recordFailure("chat", 1, start);
    reach.recordFailure("chat", 2, start);
    CHECK(reach.tryProbe("chat", true, start + 1s));
    CHECK_FALSE(reach.tryProbe("chat", false, start + 2'100ms));
    CHECK(reach.tryProbe("chat", false, start + 2'500ms));
}

// Guards against a cut whose failures all come right after the last answer, of which the entry
// would not draw the consequences.
TEST_CASE("a cut that only time shows is reported, and each cut once")
{
    EndpointReach reach;
    reach.recordReceived("chat", start);
    reach.recordFailure("chat", 1, start + 1ms);
    reach.recordFailure("chat", 2, start + 2ms);
    CHECK_FALSE(reach.takeNewCut(start + 2ms));
    CHECK(reach.takeNewCut(start + 100ms));
    CHECK_FALSE(reach.takeNewCut(start + 200ms));
    reach.recordReceived("chat", start + 300ms);
    CHECK_FALSE(reach.takeNewCut(start + 500ms));
    reach.recordFailure("chat", 1, start + 500ms);
    reach.recordFailure("chat", 2, start + 500ms);
    CHECK(reach.takeNewCut(start + 500ms));
}
