#include "catkinwing/Membership/CrashSuspectTable.h"

#include <catch2/catch.hpp>
#include <set>
#include <string>

using namespace catkinwing;
using namespace std::chrono_literals;

static RequestFingerprint fingerprint(std::uint32_t number)
{
    RequestFingerprint result;
    for (std::size_t i = 0; i < 4; ++i)
        result.bytes[i] = static_cast<unsigned char>(number >> (8 * i));
    return result;
}

/// Records a crash of \p endpoint during \p request at \p at, and settles it.
static void crash(CrashSuspectTable& requests, std::uint32_t request, std::uint32_t endpoint, TimePoint at)
{
    requests.recordBrokenConnection({ fingerprint(request) }, endpoint, {}, at);
    requests.settleAndExpire(at + 600ms);
}

TEST_CASE("a broken connection counts as a crash unless the endpoint sends data again")
{
    CrashSuspectTable requests;
    TimePoint now { 100s };
    requests.recordBrokenConnection({ fingerprint(1) }, 7, {}, now);
    requests.recordBrokenConnection({ fingerprint(1) }, 8, {}, now);
    // Bytes that were in flight when the connection broke.
    requests.recordEndpointAlive(8, now + 10ms);
    requests.recordEndpointAlive(7, now + 200ms);
    requests.settleAndExpire(now + 600ms);
    std::vector<CrashNotice> settled = requests.takeSettledNotices();
    REQUIRE(settled.size() == 1);
    REQUIRE(settled[0].crashes.size() == 1);
    CHECK(settled[0].crashes[0].endpoint == 8);
    CHECK(settled[0].crashes[0].age == 600ms);
}

TEST_CASE("an endpoint that refuses connections counts as crashed without waiting")
{
    CrashSuspectTable requests;
    TimePoint now { 100s };
    requests.recordBrokenConnection({ fingerprint(1) }, 7, {}, now);
    requests.settleAndExpire(now + 50ms);
    CHECK(requests.takeSettledNotices().empty());
    requests.recordEndpointUnreachable(7, now + 60ms);
    requests.settleAndExpire(now + 100ms);
    CHECK(requests.takeSettledNotices().size() == 1);
}

// Guards against a request that is convicted because its entry lost the links to all endpoints.
TEST_CASE("connections that broke because the entry was cut off aren't settled as crashes")
{
    CrashSuspectTable requests;
    TimePoint now { 100s };
    std::vector<std::uint32_t> failed { 1, 2, 3, 4, 5, 6 };
    for (std::uint32_t endpoint : { 1, 2, 3 })
        requests.recordBrokenConnection({ fingerprint(1) }, endpoint, {}, now);
    for (std::uint32_t endpoint : { 1, 2, 3, 4, 5 })
        requests.recordBrokenConnection({ fingerprint(2) }, endpoint, {}, now);
    CHECK_FALSE(requests.mayHaveCrashed({ fingerprint(1) }, 1, failed));
    CHECK(requests.mayHaveCrashed({ fingerprint(2) }, 1, failed));
    requests.dropBrokenByCut(failed);
    for (std::uint32_t endpoint : failed)
        requests.recordEndpointUnreachable(endpoint, now + 10ms);
    requests.settleAndExpire(now + 50ms);
    // A request that ran at nearly all of the failed endpoints may have crashed them.
    std::vector<CrashNotice> settled = requests.takeSettledNotices();
    CHECK_FALSE(settled.empty());
    for (const CrashNotice& notice : settled)
        CHECK(notice.suspect == fingerprint(2));
}

TEST_CASE("an answer before a broken connection is settled clears the request")
{
    CrashSuspectTable requests;
    TimePoint now { 100s };
    requests.recordBrokenConnection({ fingerprint(1) }, 7, {}, now);
    requests.recordSurvival({ fingerprint(1) }, now + 100ms);
    requests.settleAndExpire(now + 600ms);
    CHECK(requests.takeSettledNotices().empty());
    CHECK(requests.isEmpty());
}

TEST_CASE("a request is refused while a possible third crash is not settled")
{
    CrashSuspectTable requests;
    TimePoint now { 100s };
    crash(requests, 1, 7, now);
    crash(requests, 1, 8, now + 1s);
    CHECK_FALSE(requests.refusalOf(RequestSuspects { fingerprint(1) }, now + 2s));
    requests.recordBrokenConnection({ fingerprint(1) }, 9, {}, now + 2s);
    std::optional<CrashSuspectTable::Refusal> refused = requests.refusalOf(RequestSuspects { fingerprint(1) }, now + 2s);
    REQUIRE(refused);
    CHECK(refused->remaining < 1s);
    requests.recordEndpointAlive(9, now + 2200ms);
    CHECK_FALSE(requests.refusalOf(RequestSuspects { fingerprint(1) }, now + 2200ms));
}

/// Returns the notice of another entry about a connection that has just broken.
static CrashNotice brokenElsewhere(std::uint32_t request, std::uint32_t endpoint)
{
    CrashNotice notice;
    notice.suspect = fingerprint(request);
    notice.crashes.push_back({ endpoint, 0ms, 80ms, false });
    return notice;
}

// Guards against sending the same request to several endpoints while it isn't known
// whether the request crashes them.
TEST_CASE("entries take turns to send a request after a crash during it")
{
    constexpr std::size_t entries = 3;
    TimePoint now { 100s };
    std::vector<CrashSuspectTable> requests(entries);
    for (CrashSuspectTable& known : requests)
        known.mergeNotice(brokenElsewhere(1, 7), now);
    for (TimePoint time = now; time < now + 1500ms; time += 10ms) {
        int sendingEntries = 0;
        for (std::size_t rank = 0; rank < entries; ++rank) {
            std::optional<CrashSuspectTable::RecentCrash> crash = requests[rank].crashToAwait({ fingerprint(1) }, time);
            REQUIRE(crash);
            bool isTurn = requests[rank].nextTurn(*crash, { rank, entries }, time) <= time;
            if (isTurn)
                requests[rank].recordAttempt(fingerprint(1), time);
            sendingEntries += isTurn ? 1 : 0;
        }
        CHECK(sendingEntries <= 1);
    }
    CHECK_FALSE(requests[0].crashToAwait({ fingerprint(2) }, now));
    CHECK_FALSE(requests[0].crashToAwait({ fingerprint(1) }, now + 5s));
}

// Guards against delaying requests that ran on an endpoint that another request crashed.
TEST_CASE("a single crash that only this entry has seen is marked as such")
{
    CrashSuspectTable requests;
    TimePoint now { 100s };
    requests.recordBrokenConnection({ fingerprint(1) }, 7, {}, now, 80ms);
    REQUIRE(requests.crashToAwait({ fingerprint(1) }, now));
    CHECK(requests.crashToAwait({ fingerprint(1) }, now)->isOnlyKnownHere);
    CrashSuspectTable reported = requests;
    reported.mergeNotice(brokenElsewhere(1, 8), now);
    CHECK_FALSE(reported.crashToAwait({ fingerprint(1) }, now)->isOnlyKnownHere);
    requests.recordBrokenConnection({ fingerprint(1) }, 8, {}, now + 100ms, 80ms);
    CHECK_FALSE(requests.crashToAwait({ fingerprint(1) }, now + 100ms)->isOnlyKnownHere);
}

TEST_CASE("a request that was answered before a crash doesn't wait, and the answering entry notifies the others")
{
    CrashSuspectTable requests;
    bool isUrgent = false;
    requests.setUrgentCallback([&] { isUrgent = true; });
    TimePoint now { 100s };
    requests.recordSurvival({ fingerprint(1) }, now);
    requests.mergeNotice(brokenElsewhere(1, 7), now + 2s);
    CHECK_FALSE(requests.crashToAwait({ fingerprint(1) }, now + 2s));
    REQUIRE(isUrgent);
    std::vector<CrashNotice> reported = requests.takeUrgentNotices(now + 2s);
    REQUIRE(reported.size() == 1);
    CHECK(reported[0].survivedAgo == 2s);

    CrashSuspectTable other;
    other.mergeNotice(brokenElsewhere(1, 7), now + 2s);
    REQUIRE(other.crashToAwait({ fingerprint(1) }, now + 2s));
    other.mergeNotice(reported[0], now + 2s);
    CHECK_FALSE(other.crashToAwait({ fingerprint(1) }, now + 2s));
}

TEST_CASE("the requests dispatched last to a crashed endpoint are reported first")
{
    CrashSuspectTable requests;
    requests.setUrgentCallback([] {});
    TimePoint now { 100s };
    for (std::uint32_t i = 0; i < 40; ++i)
        requests.recordBrokenConnection({ fingerprint(i) }, 7, {}, now, i == 30 ? 80ms : 2s);
    std::vector<CrashNotice> reported = requests.takeUrgentNotices(now + 2ms);
    REQUIRE(reported.size() < 40);
    CHECK(reported[0].suspect == fingerprint(30));
    CHECK(reported[0].crashes[0].ranFor == 80ms);
    CHECK_FALSE(reported[0].crashes[0].isSettled);
}

TEST_CASE("crashes that a refused request caused don't count for other requests")
{
    CrashSuspectTable requests;
    TimePoint now { 100s };
    for (std::uint32_t i = 0; i < 2; ++i) {
        crash(requests, 2, 7 + i, now + i * 1s);
        crash(requests, 1, 7 + i, now + i * 1s);
    }
    crash(requests, 1, 9, now + 2s);
    REQUIRE(requests.refusalOf(RequestSuspects { fingerprint(1) }, now + 3s));
    // The first two crashes of request 2 were caused by request 1.
    crash(requests, 2, 9, now + 2s);
    crash(requests, 2, 10, now + 3s);
    CHECK_FALSE(requests.refusalOf(RequestSuspects { fingerprint(2) }, now + 4s));
}

TEST_CASE("the number of tracked requests is bounded for a million different ones, and a refused one is kept")
{
    CrashSuspectTable requests;
    TimePoint now { 100s };
    for (std::uint32_t i = 0; i < 3; ++i)
        crash(requests, 1, 7 + i, now + i * 1s);
    for (std::uint32_t i = 0; i < 1'000'000; ++i) {
        requests.recordBrokenConnection({ fingerprint(i + 2) }, 1'000 + i, {}, now + 3s);
        if (i % 1'000 == 0) {
            requests.settleAndExpire(now + 4s);
            requests.takeSettledNotices();
        }
    }
    CHECK(requests.size() <= 4'096);
    CHECK(requests.refusalOf(RequestSuspects { fingerprint(1) }, now + 5s));
}

TEST_CASE("a reported refusal that is too long is ignored")
{
    CrashSuspectTable requests;
    TimePoint now { 100s };
    CrashNotice notice;
    notice.suspect = fingerprint(1);
    notice.refusals = 1;
    notice.refusedFor = std::chrono::hours(500);
    requests.mergeNotice(notice, now);
    CHECK_FALSE(requests.refusalOf(RequestSuspects { fingerprint(1) }, now));
    notice.refusedFor = 1min;
    requests.mergeNotice(notice, now);
    CHECK(requests.refusalOf(RequestSuspects { fingerprint(1) }, now));
}

// Guards against delaying every stream that ran on a crashed endpoint, and against letting
// the one that crashes endpoints go on again and again.
TEST_CASE("a stream with events goes on at once after one crash, but not after two or while another attempt runs")
{
    CrashSuspectTable requests;
    TimePoint at = TimePoint() + 10s;
    RequestFingerprint stream;
    stream.bytes[0] = 1;
    requests.recordBrokenConnection({ stream }, 7, {}, at, 500ms);
    std::optional<CrashSuspectTable::RecentCrash> crash = requests.crashToAwait({ stream }, at);
    REQUIRE(crash);
    CHECK(requests.mayResume(*crash));
    requests.recordAttempt(stream, at + 10ms);
    CHECK_FALSE(requests.mayResume(*crash));
    requests.recordBrokenConnection({ stream }, 8, {}, at + 600ms, 500ms);
    crash = requests.crashToAwait({ stream }, at + 600ms);
    REQUIRE(crash);
    CHECK_FALSE(requests.mayResume(*crash));
}

static SuspectId segment(const std::string& name)
{
    return suspectId(SuspectKind::PromptSegment, name);
}

/// Records crashes of three endpoints, from \p firstEndpoint on, under different requests that have
/// \p segments, one every second from \p at on.
static void crashThree(CrashSuspectTable& requests, const RequestSuspects& segments, std::uint32_t firstEndpoint, TimePoint at)
{
    for (std::uint32_t i = 0; i < 3; ++i) {
        RequestSuspects suspects { fingerprint(firstEndpoint + i) };
        suspects.insert(suspects.end(), segments.begin(), segments.end());
        requests.recordBrokenConnection(suspects, firstEndpoint + i, {}, at + i * 1s);
        requests.settleAndExpire(at + i * 1s + 600ms);
    }
}

// Guards against a segment that crashes endpoints under requests that are never alike.
TEST_CASE("a segment that three crashed requests have in common is refused, and what others answered isn't")
{
    CrashSuspectTable requests;
    TimePoint now { 100s };
    requests.recordSurvival({ fingerprint(1), segment("first") }, now - 1s);
    crashThree(requests, { segment("first"), segment("bad") }, 100, now);
    std::optional<CrashSuspectTable::Refusal> refusal = requests.refusalOf(RequestSuspects { fingerprint(2), segment("bad") }, now + 3s);
    REQUIRE(refusal);
    CHECK(refusal->suspect == segment("bad"));
    CHECK_FALSE(requests.refusalOf(RequestSuspects { fingerprint(2), segment("first") }, now + 3s));
    CHECK(requests.refusedCount(SuspectKind::PromptSegment, now + 3s) == 1);
    CHECK(requests.refusedCount(SuspectKind::Request, now + 3s) == 0);
}

// Guards against a second segment that gets away because the crashes of the first explain its own.
TEST_CASE("two segments that crash endpoints by turns are both refused")
{
    CrashSuspectTable requests;
    TimePoint now { 100s };
    for (std::uint32_t i = 0; i < 6; ++i) {
        requests.recordBrokenConnection({ fingerprint(i), segment(i % 2 == 0 ? "bad-0" : "bad-1") }, 100 + i, {}, now + i * 1s);
        requests.settleAndExpire(now + i * 1s + 600ms);
    }
    CHECK(requests.refusalOf(RequestSuspects { fingerprint(50), segment("bad-0") }, now + 6s));
    CHECK(requests.refusalOf(RequestSuspects { fingerprint(50), segment("bad-1") }, now + 6s));
}

// Guards against several entries that try a refused segment at once.
TEST_CASE("one entry at a time tries a refused segment, and one request at a time")
{
    constexpr std::size_t entries = 3;
    TimePoint now { 100s };
    std::vector<CrashSuspectTable> requests(entries);
    for (CrashSuspectTable& known : requests)
        crashThree(known, { segment("bad") }, 100, now);
    std::vector<TimePoint> trials;
    for (TimePoint time = now + 2s; time < now + 60s; time += 50ms) {
        for (std::size_t rank = 0; rank < entries; ++rank) {
            std::optional<CrashSuspectTable::Refusal> refusal = requests[rank].refusalOf(RequestSuspects { fingerprint(1), segment("bad") }, time);
            REQUIRE(refusal);
            if (refusal->mayBeTrial && requests[rank].beginTrial(refusal->suspect, { rank, entries }, time))
                trials.push_back(time);
        }
    }
    REQUIRE(trials.size() >= 5);
    // The refusal began with the third crash, two seconds after the first.
    CHECK(trials.front() >= now + 5s);
    for (std::size_t i = 1; i < trials.size(); ++i)
        CHECK(trials[i] - trials[i - 1] >= 5s);
}

// Guards against a trial that crashes an endpoint by another segment, after which the refused one
// stays refused for minutes.
TEST_CASE("a request is no trial of a refused segment if another of its segments was at as many crashes")
{
    CrashSuspectTable requests;
    TimePoint now { 100s };
    crashThree(requests, { segment("beside") }, 100, now);
    // These began before the crash before them, so that two of them count as one.
    requests.recordBrokenConnection({ segment("bad") }, 201, {}, now);
    requests.recordBrokenConnection({ segment("bad") }, 202, {}, now + 100ms, 500ms);
    requests.recordBrokenConnection({ segment("bad") }, 203, {}, now + 2s);
    requests.recordBrokenConnection({ segment("other") }, 204, {}, now + 2s);
    requests.settleAndExpire(now + 3s);
    TimePoint later = now + 6s;
    CHECK_FALSE(requests.refusalOf(RequestSuspects { fingerprint(1), segment("bad") }, later));
    CHECK_FALSE(requests.refusalOf(RequestSuspects { fingerprint(1), segment("bad"), segment("beside") }, later)->mayBeTrial);
    CHECK(requests.refusalOf(RequestSuspects { fingerprint(1), segment("other"), segment("beside") }, later)->mayBeTrial);
}

TEST_CASE("a request with two refused segments is no trial, and one whose segment is answered is served everywhere")
{
    CrashSuspectTable requests;
    TimePoint now { 100s };
    crashThree(requests, { segment("bad"), segment("beside") }, 100, now);
    TimePoint later = now + 6s;
    CHECK_FALSE(requests.refusalOf(RequestSuspects { fingerprint(1), segment("bad"), segment("beside") }, later)->mayBeTrial);
    CHECK(requests.refusalOf(RequestSuspects { fingerprint(1), segment("beside") }, later)->mayBeTrial);
    requests.recordSurvival({ fingerprint(1), segment("beside") }, later);
    CHECK_FALSE(requests.refusalOf(RequestSuspects { fingerprint(1), segment("beside") }, later));
    CHECK(requests.refusalOf(RequestSuspects { fingerprint(1), segment("bad"), segment("beside") }, later)->mayBeTrial);
    // Another entry learns of the answer by the changed history.
    CrashSuspectTable other;
    crashThree(other, { segment("beside") }, 100, now);
    for (const CrashNotice& notice : requests.takeChangedNotices(later))
        other.mergeNotice(notice, later);
    CHECK_FALSE(other.refusalOf(RequestSuspects { fingerprint(1), segment("beside") }, later));
}

// Guards against endpoints that crash in the middle of an answer whose end can't be told from a cut.
TEST_CASE("an answer that ends with its connection clears its suspects once the endpoint is heard from, and counts as a crash if it has stopped")
{
    CrashSuspectTable requests;
    TimePoint now { 100s };
    crashThree(requests, { segment("bad") }, 100, now);
    RequestSuspects suspects { fingerprint(1), segment("bad") };
    requests.recordUnframedEnd(suspects, 200, {}, now + 6s);
    CHECK(requests.refusalOf(suspects, now + 6s));
    requests.recordEndpointUnreachable(200, now + 6100ms);
    requests.settleAndExpire(now + 6200ms);
    CHECK(requests.refusalOf(suspects, now + 20s)->remaining > 3min);
    requests.recordUnframedEnd(suspects, 201, {}, now + 20s);
    requests.recordEndpointAlive(201, now + 20200ms);
    CHECK_FALSE(requests.refusalOf(suspects, now + 21s));
}

// Guards against a caller who makes entries forget what is answered often by naming many segments.
TEST_CASE("answers of a million segments push out neither a segment that is answered often nor a refused one")
{
    CrashSuspectTable requests;
    TimePoint now { 100s };
    crashThree(requests, { segment("bad") }, 100, now);
    now += 4s;
    for (int i = 0; i < 1'000'000; ++i) {
        requests.recordSurvival({ segment(std::to_string(i)) }, now);
        if (i % 1'000 == 0)
            requests.recordSurvival({ segment("often") }, now);
    }
    CHECK(requests.answeredCount() <= std::size_t { 2 } * 8'192);
    CHECK(requests.refusalOf(RequestSuspects { fingerprint(1), segment("bad") }, now));
    requests.mergeNotice({ segment("often"), { { 7, 0ms, 80ms, false } }, {}, 0ms, 0, {} }, now);
    CHECK_FALSE(requests.crashToAwait({ segment("often") }, now));
}

TEST_CASE("the histories that one call returns for other entries are bounded, and all are returned in turn")
{
    CrashSuspectTable requests;
    TimePoint now { 100s };
    constexpr std::uint32_t refused = 100;
    for (std::uint32_t i = 0; i < refused; ++i)
        crashThree(requests, { segment("bad-" + std::to_string(i)) }, 1'000 + 10 * i, now);
    std::set<SuspectId> told;
    for (int i = 0; i < 20; ++i) {
        std::vector<CrashNotice> notices = requests.nextSuspectNotices(now + 4s);
        CHECK(notices.size() <= 16);
        for (const CrashNotice& notice : notices)
            told.insert(notice.suspect);
    }
    CHECK(told.size() == refused);
    CHECK(requests.takeChangedNotices(now + 4s).size() <= 16);
    CHECK(requests.refusedNotices(now + 4s).size() <= 16);
}

// Guards against telling the name of a segment to regions where no request with it may be processed.
TEST_CASE("a segment may be known wherever one of its requests may be processed")
{
    CrashSuspectTable requests;
    TimePoint now { 100s };
    for (std::uint32_t i = 0; i < 3; ++i) {
        requests.recordBrokenConnection({ segment("bound") }, 10 + i, { 1, 2 }, now + i * 1s);
        requests.recordBrokenConnection({ segment("shared") }, 20 + i, i == 0 ? std::vector<std::uint32_t> { 1 } : std::vector<std::uint32_t> {}, now + i * 1s);
        requests.settleAndExpire(now + i * 1s + 600ms);
    }
    for (const CrashNotice& notice : requests.refusedNotices(now + 3s))
        CHECK(notice.regions == (notice.suspect == segment("bound") ? std::vector<std::uint32_t> { 1, 2 } : std::vector<std::uint32_t> {}));
}
