#include "catkinwing/Routing/ServiceVersions.h"

#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

TEST_CASE("build IDs differ by service and by version, and are never zero")
{
    CHECK(buildIdOf("a", "v1") == buildIdOf("a", "v1"));
    CHECK(buildIdOf("a", "v1") != buildIdOf("a", "v2"));
    CHECK(buildIdOf("a", "v1") != buildIdOf("b", "v1"));
    CHECK(buildIdOf("", "") != 0);
}

TEST_CASE("a version is the only one if the service is known for the whole span and had no other one in it")
{
    TimePoint start { 100s };
    ServiceVersions versions;
    CHECK_FALSE(versions.soleVersion(30s, start));
    versions.recordPresent(1, start);
    CHECK_FALSE(versions.soleVersion(30s, start + 29s));
    CHECK(versions.soleVersion(30s, start + 30s) == 1);
    versions.recordPresent(2, start + 40s);
    CHECK_FALSE(versions.soleVersion(30s, start + 40s));
    versions.recordAbsent(1, start + 50s);
    CHECK_FALSE(versions.soleVersion(30s, start + 79s));
    CHECK(versions.soleVersion(30s, start + 80s) == 2);
}

TEST_CASE("a version that returns is no longer absent")
{
    TimePoint start { 100s };
    ServiceVersions versions;
    versions.recordPresent(1, start);
    versions.recordPresent(2, start);
    versions.recordAbsent(2, start + 1s);
    versions.recordPresent(2, start + 2s);
    CHECK_FALSE(versions.soleVersion(30s, start + 100s));
}

TEST_CASE("a version is established once entries with knowledge in use must know it")
{
    TimePoint start { 100s };
    ServiceVersions versions;
    versions.recordPresent(1, start);
    CHECK_FALSE(versions.isEstablished(1, start + 3s));
    CHECK(versions.isEstablished(1, start + 4s));
    CHECK_FALSE(versions.isEstablished(2, start + 4s));
}

TEST_CASE("the versions kept of a service are bounded, and the present ones stay")
{
    TimePoint start { 100s };
    ServiceVersions versions;
    versions.recordPresent(1, start);
    for (BuildId build = 2; build <= 1'000; ++build) {
        versions.recordPresent(build, start);
        versions.recordAbsent(build, start + 1s);
    }
    CHECK(versions.soleVersion(30s, start + 31s) == 1);
}
