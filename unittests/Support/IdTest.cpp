#include "catkinwing/Support/Id.h"

#include <catch2/catch.hpp>

using namespace catkinwing;

TEST_CASE("identifiers have 32 hexadecimal digits and differ")
{
    Random random(7);
    std::string first = makeId(random);
    std::string second = makeId(random);
    CHECK(first.size() == 32);
    CHECK(first.find_first_not_of("0123456789abcdef") == std::string::npos);
    CHECK(first != second);
}

TEST_CASE("the same seed gives the same identifiers")
{
    Random left(42);
    Random right(42);
    CHECK(makeId(left) == makeId(right));
}
