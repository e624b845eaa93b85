#include "catkinwing/Dispatch/IssuedKeys.h"

#include "catkinwing/Support/ManualScheduler.h"
#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

namespace {

struct Fixture {
    ManualClock clock;
    IssuedKeys::Secret secret = *IssuedKeys::makeSecret();
    IssuedKeys keys { clock, { 1h, 3 }, { "a", 7 }, secret };
};

} // namespace

TEST_CASE("an issued key runs once")
{
    Fixture fixture;
    std::string key = *fixture.keys.issue("team");
    CHECK(*authorityOf(key) == KeyAuthority { "a", 7 });
    IssuedKeyUse first = fixture.keys.use("team", key, 5);
    CHECK(first.verdict == IssuedKeyVerdict::Won);
    IssuedKeyUse repeat = fixture.keys.use("team", key, 5);
    CHECK(repeat.verdict == IssuedKeyVerdict::AlreadyUsed);
    CHECK(repeat.id == first.id);
    CHECK(fixture.keys.use("team", key, 6).verdict == IssuedKeyVerdict::OtherRequest);
}

TEST_CASE("a use that didn't run frees the key under another id")
{
    Fixture fixture;
    std::string key = *fixture.keys.issue("team");
    IssuedKeyUse first = fixture.keys.use("team", key, 5);
    fixture.keys.release(first.id);
    IssuedKeyUse second = fixture.keys.use("team", key, 5);
    CHECK(second.verdict == IssuedKeyVerdict::Won);
    CHECK(second.id != first.id);
    fixture.keys.release(first.id);
    CHECK(fixture.keys.use("team", key, 5).verdict == IssuedKeyVerdict::AlreadyUsed);
}

TEST_CASE("a key of another team, incarnation or hand is refused")
{
    Fixture fixture;
    std::string key = *fixture.keys.issue("team");
    CHECK(fixture.keys.use("other", key, 5).verdict == IssuedKeyVerdict::Invalid);
    IssuedKeys later(fixture.clock, {}, { "a", 8 }, *IssuedKeys::makeSecret());
    CHECK(later.use("team", key, 5).verdict == IssuedKeyVerdict::Invalid);
    std::string forged = key;
    forged.back() = forged.back() == '0' ? '1' : '0';
    CHECK(fixture.keys.use("team", forged, 5).verdict == IssuedKeyVerdict::Invalid);
    for (const char* text : { "", "cik1", "cik1:a:7:1", "cik1::7:1:x", "cik1:a:x:1:00", "cik1:a:7:1:00:00", "my-own-key" })
        CHECK(fixture.keys.use("team", text, 5).verdict == IssuedKeyVerdict::Invalid);
    CHECK_FALSE(authorityOf("my-own-key"));
    CHECK(fixture.keys.use("team", key, 5).verdict == IssuedKeyVerdict::Won);
}

TEST_CASE("an expired key never runs, and keys out are bounded")
{
    Fixture fixture;
    std::string used = *fixture.keys.issue("team");
    std::string unused = *fixture.keys.issue("team");
    fixture.keys.use("team", used, 5);
    REQUIRE(fixture.keys.issue("team").ok());
    CHECK(fixture.keys.issue("team").status().code() == absl::StatusCode::kResourceExhausted);
    fixture.clock.set(fixture.clock.now() + 1h);
    CHECK(fixture.keys.use("team", used, 5).verdict == IssuedKeyVerdict::Expired);
    CHECK(fixture.keys.use("team", unused, 5).verdict == IssuedKeyVerdict::Expired);
    CHECK(fixture.keys.keysOut() == 0);
    CHECK(fixture.keys.issue("team").ok());
}
