#include "catkinwing/Http/HttpMessage.h"

#include <catch2/catch.hpp>

using namespace catkinwing;

TEST_CASE("header names compare without regard to case")
{
    HttpHeaders headers { { "Content-Type", "text/plain" }, { "X-A", "1" }, { "x-a", "2" } };
    REQUIRE(headers.find("content-type"));
    CHECK(*headers.find("content-type") == "text/plain");
    CHECK(*headers.find("X-A") == "1");
    CHECK_FALSE(headers.find("x-b"));
    headers.set("X-a", "3");
    CHECK(*headers.find("x-a") == "3");
    CHECK(headers.fields().size() == 2);
    headers.remove("CONTENT-TYPE");
    CHECK_FALSE(headers.find("content-type"));
}
