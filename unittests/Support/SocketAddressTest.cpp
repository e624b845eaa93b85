#include "catkinwing/Support/SocketAddress.h"

#include <catch2/catch.hpp>

using namespace catkinwing;

TEST_CASE("addresses are read and written alike")
{
    for (const char* text : { "127.0.0.1:80", "[::1]:65535" }) {
        auto address = parseSocketAddress(text);
        REQUIRE(address.ok());
        CHECK(address->toString() == text);
    }
}

TEST_CASE("names, missing ports and bad ports are refused")
{
    for (const char* text : { "localhost:80", "127.0.0.1", "127.0.0.1:65536", "127.0.0.1:x", "::1:80", "[127.0.0.1]:80", "" })
        CHECK_FALSE(parseSocketAddress(text).ok());
}
