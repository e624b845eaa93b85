#include "catkinwing/Routing/RequestIdentity.h"

#include <catch2/catch.hpp>
#include <set>

using namespace catkinwing;

TEST_CASE("a repeated request has the same fingerprint, and different requests have different ones")
{
    RequestIdentity original { "h", "key-1", "POST", "/p/1", "q=1", "body" };
    CHECK(fingerprintOf(original) == fingerprintOf({ "h", "key-1", "POST", "/p/1", "q=1", "body" }));
    std::set<RequestFingerprint> all;
    const RequestIdentity others[] = {
        original,
        { "g", "key-1", "POST", "/p/1", "q=1", "body" },
        { "h", "key-2", "POST", "/p/1", "q=1", "body" },
        { "h", "key-1", "PUT", "/p/1", "q=1", "body" },
        { "h", "key-1", "POST", "/p/2", "q=1", "body" },
        { "h", "key-1", "POST", "/p/1", "q=2", "body" },
        { "h", "key-1", "POST", "/p/1", "q=1", "bode" },
        // The same text with different field boundaries.
        { "h", "key-1", "POST", "/p/1", "q=1b", "ody" },
        { "hk", "ey-1", "POST", "/p/1", "q=1", "body" },
    };
    for (const RequestIdentity& other : others)
        all.insert(fingerprintOf(other));
    CHECK(all.size() == std::size(others));
}
