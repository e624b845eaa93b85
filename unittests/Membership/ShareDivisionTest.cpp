#include "catkinwing/Membership/ShareDivision.h"

#include <catch2/catch.hpp>

using namespace catkinwing;

static std::vector<std::string> entries(std::size_t count)
{
    std::vector<std::string> names;
    for (std::size_t i = 0; i < count; ++i)
        names.push_back("entry-" + std::to_string(i));
    return names;
}

static std::vector<RateSharer> sharers(const std::vector<std::string>& names)
{
    std::vector<RateSharer> all;
    all.reserve(names.size());
    for (const std::string& name : names)
        all.push_back({ name });
    return all;
}

TEST_CASE("the shares of a rate add up to no more than the rate allows within a second")
{
    for (std::size_t count : { 1u, 2u, 3u, 7u, 30u, 200u }) {
        for (double perSecond : { 0.5, 2.0, 5.4, 9.7, 40.0 }) {
            SharedRate rate { perSecond, 1.5, 3 };
            std::vector<std::string> names = entries(count);
            double maxRequests = 0;
            double totalRate = 0;
            for (const std::string& name : names) {
                RateShare share = divideRate(sharers(names), name, "endpoint", rate);
                maxRequests += share.burst + share.perSecond;
                totalRate += share.perSecond;
            }
            CAPTURE(count, perSecond);
            CHECK(maxRequests <= perSecond * 1.5 + 3);
            CHECK(totalRate == Approx(perSecond));
        }
    }
}

TEST_CASE("entries that temporarily have different lists stay within the rate")
{
    SharedRate rate { 5.4, 1.5, 3 };
    for (std::size_t count : { 5u, 12u, 30u }) {
        std::vector<std::string> all = entries(count);
        for (std::size_t removed = 0; removed < count; ++removed) {
            std::vector<std::string> remaining = all;
            remaining.erase(remaining.begin() + static_cast<std::ptrdiff_t>(removed));
            double maxRequests = 0;
            for (std::size_t i = 0; i < count; ++i) {
                RateShare share = divideRate(sharers(i % 2 ? all : remaining), all[i], "endpoint", rate);
                maxRequests += share.burst + share.perSecond;
            }
            CHECK(maxRequests <= 5.4 * 1.5 + 3 + 0.2);
        }
    }
}

TEST_CASE("an entry that isn't in the list has no share")
{
    CHECK(divideRate(sharers(entries(3)), "stranger", "endpoint", { 10, 1.5, 3 }).burst == 0);
    CHECK(divideRate({}, "stranger", "endpoint", { 10, 1.5, 3 }).burst == 0);
}

// Guards against shares that grow while registrations expire or parts of a region are cut off:
// every part takes over the shares of the others, which still use them.
TEST_CASE("shares stay within the rate however the entries are divided into parts that don't list each other")
{
    const SharedRate rates[] = {
        { 5.4, 1.5, 3 },
        { 40, 1.5, 3 },
        { 0.25, 1.5, 5, std::chrono::seconds(4), std::chrono::milliseconds(200) },
        { 3.7, 1.5, 5, std::chrono::seconds(4), std::chrono::milliseconds(200) },
        { 50, 1.5, 5, std::chrono::seconds(4), std::chrono::milliseconds(200) },
    };
    for (const SharedRate& rate : rates) {
        for (std::size_t count : { 1u, 2u, 3u, 7u, 28u, 100u }) {
            for (std::size_t parts = 1; parts <= count; ++parts) {
                double seconds = std::chrono::duration<double>(rate.window + rate.grantLifetime).count();
                double maxRequests = 0;
                for (std::size_t own = 0; own < count; ++own) {
                    std::vector<RateSharer> known;
                    for (std::size_t i = 0; i < count; ++i)
                        known.push_back({ "entry-" + std::to_string(i), i % parts == own % parts });
                    RateShare share = divideRate(known, known[own].name, "endpoint", rate);
                    maxRequests += share.burst + share.perSecond * seconds;
                }
                CAPTURE(rate.perSecond, count, parts);
                double window = std::chrono::duration<double>(rate.window).count();
                CHECK(maxRequests <= rate.perSecond * rate.ratio * window + rate.slack);
            }
        }
    }
}

TEST_CASE("the listed holders take over part of the shares of the others")
{
    std::vector<RateSharer> all = sharers(entries(2));
    SharedRate rate { 8, 1.5, 5, std::chrono::seconds(4) };
    CHECK(divideRate(all, "entry-0", "endpoint", rate).perSecond == Approx(4));
    all[1].isListed = false;
    CHECK(divideRate(all, "entry-0", "endpoint", rate).perSecond == Approx(5));
    CHECK(listedHolders(all, "endpoint", rate) == std::vector<std::string> { "entry-0" });
}

TEST_CASE("the entries that hold a share differ between endpoints")
{
    std::vector<std::string> names = entries(30);
    std::size_t endpointsWithShare = 0;
    for (int endpoint = 0; endpoint < 100; ++endpoint)
        endpointsWithShare += divideRate(sharers(names), names[0], std::to_string(endpoint), { 5.4, 1.5, 3 }).burst > 0 ? 1 : 0;
    CHECK(endpointsWithShare > 2);
    CHECK(endpointsWithShare < 25);
}

TEST_CASE("the delegate changes only when it is removed")
{
    std::vector<std::string> names = entries(9);
    std::string delegate = chooseDelegate(names, "duty");
    CHECK_FALSE(delegate.empty());
    for (const std::string& removed : names) {
        std::vector<std::string> remaining = names;
        remaining.erase(std::find(remaining.begin(), remaining.end(), removed));
        CHECK((chooseDelegate(remaining, "duty") == delegate) == (removed != delegate));
    }
    CHECK(chooseDelegate({}, "duty").empty());
}
