#include "InputBudget.h"

#include <catch2/catch.hpp>
#include <vector>

using namespace catkinwing;

TEST_CASE("a turn's budget is spent by large bodies, and who waits is resumed in order in later turns")
{
    InputBudget budget;
    std::size_t reads = 0;
    while (!budget.isSpent()) {
        budget.spend(InputBudget::readBytes);
        ++reads;
    }
    std::vector<std::size_t> resumed;
    for (std::size_t i = 0; i < reads + 2; ++i)
        budget.wait([&resumed, i] { resumed.push_back(i); });
    CHECK(budget.renew());
    CHECK(resumed.size() == reads);
    // Newcomers don't overtake those that still wait.
    CHECK(budget.isSpent());
    CHECK_FALSE(budget.renew());
    CHECK_FALSE(budget.isSpent());
    REQUIRE(resumed.size() == reads + 2);
    for (std::size_t i = 0; i < resumed.size(); ++i)
        CHECK(resumed[i] == i);
}
