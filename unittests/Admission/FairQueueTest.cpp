#include "catkinwing/Admission/FairQueue.h"

#include "RegionFake.h"
#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>

using namespace catkinwing;
using namespace std::chrono_literals;

static bool alwaysCanStart(const QueuedRequest&)
{
    return true;
}

static QueuedRequest requestFor(const std::string& model, const std::string& team, RequestId id, TimePoint deadline)
{
    QueuedRequest request = requestOf(team, id, 100, deadline, 0s);
    request.model = model;
    return request;
}

TEST_CASE("backlogged teams are served by their weights")
{
    for (std::uint64_t seed : { 1, 2, 3 }) {
        INFO("seed " << seed);
        RegionFake region({ { "d" } }, { teamOf("a", 1), teamOf("b", 2), teamOf("c", 7) }, seed);
        region.setMeanCost("a", 3000);
        for (const char* team : { "a", "b", "c" })
            region.setBacklogged(team, "d", true);
        // The first team occupied all slots before the other teams had requests.
        region.run(10s);
        region.resetServed();
        region.run(300s);
        double total = region.served("a") + region.served("b") + region.served("c");
        CHECK(region.served("a") / total == Approx(0.1).epsilon(0.05));
        CHECK(region.served("b") / total == Approx(0.2).epsilon(0.05));
        CHECK(region.served("c") / total == Approx(0.7).epsilon(0.05));
    }
}

TEST_CASE("a flooding team uses idle shares and loses them within seconds when they are claimed")
{
    RegionFake region({ { "d" } }, { teamOf("flood", 1), teamOf("quiet", 3) }, 4);
    region.setBacklogged("flood", "d", true);
    region.run(60s);
    CHECK(region.served("flood") == Approx(60 * 8000).epsilon(0.05));

    region.setBacklogged("quiet", "d", true);
    region.resetServed();
    region.run(5s);
    double total = region.served("flood") + region.served("quiet");
    CHECK(region.served("quiet") / total > 0.75 * 0.9);
    region.resetServed();
    region.run(30s);
    total = region.served("flood") + region.served("quiet");
    CHECK(region.served("quiet") / total == Approx(0.75).epsilon(0.05));
}

TEST_CASE("an idle team is not compensated for its idle time")
{
    RegionFake region({ { "d" } }, { teamOf("busy", 1), teamOf("idle", 1) }, 5);
    region.setBacklogged("busy", "d", true);
    region.setBacklogged("idle", "d", true);
    region.run(10s);
    region.setBacklogged("idle", "d", false);
    region.run(600s);
    region.setBacklogged("idle", "d", true);
    region.resetServed();
    region.run(30s);
    double total = region.served("busy") + region.served("idle");
    CHECK(region.served("busy") / total == Approx(0.5).epsilon(0.05));
}

TEST_CASE("within a class the earliest deadline goes first")
{
    FairQueue queue;
    TimePoint now {};
    queue.configure({ teamOf("a", 1) }, now);
    queue.enqueue(requestOf("a", 1, 100, now, 30s), now);
    queue.enqueue(requestOf("a", 2, 100, now, 10s), now);
    queue.enqueue(requestOf("a", 3, 100, now, 20s), now);
    std::vector<RequestId> order;
    while (std::optional<QueuedRequest> next = queue.pickNext(alwaysCanStart, now))
        order.push_back(next->id);
    CHECK(order == std::vector<RequestId> { 2, 3, 1 });
}

TEST_CASE("a blocked model doesn't block others")
{
    FairQueue queue;
    TimePoint now {};
    queue.configure({ teamOf("a", 1), teamOf("b", 1) }, now);
    for (const char* pool : { "", "shared" }) {
        QueuedRequest blocked = requestFor("full", "a", 1, now + 1s);
        QueuedRequest sameTeam = requestFor("free", "a", 2, now + 9s);
        QueuedRequest otherTeam = requestFor("free", "b", 3, now + 9s);
        for (QueuedRequest* request : { &blocked, &sameTeam, &otherTeam }) {
            request->pool = pool;
            REQUIRE(queue.enqueue(*request, now));
        }
        auto notFull = [](const QueuedRequest& request) { return request.model != "full"; };
        std::optional<QueuedRequest> first = queue.pickNext(notFull, now);
        std::optional<QueuedRequest> second = queue.pickNext(notFull, now);
        REQUIRE((first && second));
        CHECK(first->id + second->id == 5);
        CHECK_FALSE(queue.pickNext(notFull, now));
        CHECK(queue.pickNext(alwaysCanStart, now)->id == 1);
    }
}

TEST_CASE("classes of a team are served by their weights and none starves")
{
    FairQueue queue;
    TimePoint now {};
    TeamPolicy team = teamOf("a", 1);
    team.classes = { { "question", 3, WorkKind::Short }, { "review", 1, WorkKind::Long } };
    queue.configure({ team }, now);
    RequestId id = 0;
    auto add = [&](const char* requestClass, double cost) {
        QueuedRequest request = requestOf("a", ++id, cost, now, 1h);
        request.requestClass = requestClass;
        REQUIRE(queue.enqueue(request, now));
    };
    double question = 0;
    double review = 0;
    for (int i = 0; i < 4000; ++i) {
        while (queue.waiting("m", WorkKind::Short) < 4)
            add("question", 100);
        while (queue.waiting("m", WorkKind::Long) < 4)
            add("review", 5000);
        std::optional<QueuedRequest> next = queue.pickNext(alwaysCanStart, now);
        (next->kind == WorkKind::Short ? question : review) += next->cost;
    }
    CHECK(question / review == Approx(3).epsilon(0.05));
}

TEST_CASE("a team that couldn't start is compensated for no more than the max compensation time")
{
    SharePolicy policy;
    FairQueue queue(policy);
    TimePoint now {};
    queue.configure({ teamOf("stuck", 1), teamOf("free", 1) }, now);
    RequestId id = 0;
    auto add = [&](const char* team, const char* model) {
        QueuedRequest request = requestFor(model, team, ++id, now + 24h);
        request.pool = "pool";
        queue.enqueue(request, now);
    };
    for (int i = 0; i < 2000; ++i)
        add("stuck", "full");
    // Ten requests of 100 tokens per second for ten minutes.
    for (int i = 0; i < 6000; ++i) {
        add("free", "open");
        now += 100ms;
        queue.pickNext([](const QueuedRequest& request) { return request.model == "open"; }, now);
        queue.refreshShares(now);
    }
    add("free", "open");
    int stuckBeforeFree = 0;
    while (queue.pickNext(alwaysCanStart, now)->team == "stuck")
        ++stuckBeforeFree;
    CHECK(stuckBeforeFree >= 45);
    CHECK(stuckBeforeFree <= 55);
}

TEST_CASE("settling charges the actual cost of a request")
{
    FairQueue queue;
    TimePoint now {};
    queue.configure({ teamOf("low", 1), teamOf("true", 1) }, now);
    RequestId id = 0;
    std::map<std::string, double> actual;
    for (int i = 0; i < 3000; ++i) {
        for (const char* team : { "low", "true" }) {
            while (queue.teamSize(team) < 2)
                queue.enqueue(requestOf(team, ++id, 100, now, 1h), now);
        }
        std::optional<QueuedRequest> next = queue.pickNext(alwaysCanStart, now);
        // The estimates of one team are too low by a factor of four.
        double cost = next->team == "low" ? 400 : 100;
        queue.settle(*next, cost, now);
        actual[next->team] += cost;
    }
    CHECK(actual["low"] / actual["true"] == Approx(1).epsilon(0.01));
}

TEST_CASE("a request that can't meet its deadline expires at once")
{
    FairQueue queue;
    TimePoint now {};
    queue.configure({ teamOf("a", 1) }, now);
    QueuedRequest request = requestOf("a", 1, 100, now, 10s);
    request.expectedService = 4s;
    queue.enqueue(request, now);
    queue.enqueue(requestOf("a", 2, 100, now, 10s), now);
    CHECK(queue.expire(now + 6s).empty());
    std::vector<QueuedRequest> late = queue.expire(now + 6s + 1ns);
    REQUIRE(late.size() == 1);
    CHECK(late[0].id == 1);
    CHECK(queue.remove(2, now)->id == 2);
    CHECK_FALSE(queue.remove(2, now));
    CHECK(queue.size() == 0);
}

TEST_CASE("eviction removes a request of the team that holds the most bytes per weight")
{
    FairQueue queue;
    TimePoint now {};
    queue.configure({ teamOf("heavy", 8), teamOf("greedy", 1), teamOf("newcomer", 1) }, now);
    for (RequestId id = 1; id <= 8; ++id)
        queue.enqueue(requestOf("heavy", id, 100, now, 10s), now);
    for (RequestId id = 11; id <= 13; ++id)
        queue.enqueue(requestOf("greedy", id, 100, now, std::chrono::seconds(id)), now);
    // Evicts the latest request of the team with 3 requests and weight 1, not of the
    // team with 8 requests and weight 8.
    CHECK(queue.evictFor(requestOf("newcomer", 20, 100, now, 10s), now)->id == 13);
    // A new request of the greedy team ranks lowest itself, unless it is due earlier
    // than the team's queued requests.
    CHECK_FALSE(queue.evictFor(requestOf("greedy", 21, 100, now, 60s), now));
    CHECK(queue.evictFor(requestOf("greedy", 22, 100, now, 1s), now)->id == 12);
}

TEST_CASE("a configuration change updates weights and returns the requests of removed teams and classes")
{
    FairQueue queue;
    TimePoint now {};
    TeamPolicy team = teamOf("a", 1);
    team.classes.push_back({ "old", 1, WorkKind::Long });
    queue.configure({ team, teamOf("b", 1), teamOf("gone", 1) }, now);
    for (RequestId id = 10; id < 2000; ++id)
        queue.enqueue(requestOf(id % 2 ? "a" : "b", id, 100, now, 1h), now);
    for (int i = 0; i < 100; ++i)
        queue.pickNext(alwaysCanStart, now);
    QueuedRequest old = requestOf("a", 1, 100, now, 1h);
    old.requestClass = "old";
    queue.enqueue(old, now);
    queue.enqueue(requestOf("gone", 2, 100, now, 1h), now);

    std::vector<QueuedRequest> orphans = queue.configure({ teamOf("a", 4), teamOf("b", 1), teamOf("new", 1) }, now);
    REQUIRE(orphans.size() == 2);
    CHECK(orphans[0].id == 1);
    CHECK(orphans[1].id == 2);
    CHECK_FALSE(queue.enqueue(requestOf("gone", 3, 100, now, 1h), now));
    CHECK(queue.enqueue(requestOf("new", 4, 100, now, 1h), now));

    int servedA = 0;
    for (int i = 0; i < 500; ++i)
        servedA += queue.pickNext(alwaysCanStart, now)->team == "a" ? 1 : 0;
    CHECK(servedA == Approx(400).margin(10));
}

TEST_CASE("every request leaves the queue once and the sizes add up")
{
    for (std::uint64_t seed : { 11, 12, 13, 14, 15 }) {
        INFO("seed " << seed);
        Random random(seed);
        FairQueue queue;
        TimePoint now {};
        std::vector<TeamPolicy> teams { teamOf("a", 1), teamOf("b", 2), teamOf("c", 7) };
        queue.configure(teams, now);
        std::map<RequestId, std::size_t> expectedBytes;
        auto removeExpected = [&](const QueuedRequest& request) { REQUIRE(expectedBytes.erase(request.id) == 1); };
        for (RequestId id = 1; id < 4000; ++id) {
            now += std::chrono::milliseconds(random.below(200));
            QueuedRequest request = requestOf(teams[random.below(3)].name, id, 1 + static_cast<double>(random.below(5000)), now, std::chrono::milliseconds(random.below(40000)));
            request.model = random.below(2) ? "m" : "n";
            request.pool = random.below(2) ? "m" : "";
            request.bytes = random.below(1000);
            expectedBytes[id] = request.bytes;
            queue.enqueue(request, now);
            std::uint64_t blocked = random.below(3);
            auto canStart = [&](const QueuedRequest& candidate) { return candidate.model != (blocked == 0 ? "m" : blocked == 1 ? "n"
                                                                                                                               : "-"); };
            if (std::optional<QueuedRequest> next = queue.pickNext(canStart, now)) {
                CHECK(canStart(*next));
                removeExpected(*next);
                queue.settle(*next, static_cast<double>(random.below(9000)), now);
            }
            if (random.below(4) == 0) {
                if (std::optional<QueuedRequest> removed = queue.remove(1 + random.below(id), now))
                    removeExpected(*removed);
            }
            if (random.below(10) == 0) {
                for (const QueuedRequest& late : queue.expire(now))
                    removeExpected(late);
            }
            if (random.below(50) == 0)
                queue.setTeamPaused("b", random.below(2) == 0);
            if (random.below(100) == 0) {
                queue.refreshShares(now);
                for (const QueuedRequest& orphan : queue.configure({ teams[0], teams[2] }, now))
                    removeExpected(orphan);
                queue.configure(teams, now);
            }
            std::size_t bytes = 0;
            for (const auto& [known, size] : expectedBytes)
                bytes += size;
            REQUIRE(queue.size() == expectedBytes.size());
            REQUIRE(queue.bytes() == bytes);
        }
        queue.setTeamPaused("b", false);
        while (std::optional<QueuedRequest> next = queue.pickNext(alwaysCanStart, now))
            removeExpected(*next);
        CHECK(expectedBytes.empty());
    }
}

TEST_CASE("shares hold after a month of service")
{
    FairQueue queue;
    TimePoint now {};
    queue.configure({ teamOf("a", 1e-3), teamOf("b", 3e-3) }, now);
    RequestId id = 0;
    // Each request stands for ten minutes of service at 100,000 tokens per second.
    for (int i = 0; i < 30 * 24 * 6; ++i) {
        now += 10min;
        for (const char* team : { "a", "b" }) {
            while (queue.teamSize(team) < 3)
                queue.enqueue(requestOf(team, ++id, 6e7, now, 1000h), now);
        }
        queue.pickNext(alwaysCanStart, now);
        queue.refreshShares(now);
    }
    int servedA = 0;
    for (int i = 0; i < 4000; ++i) {
        for (const char* team : { "a", "b" }) {
            while (queue.teamSize(team) < 3)
                queue.enqueue(requestOf(team, ++id, 6e7, now, 1000h), now);
        }
        servedA += queue.pickNext(alwaysCanStart, now)->team == "a" ? 1 : 0;
    }
    CHECK(servedA == Approx(1000).margin(10));
}

TEST_CASE("the reported service counter never decreases")
{
    FairQueue queue;
    TimePoint now {};
    queue.configure({ teamOf("a", 1) }, now);
    RequestId id = 0;
    std::uint64_t reported = 0;
    auto serve = [&](double actual) {
        queue.enqueue(requestOf("a", ++id, 100, now, 1h), now);
        queue.settle(*queue.pickNext(alwaysCanStart, now), actual, now);
        std::vector<ServiceCounter> counters = queue.servedCounters();
        REQUIRE(counters.size() == 1);
        CHECK(counters[0].tokens >= reported);
        reported = counters[0].tokens;
    };
    serve(100);
    serve(0);
    serve(20);
    CHECK(reported == 200);
    queue.configure({}, now);
    queue.configure({ teamOf("a", 1) }, now);
    serve(400);
    CHECK(reported == 600);
}
