#include "catkinwing/Support/PrefixHash.h"

#include <catch2/catch.hpp>
#include <string>

using namespace catkinwing;

TEST_CASE("prompts that share a beginning share its hashes")
{
    std::string shared(2 * prefixBlockBytes, 'a');
    auto left = prefixHashes(shared + std::string(prefixBlockBytes, 'b'));
    auto right = prefixHashes(shared + std::string(prefixBlockBytes, 'c'));
    REQUIRE(left.size() == 3);
    REQUIRE(right.size() == 3);
    CHECK(left[1] == right[1]);
    CHECK(left[2] != right[2]);
    CHECK(left[0] != left[1]);
}

TEST_CASE("a part of a block has no hash")
{
    CHECK(prefixHashes(std::string(prefixBlockBytes - 1, 'a')).empty());
    CHECK(prefixHashes(std::string(5 * prefixBlockBytes, 'a'), 2).size() == 2);
}
