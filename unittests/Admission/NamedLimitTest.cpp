#include "catkinwing/Admission/NamedLimit.h"

#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

static constexpr TimePoint start { std::chrono::hours(1) };

TEST_CASE("a limit applies from the first answer that names it, and a lower one at once")
{
    NamedLimit limit;
    CHECK_FALSE(recordNamedLimit(limit, std::nullopt, start));
    CHECK(recordNamedLimit(limit, 4.0, start));
    CHECK(limit.perSecond == 4.0);
    CHECK_FALSE(recordNamedLimit(limit, 4.0, start + 1s));
    CHECK(limit.confirmedAt == start + 1s);
    CHECK(recordNamedLimit(limit, 1.5, start + 1s));
    CHECK(limit.perSecond == 1.5);
}

TEST_CASE("a limit ends after three answers in a second that name none")
{
    NamedLimit limit;
    recordNamedLimit(limit, 4.0, start);
    for (Duration after : { 100ms, 200ms, 300ms, 1'000ms })
        CHECK_FALSE(recordNamedLimit(limit, std::nullopt, start + after));
    CHECK(recordNamedLimit(limit, std::nullopt, start + 1'100ms));
    CHECK_FALSE(limit.perSecond);
    CHECK_FALSE(recordNamedLimit(limit, std::nullopt, start + 2s));
    CHECK(recordNamedLimit(limit, 4.0, start + 3s));
}

TEST_CASE("two answers without the limit don't end it, however late they are")
{
    NamedLimit limit;
    recordNamedLimit(limit, 0.5, start);
    CHECK_FALSE(recordNamedLimit(limit, std::nullopt, start + 4s));
    CHECK_FALSE(recordNamedLimit(limit, std::nullopt, start + 8s));
    CHECK(limit.perSecond == 0.5);
}

TEST_CASE("an answer with the limit begins the wait for its end anew")
{
    NamedLimit limit;
    recordNamedLimit(limit, 4.0, start);
    for (int i = 0; i < 40; ++i)
        CHECK_FALSE(recordNamedLimit(limit, i % 3 == 0 ? std::optional<double>(4.0) : std::nullopt, start + i * 600ms));
}

TEST_CASE("a limit rises to the lowest of the higher ones")
{
    NamedLimit limit;
    recordNamedLimit(limit, 1.0, start);
    recordNamedLimit(limit, 9.0, start + 100ms);
    recordNamedLimit(limit, 3.0, start + 600ms);
    CHECK(recordNamedLimit(limit, 5.0, start + 1'200ms));
    CHECK(limit.perSecond == 3.0);
}

TEST_CASE("a limit that changes with each answer stays at its lowest value")
{
    NamedLimit limit;
    for (int i = 0; i < 50; ++i)
        recordNamedLimit(limit, i % 2 == 0 ? 2.0 : 200.0, start + i * 400ms);
    CHECK(limit.perSecond == 2.0);
}

TEST_CASE("a limit of zero leaves the requests that tell when it ends, and an absurd one is none")
{
    NamedLimit limit;
    CHECK(recordNamedLimit(limit, 0.0, start));
    CHECK(limit.perSecond == minLimitPerSecond);
    NamedLimit absurd;
    CHECK_FALSE(recordNamedLimit(absurd, 1e300, start));
    CHECK_FALSE(absurd.perSecond);
}

TEST_CASE("the statement of another entry applies if it is later than what is known")
{
    NamedLimit limit;
    CHECK(mergeLimit(limit, { 2.0, start }));
    CHECK_FALSE(mergeLimit(limit, { std::nullopt, start - 1s }));
    CHECK(limit.perSecond == 2.0);
    CHECK(mergeLimit(limit, { std::nullopt, start + 1s }));
    CHECK_FALSE(limit.perSecond);
    CHECK_FALSE(mergeLimit(limit, { 2.0, start + 500ms }));
}

TEST_CASE("a later statement with the limit begins the wait for its end anew")
{
    NamedLimit limit;
    recordNamedLimit(limit, 2.0, start);
    recordNamedLimit(limit, std::nullopt, start + 500ms);
    recordNamedLimit(limit, std::nullopt, start + 1s);
    mergeLimit(limit, { 2.0, start + 1'200ms });
    CHECK_FALSE(recordNamedLimit(limit, std::nullopt, start + 2s));
    CHECK(limit.perSecond == 2.0);
}
