#include "catkinwing/Ingress/EndpointTable.h"

#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

namespace {

/// A table with a service whose cold endpoints sustain ten requests per second.
struct TableWorld {
    TableWorld()
    {
        table.setEntriesOfRegion({ "self" }, "self");
        service.name = "service";
        service.coldRequestsPerSecond = 10;
        service.warmup = 3s;
        service.maxConnections = 12;
    }

    void put(const std::string& incarnation, bool isLeaving = false, std::chrono::milliseconds coldFor = 0ms)
    {
        EndpointRecord record;
        record.incarnation = incarnation;
        record.service = service.name;
        record.address = { "127.0.0.1", 1 };
        record.availabilityZone = "north-a";
        record.isLeaving = isLeaving;
        record.coldFor = coldFor;
        table.put(std::move(record), now);
    }

    /// Registers a start of an endpoint that began at \p startedAt.
    void putStart(const std::string& incarnation, std::chrono::milliseconds startedAt, bool isLeaving = false)
    {
        EndpointRecord record;
        record.incarnation = incarnation;
        record.startedAt = startedAt;
        record.service = service.name;
        record.address = { "127.0.0.1", 1 };
        record.availabilityZone = "north-a";
        record.isLeaving = isLeaving;
        table.put(std::move(record), now);
    }

    std::shared_ptr<RoutedEndpoint> choose()
    {
        EndpointRequest request;
        request.service = &service;
        request.tried = &tried;
        return table.choose(request, now, random);
    }

    ServiceSettings service;
    std::vector<std::string> tried;
    Random random { 3 };
    TimePoint now { 100s };
    EndpointTable table { "north", { { "north-a", "north" }, { "south-a", "south" } } };
};

} // namespace

TEST_CASE("an endpoint that is leaving stays so, even if a later registration states otherwise")
{
    TableWorld world;
    world.put("e1", true);
    CHECK_FALSE(world.choose());
    world.put("e1", false);
    CHECK_FALSE(world.choose());
}

TEST_CASE("a later start under the same name is a new endpoint without recorded state")
{
    TableWorld world;
    world.putStart("e1", 1'000ms);
    std::shared_ptr<RoutedEndpoint> before = world.choose();
    REQUIRE(before);
    world.table.noteBegan(*before, world.now);
    CHECK(world.table.tokensToRead(*before, 20'000, 13'000, "part", world.now) == 20'000);
    CHECK(world.table.tokensToRead(*before, 20'000, 13'000, "part", world.now) == 7'000);
    CHECK(world.table.waitForHolder(world.service, "part", world.now));
    world.table.noteEnded(*before, true, world.now);
    world.putStart("e1", 1'000ms, true);
    CHECK_FALSE(world.choose());
    world.putStart("e1", 2'000ms);
    std::shared_ptr<RoutedEndpoint> after = world.choose();
    REQUIRE(after);
    CHECK(after != before);
    CHECK(after->hash != before->hash);
    CHECK(after->inFlight == 0);
    CHECK(after->failureShare == 0);
    CHECK_FALSE(world.table.waitForHolder(world.service, "part", world.now));
    CHECK(before->isLeaving);
}

TEST_CASE("a registration of an earlier start is ignored, both while the later start is registered and after its removal")
{
    TableWorld world;
    world.putStart("e1", 2'000ms);
    world.putStart("e1", 1'000ms, true);
    CHECK(world.choose());
    world.table.remove("e1", world.now);
    world.putStart("e1", 1'000ms);
    CHECK_FALSE(world.choose());
    world.putStart("e1", 3'000ms);
    CHECK(world.choose());
}

TEST_CASE("a registration without a start time applies to the known start")
{
    TableWorld world;
    world.putStart("e1", 2'000ms);
    world.put("e1", true);
    CHECK_FALSE(world.choose());
    world.putStart("e1", 2'000ms);
    CHECK_FALSE(world.choose());
    world.putStart("e1", 2'001ms);
    CHECK(world.choose());
}

TEST_CASE("a registration that can't be parsed excludes only its own endpoint until a valid one arrives")
{
    TableWorld world;
    world.put("e1");
    world.table.noteUnreadable("e1");
    world.table.noteUnreadable("never seen");
    CHECK_FALSE(world.choose());
    CHECK(world.table.usableByRegion("service", world.now).empty());
    world.put("e2");
    CHECK(world.choose()->record.incarnation == "e2");
    world.table.remove("e2", world.now);
    world.put("e1");
    CHECK(world.choose());
}

TEST_CASE("an endpoint that changes its service is no longer chosen for the old service")
{
    TableWorld world;
    world.put("e1");
    world.service.name = "other";
    world.put("e1");
    CHECK(world.choose());
    world.service.name = "service";
    CHECK_FALSE(world.choose());
}

TEST_CASE("a missing endpoint is chosen until removeMissing() removes it")
{
    TableWorld world;
    world.put("e1");
    world.table.noteMissing("e1");
    CHECK(world.choose());
    world.now += 2s;
    CHECK(world.choose());
    world.put("e1");
    world.table.removeMissing(world.now);
    CHECK(world.choose());
    world.table.noteMissing("e1");
    world.table.removeMissing(world.now);
    CHECK_FALSE(world.choose());
    CHECK(world.table.size() == 0);
}

// Each entry has a table of its own, and all tables run over the same time.
TEST_CASE("the entries of a region together keep within the rate of a cold endpoint and use most of it")
{
    for (std::size_t entries : { 1u, 2u, 3u, 8u, 40u }) {
        std::vector<std::string> names;
        for (std::size_t i = 0; i < entries; ++i)
            names.push_back("entry-" + std::to_string(i));
        std::vector<std::unique_ptr<TableWorld>> worlds;
        for (const std::string& name : names) {
            worlds.push_back(std::make_unique<TableWorld>());
            worlds.back()->put("e1", false, 60s);
            worlds.back()->table.setEntriesOfRegion(names, name);
        }
        std::vector<TimePoint> taken;
        for (int i = 0; i < 20'000; ++i) {
            for (auto& world : worlds) {
                world->now += 1ms;
                if (world->choose())
                    taken.push_back(world->now);
            }
        }
        std::size_t most = 0;
        for (std::size_t begin = 0, end = 0; end < taken.size(); ++end) {
            while (taken[end] - taken[begin] >= 1s)
                ++begin;
            most = std::max(most, end - begin + 1);
        }
        CAPTURE(entries);
        CHECK(most <= 10 * 1.5 + 3);
        CHECK(taken.size() > 20 * 10 * 0.7);
    }
}

TEST_CASE("endpoints of an evacuated zone get no requests and are cold after the evacuation")
{
    TableWorld world;
    world.put("e1");
    RouteTable routes(1, {}, { world.service }, {});
    world.table.setEvacuated({ "north-a" }, &routes, world.now);
    CHECK_FALSE(world.choose());
    CHECK(world.table.usableByRegion("service", world.now).empty());
    world.table.setEvacuated({}, &routes, world.now);
    CHECK(world.choose());
    CHECK_FALSE(world.choose());
    world.now += 3s;
    CHECK(world.choose());
    CHECK(world.choose());
}

TEST_CASE("the maximum number of connections to an endpoint is divided among the entries")
{
    TableWorld world;
    world.put("e1");
    world.table.setEntriesOfRegion({ "self", "a", "b" }, "self");
    for (int i = 0; i < 4; ++i) {
        auto endpoint = world.choose();
        REQUIRE(endpoint);
        world.table.noteBegan(*endpoint, world.now);
    }
    CHECK_FALSE(world.choose());
}

TEST_CASE("an endpoint isn't chosen for a moment after one failure, and for seconds after frequent failures")
{
    TableWorld world;
    world.put("e1");
    world.put("e2");
    auto failing = world.choose();
    auto end = [&](bool isFailure) {
        world.table.noteBegan(*failing, world.now);
        world.table.noteEnded(*failing, isFailure, world.now);
    };
    auto isChosen = [&] {
        for (int i = 0; i < 50; ++i) {
            if (world.choose() == failing)
                return true;
        }
        return false;
    };
    end(true);
    CHECK_FALSE(isChosen());
    world.now += 400ms;
    CHECK(isChosen());
    for (int i = 0; i < 6; ++i)
        end(i % 2 == 0);
    world.now += 400ms;
    CHECK_FALSE(isChosen());
    world.now += 6s;
    CHECK(isChosen());
}

TEST_CASE("a failing endpoint is still chosen if there is no other")
{
    TableWorld world;
    world.put("e1");
    auto failing = world.choose();
    for (int i = 0; i < 20; ++i) {
        world.table.noteBegan(*failing, world.now);
        world.table.noteEnded(*failing, true, world.now);
    }
    CHECK(world.choose() == failing);
}

TEST_CASE("an endpoint with requests in flight that sends nothing is suspect until it sends something")
{
    TableWorld world;
    world.put("e1");
    world.put("e2");
    auto silent = world.choose();
    world.table.noteBegan(*silent, world.now);
    world.now += 1'100ms;
    for (int i = 0; i < 50; ++i)
        CHECK(world.choose() != silent);
    REQUIRE(world.table.ownLoads(world.now).size() == 1);
    CHECK(world.table.ownLoads(world.now)[0].suspicions == 1);
    world.table.noteHeard(*silent, world.now);
    CHECK(world.table.ownLoads(world.now)[0].suspicions == 0);
    world.now += 1'100ms;
    world.table.noteEnded(*silent, false, world.now);
    CHECK(world.table.ownLoads(world.now).empty());
}

TEST_CASE("an endpoint that most of its users suspect isn't chosen")
{
    TableWorld world;
    world.put("e1");
    world.put("e2");
    auto suspected = world.choose();
    world.table.peerLoads().take({ "third", 1, { { suspected->hash, 0, 0, 0 } } }, world.now);
    world.table.peerLoads().take({ "other", 1, { { suspected->hash, 0, 0, 1 } } }, world.now);
    bool isStillUsed = false;
    for (int i = 0; i < 200; ++i)
        isStillUsed = isStillUsed || world.choose() == suspected;
    CHECK(isStillUsed);
    world.table.peerLoads().take({ "third", 2, { { suspected->hash, 4, 0, 1 } } }, world.now);
    for (int i = 0; i < 50; ++i)
        CHECK(world.choose() != suspected);
    world.table.peerLoads().take({ "other", 2, {} }, world.now);
    world.table.peerLoads().take({ "third", 3, {} }, world.now);
    bool isBack = false;
    for (int i = 0; i < 50; ++i)
        isBack = isBack || world.choose() == suspected;
    CHECK(isBack);
}

// In a region of a hundred entries, a shared segment is usually sent by another entry each time.
TEST_CASE("a request goes to the endpoint to which another entry has sent its shared segment")
{
    TableWorld world;
    for (int i = 0; i < 40; ++i)
        world.put("e" + std::to_string(i));
    EndpointRequest request;
    request.service = &world.service;
    request.tried = &world.tried;
    request.sharedPart = "part";
    request.sharedTokens = 13'000;
    std::shared_ptr<RoutedEndpoint> owner = world.table.choose(request, world.now, world.random);
    std::shared_ptr<RoutedEndpoint> holder = world.choose();
    REQUIRE(holder != owner);
    world.table.takePartsSent({ { holder->hash, partHash("part"), 17 } }, world.now);
    CHECK(world.table.choose(request, world.now, world.random) == holder);
    CHECK(world.table.tokensToRead(*holder, 17'000, 13'000, "part", world.now) == 4'000);
    std::vector<PartSent> told = world.table.partsSent();
    REQUIRE(told.size() == 1);
    CHECK(told[0].place == holder->hash);
    CHECK(told[0].kilotokens == 4);
    CHECK(world.table.partsSent().empty());
    world.table.noteNotRead(*holder, "part");
    CHECK(world.table.choose(request, world.now, world.random) == owner);
}

TEST_CASE("a shared segment is routed to the region to which it was sent last")
{
    TableWorld world;
    world.put("here");
    EndpointRecord away;
    away.incarnation = "away";
    away.service = world.service.name;
    away.availabilityZone = "south-a";
    world.table.put(away, world.now);
    for (const char* part : { "a", "b", "c", "d", "e", "f" }) {
        world.table.noteSentToRegion("south", part, world.now);
        CHECK(world.table.regionOfPart("service", part, {}, world.now) == "south");
        CHECK(world.table.regionOfPart("service", part, { "north" }, world.now) == "north");
        world.table.takePartsSent({ { 12'345, partHash(part), 17 } }, world.now);
        CHECK(world.table.regionOfPart("service", part, {}, world.now) == "north");
    }
    world.table.remove("away", world.now);
    world.table.noteSentToRegion("south", "a", world.now);
    CHECK(world.table.regionOfPart("service", "a", {}, world.now) == "north");
}
