#include "catkinwing/Membership/CrashHistory.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

static constexpr TimePoint start { 1'000s };

static EndpointCrash crash(std::uint32_t endpoint, Duration after)
{
    return { endpoint, start + after };
}

TEST_CASE("a request is refused after three separate crashes")
{
    CrashHistory history;
    CHECK(recordCrash(history, crash(1, 0s)));
    CHECK_FALSE(recordCrash(history, crash(1, 1s)));
    CHECK(recordCrash(history, crash(2, 1s)));
    CHECK(history.refusals == 0);
    CHECK(recordCrash(history, crash(3, 2s)));
    CHECK(history.refusals == 1);
    CHECK(history.refusedUntil > start + 60s);
}

TEST_CASE("crashes at the same moment count as one")
{
    CrashHistory history;
    for (std::uint32_t endpoint = 1; endpoint <= 10; ++endpoint)
        recordCrash(history, crash(endpoint, endpoint * 20ms));
    CHECK(separateCrashes(history) == 1);
    CHECK(history.refusals == 0);
}

TEST_CASE("a crash is separate if its endpoint received the request after the previous crash")
{
    CrashHistory history;
    recordCrash(history, crash(1, 0ms));
    recordCrash(history, { 2, start + 100ms, 80ms });
    CHECK(separateCrashes(history) == 2);
    // Running at the previous crash, or sent to an endpoint that had already crashed.
    recordCrash(history, { 3, start + 150ms, 60ms });
    recordCrash(history, { 4, start + 160ms, 5ms });
    CHECK(separateCrashes(history) == 2);
}

TEST_CASE("an answer removes all earlier crashes")
{
    CrashHistory history;
    recordCrash(history, crash(1, 0s));
    recordCrash(history, crash(2, 1s));
    CHECK(recordSurvival(history, start + 1500ms));
    CHECK_FALSE(recordCrash(history, crash(3, 1200ms)));
    recordCrash(history, crash(4, 2s));
    recordCrash(history, crash(5, 3s));
    CHECK(history.refusals == 0);
    recordCrash(history, crash(6, 4s));
    CHECK(history.refusals == 1);
    recordSurvival(history, start + 5s);
    CHECK(history.refusals == 0);
}

TEST_CASE("one crash after a refusal period starts a longer one, and a crash during the period starts none")
{
    CrashHistory history;
    for (std::uint32_t endpoint = 1; endpoint <= 3; ++endpoint)
        recordCrash(history, crash(endpoint, endpoint * 1s));
    TimePoint first = history.refusedUntil;
    recordCrash(history, crash(4, 4s));
    CHECK(history.refusedUntil == first);
    recordCrash(history, { 5, first + 1s });
    CHECK(history.refusals == 2);
    CHECK(history.refusedUntil - first > first - start);
}

TEST_CASE("merging histories gives the same result in any order")
{
    std::vector<CrashHistory> histories(4);
    recordCrash(histories[0], crash(1, 0s));
    recordCrash(histories[1], crash(2, 1s));
    recordCrash(histories[2], crash(3, 5s));
    recordCrash(histories[2], crash(4, 6s));
    recordSurvival(histories[3], start + 3s);
    std::vector<std::size_t> order { 0, 1, 2, 3 };
    do {
        CrashHistory history;
        for (std::size_t index : order)
            mergeHistory(history, histories[index]);
        CHECK(history.crashes.size() == 2);
        CHECK(history.survivedAt == start + 3s);
        for (std::size_t index : order)
            CHECK_FALSE(mergeHistory(history, histories[index]));
    } while (std::next_permutation(order.begin(), order.end()));
}

TEST_CASE("a history is bounded and expires")
{
    CrashHistory history;
    recordCrash(history, crash(1, 0s));
    CHECK_FALSE(pruneHistory(history, start + 60s));
    CHECK(pruneHistory(history, start + 600s));
    CrashHistory refused;
    for (std::uint32_t endpoint = 0; endpoint < 100; ++endpoint)
        recordCrash(refused, crash(endpoint, endpoint * 1s));
    CHECK(refused.crashes.size() <= 16);
    CHECK_FALSE(recordCrash(refused, crash(5, 5s)));
    CHECK(pruneHistory(refused, refused.refusedUntil + 3'600s));
}

static CrashHistory segmentHistory()
{
    CrashHistory history;
    history.kind = SuspectKind::PromptSegment;
    return history;
}

// Guards against refusing a segment that all requests have, since it is present at each crash.
TEST_CASE("a segment that was answered a moment ago is refused after more crashes than others")
{
    CrashHistory answered = segmentHistory();
    CrashHistory unknown = segmentHistory();
    recordSurvival(answered, start);
    for (std::uint32_t endpoint = 1; endpoint < crashesOfSurvivorBeforeRefusal; ++endpoint) {
        recordCrash(answered, crash(endpoint, endpoint * 1s));
        recordCrash(unknown, crash(endpoint, endpoint * 1s));
        CHECK(answered.refusals == 0);
        CHECK((unknown.refusals > 0) == (endpoint >= crashesBeforeRefusal));
    }
    recordCrash(answered, crash(100, 20s));
    CHECK(answered.refusals == 1);
}

TEST_CASE("a segment has its first trial soon, and a request after its refusal")
{
    CrashHistory segment = segmentHistory();
    CrashHistory request;
    for (std::uint32_t endpoint = 1; endpoint <= 3; ++endpoint) {
        recordCrash(segment, crash(endpoint, endpoint * 1s));
        recordCrash(request, crash(endpoint, endpoint * 1s));
    }
    CHECK(trialStart(segment) == start + 6s);
    CHECK(trialStart(request) == request.refusedUntil);
    // A request that was running when the refusal began.
    recordCrash(segment, crash(4, 4s));
    CHECK(segment.refusals == 1);
    recordCrash(segment, crash(5, 6s));
    recordCrash(request, crash(5, 6s));
    CHECK(segment.refusals == 2);
    CHECK(request.refusals == 1);
    CHECK(trialStart(segment) == segment.refusedUntil);
    CHECK(segment.refusedUntil > start + 6s + 3min);
}
