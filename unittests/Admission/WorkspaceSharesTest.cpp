#include "catkinwing/Admission/WorkspaceShares.h"

#include <catch2/catch.hpp>
#include <limits>
#include <numeric>

using namespace catkinwing;

static double sumOfShares(const std::vector<double>& shares)
{
    return std::accumulate(shares.begin(), shares.end(), 0.0);
}

// Guards against callers of the other workspaces paying for one that sends six times its usual.
TEST_CASE("a workspace that requests six times its usual gets only what the others leave")
{
    std::vector<WorkspaceDemand> demands(8, { 1, 100, 0 });
    demands[3].requested = 600;
    std::vector<double> shares = divideShortage(demands, 1'000);
    for (std::size_t i = 0; i < demands.size(); ++i)
        CHECK(shares[i] == Approx(i == 3 ? 300 : 100));
}

TEST_CASE("capacity is divided by weight, and what a workspace leaves goes to the others")
{
    CHECK(divideShortage({ { 3, 900, 0 }, { 1, 900, 0 } }, 400) == std::vector<double> { 300, 100 });
    CHECK(divideShortage({ { 3, 100, 0 }, { 1, 900, 0 } }, 400) == std::vector<double> { 100, 300 });
    // No workspace gets more than it requests.
    CHECK(divideShortage({ { 3, 100, 0 }, { 1, 90, 0 } }, 400) == std::vector<double> { 100, 90 });
}

// Guards against a small or large workspace that gets nothing.
TEST_CASE("every workspace with a demand gets a share of any capacity")
{
    for (double capacity : { 1.0, 50.0, 700.0, 5'000.0 }) {
        std::vector<WorkspaceDemand> demands { { 1'000, 9'000, 0 }, { 10, 3, 0 }, { 1, 400, 0 }, { 200, 200, 0 } };
        std::vector<double> shares = divideShortage(demands, capacity);
        CAPTURE(capacity);
        for (double share : shares)
            CHECK(share > 0);
        CHECK(sumOfShares(shares) == Approx(std::min(capacity, 9'603.0)));
    }
}

TEST_CASE("absurd demands and capacities get no share and take none from others")
{
    double infinite = std::numeric_limits<double>::infinity();
    double undefined = std::numeric_limits<double>::quiet_NaN();
    std::vector<WorkspaceDemand> demands { { 1, 100, 0 }, { 0, 100, 0 }, { -1, 100, 0 }, { 1, -5, 0 }, { 1, infinite, 0 }, { undefined, 100, 0 }, { 1, undefined, 0 } };
    CHECK(divideShortage(demands, 80) == std::vector<double> { 80, 0, 0, 0, 0, 0, 0 });
    for (double capacity : { -1.0, 0.0, infinite, undefined })
        CHECK(sumOfShares(divideShortage(demands, capacity)) == 0);
    CHECK(divideShortage({}, 10).empty());
    CHECK(sumOf(demands).requested == 400);
}

TEST_CASE("a shortage begins with more refusals than it ends with")
{
    CHECK_FALSE(isShortage({ 1'000, 970 }, false));
    CHECK(isShortage({ 1'000, 970 }, true));
    CHECK(isShortage({ 1'000, 930 }, false));
    CHECK_FALSE(isShortage({ 1'000, 990 }, true));
    CHECK_FALSE(isShortage({ 0, 0 }, true));
    // Clients that return late are refused for lack of capacity as well.
    CHECK(isShortage({ 1'000, 1'000, 200 }, false));
    CHECK_FALSE(isShortage({ 1'000, 1'200, 200 }, false));
}

TEST_CASE("requests beyond the share get a part of the max wait, and those within it all")
{
    CHECK(fractionWithinShare(600, 300) == 0.5);
    CHECK(fractionWithinShare(100, 100) == 1);
    CHECK(fractionWithinShare(0, 0) == 1);
    CHECK(fractionWithinShare(100, -1) == 0);
    CHECK(waitFractionFor(ShareClass::Within) == 1);
    CHECK(waitFractionFor(ShareClass::Beyond) < 1);
    CHECK(waitFractionFor(ShareClass::Late) < waitFractionFor(ShareClass::Beyond));
    CHECK(waitFractionFor(ShareClass::Late) > 0);
}
