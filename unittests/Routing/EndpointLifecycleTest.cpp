#include "catkinwing/Routing/EndpointLifecycle.h"

#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

static const TimePoint start { 1h };
static constexpr LifecycleSource fromEndpoint = LifecycleSource::Endpoint;
static constexpr LifecycleSource fromList = LifecycleSource::InstanceList;
static constexpr LifecycleSource fromPeer = LifecycleSource::Peer;

TEST_CASE("the first report that an incarnation is leaving takes effect, from any source")
{
    for (LifecycleSource source : { fromEndpoint, fromList, fromPeer }) {
        EndpointLifecycle lifecycle;
        CHECK(lifecycle.record({ "e", "a", fromList, false }, start) == LifecycleChange::Started);
        CHECK(lifecycle.acceptsRequests("e"));
        CHECK(lifecycle.record({ "e", "a", source, true }, start + 1s) == LifecycleChange::Leaving);
        CHECK_FALSE(lifecycle.acceptsRequests("e"));
        CHECK(lifecycle.record({ "e", "a", fromEndpoint, true }, start + 2s) == LifecycleChange::None);
        CHECK(lifecycle.status("e")->leavingSource == source);
        CHECK(lifecycle.status("e")->leavingSince == start + 1s);
    }
}

TEST_CASE("no later report makes a leaving incarnation live again")
{
    EndpointLifecycle lifecycle;
    lifecycle.record({ "e", "a", fromEndpoint, false }, start);
    lifecycle.record({ "e", "a", fromList, true }, start + 1s);
    for (LifecycleSource source : { fromList, fromPeer, fromEndpoint }) {
        CHECK(lifecycle.record({ "e", "a", source, false }, start + 2s) == LifecycleChange::None);
        CHECK_FALSE(lifecycle.acceptsRequests("e"));
    }
}

TEST_CASE("a new incarnation starts as live, and reports of other sources don't restore the old one")
{
    EndpointLifecycle lifecycle;
    lifecycle.record({ "e", "a", fromEndpoint, false }, start);
    lifecycle.record({ "e", "a", fromEndpoint, true }, start + 1s);
    CHECK(lifecycle.record({ "e", "b", fromList, false }, start + 5s) == LifecycleChange::Started);
    CHECK(lifecycle.acceptsRequests("e"));
    CHECK(lifecycle.status("e")->startedAt == start + 5s);
    CHECK(lifecycle.record({ "e", "a", fromList, true }, start + 6s) == LifecycleChange::None);
    CHECK(lifecycle.record({ "e", "a", fromPeer, false }, start + 6s) == LifecycleChange::None);
    CHECK(lifecycle.status("e")->incarnation == "b");
    CHECK(lifecycle.acceptsRequests("e"));
}

TEST_CASE("a replaced incarnation that answers again is still leaving")
{
    EndpointLifecycle lifecycle;
    lifecycle.record({ "e", "a", fromEndpoint, true }, start);
    lifecycle.record({ "e", "b", fromList, false }, start + 1s);
    CHECK(lifecycle.record({ "e", "a", fromEndpoint, false }, start + 2s) == LifecycleChange::Started);
    CHECK_FALSE(lifecycle.acceptsRequests("e"));
    CHECK(lifecycle.status("e")->leavingSince == start);
}

TEST_CASE("an unconfirmed report of another incarnation doesn't replace a live one that answers")
{
    EndpointLifecycle lifecycle;
    lifecycle.record({ "e", "b", fromEndpoint, false }, start);
    CHECK(lifecycle.record({ "e", "a", fromList, true }, start + 1s) == LifecycleChange::None);
    CHECK(lifecycle.acceptsRequests("e"));
    CHECK(lifecycle.record({ "e", "c", fromEndpoint, false }, start + 2s) == LifecycleChange::Started);
    lifecycle.remove("e");
    CHECK_FALSE(lifecycle.acceptsRequests("e"));
    CHECK(lifecycle.status("e") == nullptr);
}
