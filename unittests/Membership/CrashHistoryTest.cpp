#include "catkinwing/Membership/CrashHistory.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

static constexpr TimePoint began { 1'000s };

static EndpointCrash crash(std::uint32_t endpoint, Duration after)
{
    return { endpoint, began + after };
}

TEST_CASE("a request is refused after three separate crashes")
{
    CrashHistory history;
    CHECK(noteCrash(history, crash(1, 0s)));
    CHECK_FALSE(noteCrash(history, crash(1, 1s)));
    CHECK(noteCrash(history, crash(2, 1s)));
    CHECK(history.refusals == 0);
    CHECK(noteCrash(history, crash(3, 2s)));
    CHECK(history.refusals == 1);
    CHECK(history.refusedUntil > began + 60s);
}

TEST_CASE("crashes at the same moment count as one")
{
    CrashHistory history;
    for (std::uint32_t endpoint = 1; endpoint <= 10; ++endpoint)
        noteCrash(history, crash(endpoint, endpoint * 20ms));
    CHECK(separateCrashes(history) == 1);
    CHECK(history.refusals == 0);
}

TEST_CASE("a crash is separate if its endpoint received the request after the previous crash")
{
    CrashHistory history;
    noteCrash(history, crash(1, 0ms));
    noteCrash(history, { 2, began + 100ms, 80ms });
    CHECK(separateCrashes(history) == 2);
    // Running at the previous crash, or sent to an endpoint that had already crashed.
    noteCrash(history, { 3, began + 150ms, 60ms });
    noteCrash(history, { 4, began + 160ms, 5ms });
    CHECK(separateCrashes(history) == 2);
}

TEST_CASE("an answer removes all earlier crashes")
{
    CrashHistory history;
    noteCrash(history, crash(1, 0s));
    noteCrash(history, crash(2, 1s));
    CHECK(noteSurvived(history, began + 1500ms));
    CHECK_FALSE(noteCrash(history, crash(3, 1200ms)));
    noteCrash(history, crash(4, 2s));
    noteCrash(history, crash(5, 3s));
    CHECK(history.refusals == 0);
    noteCrash(history, crash(6, 4s));
    CHECK(history.refusals == 1);
    noteSurvived(history, began + 5s);
    CHECK(history.refusals == 0);
}

TEST_CASE("one crash after a refusal period starts a longer one, and a crash during the period starts none")
{
    CrashHistory history;
    for (std::uint32_t endpoint = 1; endpoint <= 3; ++endpoint)
        noteCrash(history, crash(endpoint, endpoint * 1s));
    TimePoint first = history.refusedUntil;
    noteCrash(history, crash(4, 4s));
    CHECK(history.refusedUntil == first);
    noteCrash(history, { 5, first + 1s });
    CHECK(history.refusals == 2);
    CHECK(history.refusedUntil - first > first - began);
}

TEST_CASE("merging histories gives the same result in any order")
{
    std::vector<CrashHistory> told(4);
    noteCrash(told[0], crash(1, 0s));
    noteCrash(told[1], crash(2, 1s));
    noteCrash(told[2], crash(3, 5s));
    noteCrash(told[2], crash(4, 6s));
    noteSurvived(told[3], began + 3s);
    std::vector<std::size_t> order { 0, 1, 2, 3 };
    do {
        CrashHistory history;
        for (std::size_t index : order)
            mergeHistory(history, told[index]);
        CHECK(history.crashes.size() == 2);
        CHECK(history.survivedAt == began + 3s);
        for (std::size_t index : order)
            CHECK_FALSE(mergeHistory(history, told[index]));
    } while (std::next_permutation(order.begin(), order.end()));
}

TEST_CASE("a history is bounded and expires")
{
    CrashHistory history;
    noteCrash(history, crash(1, 0s));
    CHECK_FALSE(isForgotten(history, began + 60s));
    CHECK(isForgotten(history, began + 600s));
    CrashHistory refused;
    for (std::uint32_t endpoint = 0; endpoint < 100; ++endpoint)
        noteCrash(refused, crash(endpoint, endpoint * 1s));
    CHECK(refused.crashes.size() <= 16);
    CHECK_FALSE(noteCrash(refused, crash(5, 5s)));
    CHECK(isForgotten(refused, refused.refusedUntil + 3'600s));
}
