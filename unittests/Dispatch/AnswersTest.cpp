#include "catkinwing/Dispatch/Answers.h"

#include <catch2/catch.hpp>

using namespace catkinwing;

static ClaimId claimId(std::uint64_t serial)
{
    return { "a", 1, serial };
}

TEST_CASE("joiners get the whole answer and repeats find it")
{
    FinishedAnswers finished(10'000);
    RunningAnswers running(finished, {});
    running.begin(claimId(1));
    running.append(claimId(1), "one ");
    std::vector<JoinedAnswer> joined;
    CHECK(running.join(claimId(1), [&](const JoinedAnswer& answer) { joined.push_back(answer); }) != 0);
    running.append(claimId(1), "two");
    CHECK(joined.empty());
    running.finish(claimId(1), Outcome::Completed);
    REQUIRE(joined.size() == 1);
    CHECK(joined[0].outcome == Outcome::Completed);
    CHECK(joined[0].answer->body == "one two");
    REQUIRE(finished.find(claimId(1)));
    CHECK(finished.find(claimId(1))->body == "one two");
    CHECK(running.bytes() == 0);
    CHECK(running.join(claimId(1), [](const JoinedAnswer&) {}) == 0);
}

TEST_CASE("an answer that isn't whole is never given")
{
    FinishedAnswers finished(10'000);
    RunningAnswers running(finished, {});
    for (Outcome outcome : { Outcome::NotRun, Outcome::Unknown }) {
        running.begin(claimId(2));
        running.append(claimId(2), "part");
        JoinedAnswer joined;
        running.join(claimId(2), [&](const JoinedAnswer& answer) { joined = answer; });
        running.finish(claimId(2), outcome);
        CHECK(joined.outcome == outcome);
        CHECK_FALSE(joined.answer);
        CHECK_FALSE(finished.find(claimId(2)));
    }
}

TEST_CASE("an answer beyond its bound is let go of, and its joiners know")
{
    FinishedAnswers finished(10'000);
    RunningAnswers running(finished, { 8, 12, 1 });
    int calls = 0;
    auto count = [&calls](const JoinedAnswer& answer) {
        CHECK(answer.outcome == Outcome::Unknown);
        ++calls;
    };
    running.begin(claimId(1));
    CHECK(running.join(claimId(1), count) != 0);
    CHECK(running.join(claimId(1), count) == 0);
    running.append(claimId(1), "12345678");
    running.begin(claimId(2));
    CHECK(running.join(claimId(2), count) != 0);
    running.append(claimId(2), "12345");
    CHECK(calls == 1);
    running.append(claimId(1), "9");
    CHECK(calls == 2);
    CHECK(running.bytes() == 0);
    running.finish(claimId(1), Outcome::Completed);
    CHECK_FALSE(finished.find(claimId(1)));
}

TEST_CASE("a joiner that leaves is not called")
{
    FinishedAnswers finished(10'000);
    RunningAnswers running(finished, {});
    running.begin(claimId(1));
    bool wasCalled = false;
    auto joiner = running.join(claimId(1), [&](const JoinedAnswer&) { wasCalled = true; });
    running.leave(claimId(1), joiner);
    running.finish(claimId(1), Outcome::Completed);
    CHECK_FALSE(wasCalled);
}

TEST_CASE("finished answers stay within their bound")
{
    FinishedAnswers finished(4'000);
    for (std::uint64_t serial = 1; serial <= 20; ++serial) {
        finished.put(claimId(serial), std::make_shared<const Answer>(Answer { {}, std::string(500, 'x') }));
        CHECK(finished.bytes() <= 4'000);
        CHECK(finished.find(claimId(serial)));
    }
    CHECK_FALSE(finished.find(claimId(1)));
    finished.put(claimId(99), std::make_shared<const Answer>(Answer { {}, std::string(5'000, 'x') }));
    CHECK_FALSE(finished.find(claimId(99)));
    CHECK(finished.find(claimId(20)));
}
