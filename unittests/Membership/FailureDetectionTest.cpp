#include "catkinwing/Membership/FailureDetection.h"

#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

TEST_CASE("the exchange interval grows only in large zones")
{
    MembershipOptions options;
    CHECK(exchangeInterval(options, 0) == options.heartbeatInterval);
    CHECK(exchangeInterval(options, 2) == options.heartbeatInterval);
    CHECK(exchangeInterval(options, 8) == 8 * options.spacingPerMember);
}

TEST_CASE("silence makes a member suspect, then dead")
{
    MembershipOptions options;
    CHECK(stateAfterSilence(options, 0s, 1s) == MemberState::Live);
    CHECK(stateAfterSilence(options, 6s, 3s) == MemberState::Live);
    CHECK(stateAfterSilence(options, 6001ms, 3s) == MemberState::Suspect);
    CHECK(stateAfterSilence(options, 12s, 3s) == MemberState::Suspect);
    CHECK(stateAfterSilence(options, 12001ms, 3s) == MemberState::Dead);
}

TEST_CASE("at short exchange intervals the minimum times until suspect and dead apply")
{
    MembershipOptions options;
    CHECK(stateAfterSilence(options, options.minSuspectAfter, 1s) == MemberState::Live);
    CHECK(stateAfterSilence(options, options.minDeadAfter, 1s) == MemberState::Suspect);
    CHECK(stateAfterSilence(options, options.minDeadAfter + 1ms, 1s) == MemberState::Dead);
}

TEST_CASE("the probe interval doubles up to the maximum")
{
    MembershipOptions options;
    CHECK(nextProbeInterval(options, 2s) == 4s);
    CHECK(nextProbeInterval(options, 9s) == options.maxProbeInterval);
    CHECK(nextProbeInterval(options, 0s) == options.probeInterval);
}
