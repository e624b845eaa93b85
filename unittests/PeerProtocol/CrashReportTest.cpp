#include "catkinwing/PeerProtocol/CrashReport.h"

#include "catkinwing/PeerProtocol/LoadDigest.h"
#include "catkinwing/PeerProtocol/RegionReport.h"
#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

static CrashNotice notice()
{
    CrashNotice notice;
    for (std::size_t i = 0; i < RequestFingerprint::size; ++i)
        notice.suspect.bytes[i] = static_cast<unsigned char>(200 + i);
    notice.crashes = { { 4'000'000'000, 1'500ms, 90ms, true }, { 7, 0ms, 0ms, false } };
    notice.survivedAgo = 20ms;
    notice.refusedFor = 2min;
    notice.refusals = 3;
    notice.regions = { regionHash("north"), regionHash("south") };
    return notice;
}

TEST_CASE("a report of crashes comes back as it was")
{
    CrashNotice bare;
    absl::StatusOr<CrashReport> report = decodeCrashReport(encodeCrashReport({ { notice(), bare } }));
    REQUIRE(report.ok());
    REQUIRE(report->notices.size() == 2);
    const CrashNotice& told = report->notices[0];
    CHECK(told.suspect == notice().suspect);
    REQUIRE(told.crashes.size() == 2);
    CHECK(told.crashes[0].endpoint == 4'000'000'000);
    CHECK(told.crashes[0].age == 1'500ms);
    CHECK(told.crashes[0].ranFor == 90ms);
    CHECK(told.crashes[0].isSettled);
    CHECK_FALSE(told.crashes[1].isSettled);
    CHECK(told.survivedAgo == 20ms);
    CHECK(told.refusedFor == 2min);
    CHECK(told.refusals == 3);
    CHECK(told.regions == notice().regions);
    CHECK_FALSE(report->notices[1].survivedAgo);
}

TEST_CASE("a report of crashes fits a datagram, and isn't taken for another report")
{
    CrashNotice longest = notice();
    longest.crashes.assign(mostToldCrashes, { 4'000'000'000, 300'000ms, 300'000ms, true });
    std::string bytes = encodeCrashReport({ std::vector<CrashNotice>(mostNotices, longest) });
    CHECK(bytes.size() <= 1'400);
    CHECK_FALSE(decodeLoadReport(bytes).ok());
    CHECK_FALSE(decodeLoadDigest(bytes).ok());
    CHECK_FALSE(decodeRegionReport(bytes).ok());
}

TEST_CASE("what isn't a report of crashes is refused")
{
    CHECK_FALSE(decodeCrashReport("").ok());
    CHECK_FALSE(decodeCrashReport(encodeLoadReport({ "e", 1, {}, {} })).ok());
    CHECK_FALSE(decodeCrashReport(encodeRegionReport({ "r", "e", 1, {} })).ok());
    CHECK_FALSE(decodeCrashReport(encodeCrashReport({ std::vector<CrashNotice>(mostNotices + 1) })).ok());
    CrashNotice many;
    many.crashes.resize(mostToldCrashes + 1);
    CHECK_FALSE(decodeCrashReport(encodeCrashReport({ { many } })).ok());
    std::string bytes = encodeCrashReport({ { notice() } });
    for (std::size_t length = 0; length < bytes.size(); ++length)
        CHECK_FALSE(decodeCrashReport(bytes.substr(0, length)).ok());
}
