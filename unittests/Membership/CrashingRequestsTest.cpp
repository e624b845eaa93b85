#include "catkinwing/Membership/CrashingRequests.h"

#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

static RequestFingerprint fingerprint(std::uint32_t number)
{
    RequestFingerprint result;
    for (std::size_t i = 0; i < 4; ++i)
        result.bytes[i] = static_cast<unsigned char>(number >> (8 * i));
    return result;
}

/// Lets \p endpoint crash under a request at \p at, and settles it.
static void crash(CrashingRequests& requests, std::uint32_t request, std::uint32_t endpoint, TimePoint at)
{
    requests.noteBroken(fingerprint(request), endpoint, {}, at);
    requests.houseKeep(at + 600ms);
}

TEST_CASE("a broken connection counts unless its endpoint is heard from again")
{
    CrashingRequests requests;
    TimePoint now { 100s };
    requests.noteBroken(fingerprint(1), 7, {}, now);
    requests.noteBroken(fingerprint(1), 8, {}, now);
    // Bytes that were on their way when the connection broke.
    requests.noteAlive(8, now + 10ms);
    requests.noteAlive(7, now + 200ms);
    requests.houseKeep(now + 600ms);
    std::vector<CrashNotice> settled = requests.takeSettled();
    REQUIRE(settled.size() == 1);
    REQUIRE(settled[0].crashes.size() == 1);
    CHECK(settled[0].crashes[0].endpoint == 8);
    CHECK(settled[0].crashes[0].age == 600ms);
}

TEST_CASE("an endpoint that takes no connections has crashed at once")
{
    CrashingRequests requests;
    TimePoint now { 100s };
    requests.noteBroken(fingerprint(1), 7, {}, now);
    requests.houseKeep(now + 50ms);
    CHECK(requests.takeSettled().empty());
    requests.noteGone(7, now + 60ms);
    requests.houseKeep(now + 100ms);
    CHECK(requests.takeSettled().size() == 1);
}

TEST_CASE("an answer before the break is settled clears the request")
{
    CrashingRequests requests;
    TimePoint now { 100s };
    requests.noteBroken(fingerprint(1), 7, {}, now);
    requests.noteSurvived(fingerprint(1), now + 100ms);
    requests.houseKeep(now + 600ms);
    CHECK(requests.takeSettled().empty());
    CHECK(requests.isEmpty());
}

TEST_CASE("a request that may be the third to crash an endpoint isn't sent before that is settled")
{
    CrashingRequests requests;
    TimePoint now { 100s };
    crash(requests, 1, 7, now);
    crash(requests, 1, 8, now + 1s);
    CHECK_FALSE(requests.refusedFor(fingerprint(1), now + 2s));
    requests.noteBroken(fingerprint(1), 9, {}, now + 2s);
    std::optional<Duration> refused = requests.refusedFor(fingerprint(1), now + 2s);
    REQUIRE(refused);
    CHECK(*refused < 1s);
    requests.noteAlive(9, now + 2200ms);
    CHECK_FALSE(requests.refusedFor(fingerprint(1), now + 2200ms));
}

TEST_CASE("what ran on endpoints that a refused request crashed isn't to blame for them")
{
    CrashingRequests requests;
    TimePoint now { 100s };
    for (std::uint32_t i = 0; i < 2; ++i) {
        crash(requests, 2, 7 + i, now + i * 1s);
        crash(requests, 1, 7 + i, now + i * 1s);
    }
    crash(requests, 1, 9, now + 2s);
    REQUIRE(requests.refusedFor(fingerprint(1), now + 3s));
    // Its first two crashes were the other one's.
    crash(requests, 2, 9, now + 2s);
    crash(requests, 2, 10, now + 3s);
    CHECK_FALSE(requests.refusedFor(fingerprint(2), now + 4s));
}

TEST_CASE("requests of somebody who sends a million different ones are bounded, and the refused one stays")
{
    CrashingRequests requests;
    TimePoint now { 100s };
    for (std::uint32_t i = 0; i < 3; ++i)
        crash(requests, 1, 7 + i, now + i * 1s);
    for (std::uint32_t i = 0; i < 1'000'000; ++i) {
        requests.noteBroken(fingerprint(i + 2), 1'000 + i, {}, now + 3s);
        if (i % 1'000 == 0) {
            requests.houseKeep(now + 4s);
            requests.takeSettled();
        }
    }
    CHECK(requests.size() <= 4'096);
    CHECK(requests.refusedFor(fingerprint(1), now + 5s));
}

TEST_CASE("what another entry tells is checked: a refusal without bounds is none")
{
    CrashingRequests requests;
    TimePoint now { 100s };
    CrashNotice notice;
    notice.request = fingerprint(1);
    notice.refusals = 1;
    notice.refusedFor = std::chrono::hours(500);
    requests.take(notice, now);
    CHECK_FALSE(requests.refusedFor(fingerprint(1), now));
    notice.refusedFor = 1min;
    requests.take(notice, now);
    CHECK(requests.refusedFor(fingerprint(1), now));
}
