#include "catkinwing/Dispatch/AttemptSet.h"

#include "ScheduleExplorer.h"
#include <catch2/catch.hpp>
#include <iostream>
#include <limits>

using namespace catkinwing;

namespace {

/// What one attempt does: some pieces of an answer, then its end.
struct AttemptScript {
    AttemptId id { 0 };
    bool isStarted { false };
    std::size_t pieces { 0 };
    Outcome end { Outcome::Completed };
    std::size_t sent { 0 };
    bool isCancelled { false };

    bool isOver() const { return !isStarted || sent > pieces; }
};

struct Delivered {
    std::vector<AttemptId> pieces;
    bool isCompleted { false };
};

} // namespace

static AttemptResult resultOf(Outcome outcome)
{
    AttemptResult result;
    result.outcome = outcome;
    result.mayHaveReachedEndpoint = outcome != Outcome::NotRun;
    return result;
}

static void noteCancels(const std::vector<AttemptId>& cancel, std::vector<AttemptScript>& scripts)
{
    for (AttemptId id : cancel) {
        CHECK_FALSE(scripts[id].isCancelled);
        scripts[id].isCancelled = true;
    }
}

static void playNext(AttemptSet& set, AttemptScript& script, std::vector<AttemptScript>& scripts, Delivered& delivered)
{
    if (script.sent++ < script.pieces) {
        DeliveryDecision decision = set.offer(script.id);
        noteCancels(decision.cancel, scripts);
        CHECK_FALSE((decision.deliver && (script.isCancelled || delivered.isCompleted)));
        if (decision.deliver)
            delivered.pieces.push_back(script.id);
        return;
    }
    std::vector<AttemptId> cancel;
    RequestState state = set.finish(script.id, resultOf(script.end), cancel);
    noteCancels(cancel, scripts);
    if (state == RequestState::Completed) {
        CHECK_FALSE(delivered.isCompleted);
        CHECK(script.end == Outcome::Completed);
        delivered.isCompleted = true;
        // Every piece that the caller got is of this attempt, and none is missing.
        CHECK(delivered.pieces == std::vector<AttemptId>(script.pieces, script.id));
    }
    if (state == RequestState::Failed) {
        CHECK(set.running() == 0);
        // What follows continues the answer; joining it is the splicer's part.
        delivered.pieces.clear();
    }
    if (script.isCancelled)
        CHECK(state == RequestState::Unchanged);
}

// Cancelled attempts go on to the end of their scripts: answers may come late.
TEST_CASE("in every order of events the caller gets one answer, whole or not at all")
{
    ScheduleExplorer explorer(std::numeric_limits<unsigned>::max());
    std::size_t orders = 0;
    std::size_t completed = 0;
    do {
        AttemptSet set(true);
        std::vector<AttemptScript> scripts(2);
        Delivered delivered;
        for (AttemptScript& script : scripts) {
            script.pieces = explorer.choose(3);
            script.end = static_cast<Outcome>(explorer.choose(3));
        }
        scripts[0].id = *set.start();
        scripts[0].isStarted = true;
        bool mayStart = true;
        while (true) {
            std::vector<std::size_t> possible;
            for (std::size_t index = 0; index < scripts.size(); ++index) {
                if (!scripts[index].isOver())
                    possible.push_back(index);
            }
            std::size_t options = possible.size() + (mayStart ? 1 : 0);
            if (options == 0)
                break;
            std::size_t choice = explorer.choose(options);
            if (choice < possible.size()) {
                playNext(set, scripts[possible[choice]], scripts, delivered);
                continue;
            }
            absl::optional<AttemptId> second = set.start();
            mayStart = false;
            CHECK(second.has_value() == (!set.isCompleted() && !set.current()));
            if (!second)
                continue;
            scripts[1].id = *second;
            scripts[1].isStarted = true;
        }
        ++orders;
        completed += delivered.isCompleted ? 1 : 0;
        CHECK(set.isCompleted() == delivered.isCompleted);
    } while (explorer.advance());
    std::cout << "two attempts: " << orders << " orders of events, " << completed << " completed\n";
    CHECK(completed > 0);
    CHECK(completed < orders);
}

TEST_CASE("a non-idempotent request gets a second attempt only if no endpoint got a byte")
{
    std::vector<AttemptId> cancel;
    AttemptSet set(false);
    AttemptId first = *set.start();
    CHECK_FALSE(set.start());
    CHECK(set.finish(first, resultOf(Outcome::NotRun), cancel) == RequestState::Failed);
    absl::optional<AttemptId> second = set.start();
    REQUIRE(second);
    CHECK_FALSE(set.mayHaveRun());
    CHECK(set.finish(*second, resultOf(Outcome::Unknown), cancel) == RequestState::Failed);
    CHECK(set.mayHaveRun());
    CHECK_FALSE(set.start());
}

TEST_CASE("a superseded attempt counts as one that may have run")
{
    AttemptSet set(true);
    set.start();
    AttemptId hedge = *set.start();
    CHECK(set.offer(hedge).cancel == std::vector<AttemptId> { 0 });
    CHECK(set.mayHaveRun());
    CHECK(set.state(0) == AttemptState::Superseded);
}
