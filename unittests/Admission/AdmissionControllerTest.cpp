#include "catkinwing/Admission/AdmissionController.h"

#include "RegionFake.h"
#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>

using namespace catkinwing;
using namespace std::chrono_literals;

static bool alwaysCanStart(const QueuedRequest&)
{
    return true;
}

static TeamPolicy limitedTeam(const std::string& name, const TeamLimits& limits)
{
    TeamPolicy policy = teamOf(name, 1);
    policy.limits = limits;
    return policy;
}

/// A controller for teams that each have a class "chat".
struct Fixture {
    explicit Fixture(const std::vector<TeamPolicy>& teams, const AdmissionLimits& limits = {})
        : controller(limits)
    {
        controller.configure(teams, now);
    }

    AdmissionDecision admit(const std::string& team, const std::string& caller = "", Duration timeout = 60s, std::size_t bytes = 0)
    {
        QueuedRequest request = requestOf(team, ++lastId, 100, now, timeout);
        request.caller = caller;
        request.bytes = bytes;
        return controller.admit(request, now);
    }

    AdmissionController controller;
    TimePoint now { 1h };
    RequestId lastId { 0 };
};

static RefusalReason reasonOf(const AdmissionDecision& decision)
{
    REQUIRE(decision.refusal);
    return decision.refusal->reason;
}

TEST_CASE("unknown teams, classes and repeated identifiers are refused")
{
    Fixture fixture({ teamOf("a", 1) });
    CHECK(reasonOf(fixture.admit("b")) == RefusalReason::UnknownTeam);
    QueuedRequest request = requestOf("a", 77, 100, fixture.now, 60s);
    request.requestClass = "none";
    CHECK(reasonOf(fixture.controller.admit(request, fixture.now)) == RefusalReason::UnknownClass);
    request.requestClass = "chat";
    CHECK(fixture.controller.admit(request, fixture.now).admitted());
    CHECK(reasonOf(fixture.controller.admit(request, fixture.now)) == RefusalReason::DuplicateId);
    REQUIRE(fixture.controller.startNext(alwaysCanStart, fixture.now));
    CHECK(reasonOf(fixture.controller.admit(request, fixture.now)) == RefusalReason::DuplicateId);
}

TEST_CASE("a team at its in-flight limit waits while other teams are served")
{
    TeamLimits limits;
    limits.maxInFlight = 2;
    Fixture fixture({ limitedTeam("a", limits), teamOf("b", 1) });
    for (int i = 0; i < 4; ++i)
        CHECK(fixture.admit("a").admitted());
    std::optional<QueuedRequest> first = fixture.controller.startNext(alwaysCanStart, fixture.now);
    CHECK(fixture.controller.startNext(alwaysCanStart, fixture.now));
    CHECK_FALSE(fixture.controller.startNext(alwaysCanStart, fixture.now));
    CHECK(fixture.admit("b").admitted());
    CHECK(fixture.controller.startNext(alwaysCanStart, fixture.now)->team == "b");
    fixture.controller.finish(first->id, 100, fixture.now);
    CHECK(fixture.controller.startNext(alwaysCanStart, fixture.now)->team == "a");
    CHECK(fixture.controller.inFlight() == 3);
}

TEST_CASE("requests over a team's or caller's limit are refused with the reason of that limit")
{
    TeamLimits limits;
    limits.maxQueued = 3;
    limits.requestsPerCaller = 2;
    Fixture fixture({ limitedTeam("a", limits) });
    CHECK(fixture.admit("a", "x").admitted());
    CHECK(fixture.admit("a", "x").admitted());
    CHECK(reasonOf(fixture.admit("a", "x")) == RefusalReason::CallerConcurrency);
    CHECK(fixture.admit("a", "y").admitted());
    CHECK(reasonOf(fixture.admit("a", "y")) == RefusalReason::TeamQueueFull);
    // Requests in flight count towards the caller's limit; requests that ended or were
    // removed don't.
    std::optional<QueuedRequest> started = fixture.controller.startNext(alwaysCanStart, fixture.now);
    CHECK(reasonOf(fixture.admit("a", "x")) == RefusalReason::CallerConcurrency);
    fixture.controller.finish(started->id, 0, fixture.now);
    CHECK(fixture.admit("a", "x").admitted());
    CHECK(fixture.controller.remove(2, fixture.now));
    CHECK_FALSE(fixture.controller.remove(2, fixture.now));
    CHECK(fixture.admit("a", "x").admitted());
}

TEST_CASE("a retry after the reported retry-after time is within the request rate")
{
    TeamLimits limits;
    limits.requestsPerSecond = 3;
    limits.burst = 2;
    Fixture fixture({ limitedTeam("a", limits) });
    CHECK(fixture.admit("a").admitted());
    CHECK(fixture.admit("a").admitted());
    for (int i = 0; i < 50; ++i) {
        AdmissionDecision refused = fixture.admit("a");
        REQUIRE(reasonOf(refused) == RefusalReason::RequestRate);
        fixture.now += *refused.refusal->retryAfter - 1us;
        CHECK(reasonOf(fixture.admit("a")) == RefusalReason::RequestRate);
        fixture.now += 1us;
        REQUIRE(fixture.admit("a").admitted());
        fixture.controller.finish(fixture.controller.startNext(alwaysCanStart, fixture.now)->id, 100, fixture.now);
    }
}

/// Starts and finishes a request of 100 tokens every 100 ms for \p span, as long as
/// requests are queued.
static void serveBacklog(Fixture& fixture, Duration span)
{
    TimePoint end = fixture.now + span;
    while (fixture.now < end) {
        fixture.now += 100ms;
        if (std::optional<QueuedRequest> next = fixture.controller.startNext(alwaysCanStart, fixture.now))
            fixture.controller.finish(next->id, 100, fixture.now);
    }
}

TEST_CASE("a request predicted to be late is refused at once with a retry-after time")
{
    Fixture fixture({ teamOf("a", 1) });
    for (int i = 0; i < 300; ++i)
        CHECK(fixture.admit("a").admitted());
    serveBacklog(fixture, 10s);
    // 200 requests wait and ten are started per second, so the wait is 20 s.
    QueuedRequest probe = requestOf("a", 0, 100, fixture.now, 60s);
    CHECK(std::chrono::duration<double>(*fixture.controller.predictedWait(probe, fixture.now)).count() == Approx(20).epsilon(0.05));
    CHECK(fixture.admit("a", "", 26s).admitted());

    QueuedRequest tightRequest = requestOf("a", 1000, 100, fixture.now, 100s);
    tightRequest.expectedService = 90s;
    AdmissionDecision refused = fixture.controller.admit(tightRequest, fixture.now);
    REQUIRE(reasonOf(refused) == RefusalReason::PredictedLate);
    // The request can wait 10 s, of which a fifth is the safety margin. The allowed 8 s
    // are 12 s less than the predicted wait.
    CHECK(std::chrono::duration<double>(*refused.refusal->retryAfter).count() == Approx(12).epsilon(0.1));
    // The retry-after time is accurate: a retry 200 ms before it is refused, and one
    // 200 ms after it is admitted.
    tightRequest.deadline += *refused.refusal->retryAfter - 200ms;
    serveBacklog(fixture, *refused.refusal->retryAfter - 200ms);
    CHECK(reasonOf(fixture.controller.admit(tightRequest, fixture.now)) == RefusalReason::PredictedLate);
    serveBacklog(fixture, 400ms);
    tightRequest.deadline = fixture.now + 100s;
    CHECK(fixture.controller.admit(tightRequest, fixture.now).admitted());
    serveBacklog(fixture, 10s);
    for (const DroppedRequest& dropped : fixture.controller.expire(fixture.now))
        CHECK(dropped.request.id != tightRequest.id);

    // The request would be late even without a wait, so a retry wouldn't help.
    tightRequest.id = 1001;
    tightRequest.deadline = fixture.now + 80s;
    refused = fixture.controller.admit(tightRequest, fixture.now);
    CHECK(reasonOf(refused) == RefusalReason::PredictedLate);
    CHECK_FALSE(refused.refusal->retryAfter);
}

TEST_CASE("the predicted wait is accurate when cost estimates are wrong")
{
    Fixture fixture({ teamOf("a", 1) });
    for (int i = 0; i < 300; ++i)
        fixture.admit("a");
    // Each request costs three times its estimate; ten per second are started.
    for (int i = 0; i < 100; ++i) {
        fixture.now += 100ms;
        std::optional<QueuedRequest> next = fixture.controller.startNext(alwaysCanStart, fixture.now);
        fixture.controller.finish(next->id, 300, fixture.now);
    }
    QueuedRequest probe = requestOf("a", 0, 100, fixture.now, 60s);
    CHECK(std::chrono::duration<double>(*fixture.controller.predictedWait(probe, fixture.now)).count() == Approx(20).epsilon(0.05));
}

TEST_CASE("when nothing drains, waiting requests expire and new requests are still admitted")
{
    Fixture fixture({ teamOf("a", 1) });
    for (int i = 0; i < 50; ++i)
        CHECK(fixture.admit("a", "", 5s).admitted());
    for (int i = 0; i < 60; ++i) {
        fixture.now += 100ms;
        fixture.controller.startNext([](const QueuedRequest&) { return false; }, fixture.now);
    }
    std::vector<DroppedRequest> dropped = fixture.controller.expire(fixture.now);
    CHECK(dropped.size() == 50);
    CHECK(dropped.front().refusal.reason == RefusalReason::Expired);
    CHECK(fixture.admit("a", "", 5s).admitted());
    CHECK(reasonOf(fixture.admit("a", "", 5s)) == RefusalReason::PredictedLate);
}

TEST_CASE("an expired request is never started")
{
    Fixture fixture({ teamOf("a", 1) });
    CHECK(fixture.admit("a", "", 5s).admitted());
    CHECK(fixture.admit("a", "", 5s).admitted());
    fixture.now += 6s;
    CHECK_FALSE(fixture.controller.startNext(alwaysCanStart, fixture.now));
    // The caller may still disconnect before expire() returns the request.
    CHECK(fixture.controller.remove(1, fixture.now));
    CHECK_FALSE(fixture.controller.remove(1, fixture.now));
    std::vector<DroppedRequest> dropped = fixture.controller.expire(fixture.now);
    REQUIRE(dropped.size() == 1);
    CHECK(dropped[0].request.id == 2);
    CHECK(fixture.controller.expire(fixture.now).empty());
}

TEST_CASE("a full queue evicts the request that ranks lowest")
{
    AdmissionLimits limits;
    limits.maxQueuedRequests = 10;
    limits.maxQueuedBytes = 1000;
    Fixture fixture({ teamOf("greedy", 1), teamOf("b", 1) }, limits);
    for (int i = 0; i < 10; ++i)
        CHECK(fixture.admit("greedy", "x").admitted());
    CHECK(reasonOf(fixture.admit("greedy")) == RefusalReason::QueueFull);
    AdmissionDecision decision = fixture.admit("b");
    REQUIRE(decision.admitted());
    REQUIRE(decision.evicted.size() == 1);
    CHECK(decision.evicted[0].request.team == "greedy");
    CHECK(decision.evicted[0].refusal.reason == RefusalReason::Evicted);
    CHECK(fixture.controller.queued() == 10);

    CHECK(reasonOf(fixture.admit("b", "", 60s, 1001)) == RefusalReason::QueueBytesFull);
    CHECK(fixture.admit("b", "", 60s, 1000).evicted.size() == 1);
    decision = fixture.admit("greedy", "", 60s, 500);
    CHECK(decision.refusal);
}

TEST_CASE("a request that no endpoint accepted is queued again in its position at no charge")
{
    Fixture fixture({ teamOf("a", 1), teamOf("b", 1) });
    CHECK(fixture.admit("a").admitted());
    CHECK(fixture.admit("b").admitted());
    std::optional<QueuedRequest> first = fixture.controller.startNext(alwaysCanStart, fixture.now);
    CHECK(fixture.controller.requeue(first->id, fixture.now));
    CHECK(fixture.controller.inFlight() == 0);
    CHECK(fixture.controller.queued() == 2);
    CHECK(fixture.controller.startNext(alwaysCanStart, fixture.now)->id == first->id);
    fixture.controller.configure({ teamOf("b", 1) }, fixture.now);
    CHECK_FALSE(fixture.controller.requeue(first->id, fixture.now));
}

TEST_CASE("limits follow a configuration change with work queued and in flight")
{
    TeamLimits limits;
    limits.maxInFlight = 1;
    Fixture fixture({ limitedTeam("a", limits), teamOf("gone", 1) });
    for (int i = 0; i < 3; ++i) {
        CHECK(fixture.admit("a", "x").admitted());
        CHECK(fixture.admit("gone", "x").admitted());
    }
    std::optional<QueuedRequest> first = fixture.controller.startNext(alwaysCanStart, fixture.now);
    std::optional<QueuedRequest> second = fixture.controller.startNext(alwaysCanStart, fixture.now);
    CHECK(first->team != second->team);

    std::vector<DroppedRequest> dropped = fixture.controller.configure({ teamOf("a", 1) }, fixture.now);
    CHECK(dropped.size() == 2);
    for (const DroppedRequest& entry : dropped)
        CHECK((entry.request.team == "gone" && entry.refusal.reason == RefusalReason::PolicyRemoved));
    // The limit no longer applies, and a request in flight can finish after its team
    // was removed.
    CHECK(fixture.controller.startNext(alwaysCanStart, fixture.now)->team == "a");
    fixture.controller.finish(first->id, 100, fixture.now);
    fixture.controller.finish(second->id, 100, fixture.now);
    CHECK(fixture.controller.inFlight() == 1);

    // A team that is removed and added again still counts its requests in flight.
    fixture.controller.configure({}, fixture.now);
    fixture.controller.configure({ limitedTeam("a", limits) }, fixture.now);
    CHECK(fixture.admit("a").admitted());
    CHECK_FALSE(fixture.controller.startNext(alwaysCanStart, fixture.now));
}

TEST_CASE("short questions find free slots under a flood of long reviews")
{
    TeamPolicy reviews = teamOf("reviews", 1);
    reviews.classes = { { "review", 1, WorkKind::Long } };
    AdmissionController controller;
    ManualScheduler scheduler;
    Random random(21);
    INFO("seed 21");
    auto now = [&] { return scheduler.clock().now(); };
    controller.configure({ reviews, teamOf("questions", 1) }, now());
    constexpr std::size_t slots = 10;
    controller.setSlots("m", slots);
    RequestId id = 0;
    std::size_t busySlots = 0;
    std::vector<Duration> waits;
    double longBusySeconds = 0;
    std::function<void()> startRequests = [&] {
        while (busySlots < slots) {
            std::optional<QueuedRequest> next = controller.startNext(alwaysCanStart, now());
            if (!next)
                return;
            ++busySlots;
            bool isShort = next->kind == WorkKind::Short;
            if (isShort)
                waits.push_back(now() - next->enqueuedAt);
            else
                longBusySeconds += 60;
            scheduler.callAfter(isShort ? Duration(1s) : Duration(60s), [&, done = *next] {
                --busySlots;
                controller.finish(done.id, done.cost, now());
                startRequests();
            });
        }
    };
    auto step = [&](bool sendQuestions) {
        scheduler.advance(100ms);
        controller.expire(now());
        while (controller.queued() < 20) {
            QueuedRequest review = requestOf("reviews", ++id, 20000, now(), 24h);
            review.requestClass = "review";
            controller.admit(review, now());
        }
        // One question per second on average, at random times.
        if (sendQuestions && random.below(10) == 0)
            controller.admit(requestOf("questions", ++id, 300, now(), 10s), now());
        startRequests();
    };
    // Warm-up of two minutes, not measured: reviews that started before the first
    // question occupy all but one slot until they end after 60 s.
    for (int i = 0; i < 1200; ++i)
        step(true);
    waits.clear();
    for (int i = 0; i < 6000; ++i)
        step(true);
    REQUIRE(waits.size() > 400);
    std::sort(waits.begin(), waits.end());
    CHECK(waits[waits.size() * 99 / 100] <= 1s);

    // Without questions the reservation shrinks to its minimum of one slot.
    for (int i = 0; i < 3000; ++i)
        step(false);
    longBusySeconds = 0;
    for (int i = 0; i < 6000; ++i)
        step(false);
    CHECK(longBusySeconds / 600 == Approx(9).epsilon(0.1));
}

TEST_CASE("under overload teams keep their shares and few requests expire")
{
    Fixture fixture({ teamOf("a", 1), teamOf("b", 2), teamOf("c", 7) });
    ManualScheduler scheduler;
    scheduler.advance(1h);
    Random random(5);
    INFO("seed 5");
    constexpr std::size_t slots = 16;
    std::size_t busySlots = 0;
    std::map<std::string, double> served;
    std::size_t expired = 0;
    std::function<void()> startRequests = [&] {
        while (busySlots < slots) {
            std::optional<QueuedRequest> next = fixture.controller.startNext(alwaysCanStart, fixture.now);
            if (!next)
                return;
            ++busySlots;
            served[next->team] += next->cost;
            // A slot serves 1000 tokens per second; estimates are off by up to half.
            double actual = next->cost * (0.5 + random.unit());
            scheduler.callAfter(std::chrono::ceil<Duration>(std::chrono::duration<double>(actual / 1000)), [&, id = next->id, actual] {
                --busySlots;
                fixture.now = scheduler.clock().now();
                fixture.controller.finish(id, actual, fixture.now);
                startRequests();
            });
        }
    };
    // About three times the capacity: on average 450 requests of 100 tokens per second.
    for (int i = 0; i < 12000; ++i) {
        scheduler.advance(10ms);
        fixture.now = scheduler.clock().now();
        expired += fixture.controller.expire(fixture.now).size();
        for (const char* team : { "a", "b", "c" }) {
            for (std::uint64_t n = random.below(4); n; --n)
                fixture.admit(team, "", 5s);
        }
        startRequests();
    }
    double total = served["a"] + served["b"] + served["c"];
    CHECK(served["a"] / total == Approx(0.1).epsilon(0.05));
    CHECK(served["c"] / total == Approx(0.7).epsilon(0.05));
    CHECK(static_cast<double>(expired) < 0.03 * static_cast<double>(fixture.lastId));
}
