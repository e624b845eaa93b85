#include "catkinwing/PeerProtocol/ForwardStamp.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

static ForwardStamp sampleStamp()
{
    ForwardStamp stamp;
    stamp.origin = { "perth-a-1", { 1700000000000, 42 } };
    stamp.originZone = "perth-a";
    stamp.requestId = "8f14e45fceea167a";
    stamp.attempt = 2;
    stamp.hop = 1;
    stamp.visited = { "perth-a" };
    stamp.team = "renewals";
    stamp.residency = { "perth", "bunbury" };
    stamp.requestClass = "draft";
    stamp.timeLeft = 1500ms;
    stamp.teamRevision = 77;
    stamp.claimId = "c1";
    return stamp;
}

static StampHeader& header(std::vector<StampHeader>& headers, const std::string& name)
{
    auto found = std::find_if(headers.begin(), headers.end(), [&](const StampHeader& candidate) { return candidate.name == name; });
    REQUIRE(found != headers.end());
    return *found;
}

TEST_CASE("a stamp comes back from its headers")
{
    ForwardStamp sent = sampleStamp();
    std::vector<StampHeader> headers = encodeStamp(sent);
    headers.push_back({ "content-type", "application/json" });
    absl::StatusOr<ForwardStamp> stamp = decodeStamp(headers);
    REQUIRE(stamp.ok());
    CHECK(stamp->origin == sent.origin);
    CHECK(stamp->originZone == sent.originZone);
    CHECK(stamp->requestId == sent.requestId);
    CHECK(stamp->attempt == sent.attempt);
    CHECK(stamp->hop == sent.hop);
    CHECK(stamp->visited == sent.visited);
    CHECK(stamp->team == sent.team);
    CHECK(stamp->residency == sent.residency);
    CHECK(stamp->requestClass == sent.requestClass);
    CHECK(stamp->timeLeft == sent.timeLeft);
    CHECK(stamp->teamRevision == sent.teamRevision);
    CHECK(stamp->claimId == sent.claimId);
}

TEST_CASE("a stamp for any region and without a claim comes back as such")
{
    ForwardStamp sent = sampleStamp();
    sent.residency.clear();
    sent.claimId.reset();
    absl::StatusOr<ForwardStamp> stamp = decodeStamp(encodeStamp(sent));
    REQUIRE(stamp.ok());
    CHECK(stamp->residency.empty());
    CHECK_FALSE(stamp->claimId.has_value());
}

TEST_CASE("a request without a stamp is told from a bad one")
{
    CHECK(absl::IsNotFound(decodeStamp({ { "host", "10.0.0.1" } }).status()));
    std::vector<StampHeader> headers = encodeStamp(sampleStamp());
    header(headers, stampVersionHeader).value = "2";
    CHECK(absl::IsUnimplemented(decodeStamp(headers).status()));
}

TEST_CASE("a stamp without any one of its headers is refused")
{
    std::vector<StampHeader> whole = encodeStamp(sampleStamp());
    for (std::size_t i = 0; i < whole.size(); ++i) {
        if (whole[i].name == stampVersionHeader || whole[i].name == "catkinwing-stamp-claim")
            continue;
        std::vector<StampHeader> headers = whole;
        headers.erase(headers.begin() + static_cast<std::ptrdiff_t>(i));
        INFO(whole[i].name);
        CHECK(absl::IsInvalidArgument(decodeStamp(headers).status()));
    }
}

TEST_CASE("a stamp with a doubled, unknown or unreadable header is refused")
{
    std::vector<StampHeader> whole = encodeStamp(sampleStamp());
    std::vector<StampHeader> faults {
        { "catkinwing-stamp-hop", "1x" }, { "catkinwing-stamp-hop", "-1" }, { "catkinwing-stamp-origin", "a,1,2" },
        { "catkinwing-stamp-origin", "a,b,c,d" }, { "catkinwing-stamp-visited", "a,,b" }, { "catkinwing-stamp-residency", "a," },
        { "catkinwing-stamp-time-left-ms", "99999999999999999999" }, { "catkinwing-stamp-time-left-ms", "9223372036854775807" },
        { "catkinwing-stamp-claim", "" }
    };
    for (const StampHeader& fault : faults) {
        std::vector<StampHeader> headers = whole;
        header(headers, fault.name).value = fault.value;
        INFO(fault.name << ": " << fault.value);
        CHECK(absl::IsInvalidArgument(decodeStamp(headers).status()));
    }
    std::vector<StampHeader> doubled = whole;
    doubled.push_back({ "Catkinwing-Stamp-Hop", "1" });
    CHECK(absl::IsInvalidArgument(decodeStamp(doubled).status()));
    std::vector<StampHeader> unknown = whole;
    unknown.push_back({ "catkinwing-stamp-more", "1" });
    CHECK(absl::IsInvalidArgument(decodeStamp(unknown).status()));
}

TEST_CASE("a receiver refuses a stamp that must not run there")
{
    ForwardStamp stamp = sampleStamp();
    CHECK(checkStamp(stamp, "bunbury-a", "bunbury") == StampVerdict::Accepted);
    CHECK(checkStamp(stamp, "kalgoorlie-a", "kalgoorlie") == StampVerdict::Residency);
    CHECK(checkStamp(stamp, "perth-a", "perth") == StampVerdict::Visited);
    stamp.visited.push_back("bunbury-a");
    CHECK(checkStamp(stamp, "bunbury-a", "bunbury") == StampVerdict::Visited);
    stamp = sampleStamp();
    stamp.hop = 2;
    CHECK(checkStamp(stamp, "bunbury-a", "bunbury") == StampVerdict::HopLimit);
    stamp.hop = 0;
    CHECK(checkStamp(stamp, "bunbury-a", "bunbury") == StampVerdict::HopLimit);
    stamp = sampleStamp();
    stamp.timeLeft = 0ms;
    CHECK(checkStamp(stamp, "bunbury-a", "bunbury") == StampVerdict::DeadlinePassed);
}

TEST_CASE("two zones that each believe the other empty can't pass a request round")
{
    ForwardStamp stamp = sampleStamp();
    REQUIRE(checkStamp(stamp, "bunbury-a", "bunbury") == StampVerdict::Accepted);
    stamp.visited.push_back("bunbury-a");
    ++stamp.hop;
    CHECK(checkStamp(stamp, "perth-a", "perth") != StampVerdict::Accepted);
    CHECK(checkStamp(stamp, "bunbury-b", "bunbury") != StampVerdict::Accepted);
}
