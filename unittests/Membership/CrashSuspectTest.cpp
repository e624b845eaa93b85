#include "catkinwing/Membership/CrashSuspect.h"

#include <catch2/catch.hpp>
#include <string>

using namespace catkinwing;

static RequestFingerprint request(unsigned char number)
{
    RequestFingerprint fingerprint;
    fingerprint.bytes.fill(number);
    return fingerprint;
}

TEST_CASE("the kind of a suspect is part of its name")
{
    SuspectId segment = suspectId(SuspectKind::PromptSegment, "5c1e07a2");
    CHECK(kindOf(segment) == SuspectKind::PromptSegment);
    CHECK(kindOf(request(7)) == SuspectKind::Request);
    CHECK(kindOf(request(0)) == SuspectKind::Request);
    CHECK(segment == suspectId(SuspectKind::PromptSegment, "5c1e07a2"));
    CHECK(segment != suspectId(SuspectKind::PromptSegment, "5c1e07a3"));
}

// Guards against refusing a session for what one of its requests did.
TEST_CASE("the suspects of a request are the request and its segments but the last, each once")
{
    RequestSuspects suspects = requestSuspects(request(1), { "a", "b", "a", "own" });
    REQUIRE(suspects.size() == 3);
    CHECK(suspects[0] == request(1));
    CHECK(suspects[1] == suspectId(SuspectKind::PromptSegment, "a"));
    CHECK(suspects[2] == suspectId(SuspectKind::PromptSegment, "b"));
    CHECK(requestSuspects(request(1), { "own" }).size() == 1);
    CHECK(requestSuspects(request(1), {}).size() == 1);
}

TEST_CASE("the number of suspects of a request is bounded for a prompt of a thousand segments")
{
    std::vector<std::string> names(1'000);
    for (std::size_t i = 0; i < names.size(); ++i)
        names[i] = std::to_string(i);
    CHECK(requestSuspects(request(1), { names.begin(), names.end() }).size() == maxSegmentSuspects + 1);
}
