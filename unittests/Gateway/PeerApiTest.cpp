#include "catkinwing/Gateway/PeerApi.h"

#include "BrokerFixture.h"
#include "Coordination/FakeStore.h"
#include "catkinwing/Gateway/AttemptRequest.h"
#include "catkinwing/PeerProtocol/PeerCodec.h"
#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

namespace {

class PeerApiFixture : public BrokerFixture {
public:
    std::shared_ptr<FakeResponder> call(const std::vector<PeerMessage>& batch)
    {
        HttpRequest request;
        request.method = "POST";
        request.path = peerRpcPath;
        request.body = encodeBatch(batch);
        auto responder = std::make_shared<FakeResponder>();
        api.handle(std::move(request), responder);
        return responder;
    }
    std::vector<PeerReply> replies(const FakeResponder& responder, std::size_t expected)
    {
        REQUIRE(responder.status() == 200);
        absl::StatusOr<std::vector<PeerReply>> decoded = decodeReplies(responder.body, expected);
        REQUIRE(decoded.ok());
        return *std::move(decoded);
    }

    FakeStore store { scheduler };
    EntryIdentity self { { "entry", { 1, 2 } }, "north-a", "north", {}, { "127.0.0.1", 7001 }, {} };
    PeerLink link { peerClient, "entry" };
    Membership membership { self, {}, scheduler, link, Random(3), {} };
    ConfigKeeper config { store, scheduler, random, {} };
    EntryDirectory entries { self };
    KeyedRequests keyed { store, broker, entries, {}, {}, nullptr, {} };
    CallerApi callers { { broker, keyed, config, entries, random, metrics, scheduler.clock(), "north", "north-a", "http" } };
    LinkFaults faults;
    PeerApi api { membership, config, keyed, callers, link, scheduler, faults, metrics, PeerProof::None };
    ClaimBatch claims { { { 1, 2, 3, { "other", 4, 1 } }, { 1, 2, 4, { "other", 4, 2 } }, { 5, 6, 7, { "other", 4, 3 } } } };
    RunningAnswerQuery query { claimIdText({ "entry", 2, 1 }) };
};

} // namespace

TEST_CASE_METHOD(PeerApiFixture, "a batch is answered when its claims are settled")
{
    auto responder = call({ query, claims, ConfigPull {} });
    CHECK_FALSE(responder->isFinished);
    scheduler.advance(199ms);
    std::vector<PeerReply> got = replies(*responder, 3);
    CHECK(std::get<RunningAnswer>(got[0]).state == RunState::Unknown);
    std::vector<ClaimAnswer> claimAnswers = std::get<ClaimReply>(got[1]).answers;
    REQUIRE(claimAnswers.size() == 3);
    CHECK(claimAnswers[0].outcome == ClaimOutcome::Won);
    CHECK(claimAnswers[0].holder == ClaimRef { "other", 4, 1 });
    CHECK(claimAnswers[1].outcome == ClaimOutcome::AlreadyClaimed);
    CHECK(claimAnswers[1].holder == ClaimRef { "other", 4, 1 });
    CHECK(claimAnswers[1].isOtherRequest);
    CHECK(claimAnswers[2].outcome == ClaimOutcome::Won);
    CHECK(std::holds_alternative<ConfigNewer>(got[2]));
    CHECK(link.counters().batchesReceived == 1);
}

TEST_CASE_METHOD(PeerApiFixture, "a batch without claims is answered at once")
{
    CHECK(replies(*call({ query }), 1).size() == 1);
    CHECK(std::get<ClaimReply>(replies(*call({ ClaimBatch {} }), 1)[0]).answers.empty());
}

TEST_CASE_METHOD(PeerApiFixture, "claims that the store leaves open get an error in time")
{
    store.setSilent(true);
    auto responder = call({ query, claims });
    scheduler.advance(199ms);
    CHECK_FALSE(responder->isFinished);
    scheduler.advance(1ms);
    std::vector<PeerReply> got = replies(*responder, 2);
    CHECK(std::get<PeerError>(got[1]).code == PeerErrorCode::Unavailable);
    store.setSilent(false);
    scheduler.advance(10s);
    CHECK(link.counters().batchesReceived == 1);
}

TEST_CASE_METHOD(PeerApiFixture, "claims are settled also when their sender has gone")
{
    auto responder = call({ claims });
    responder->leave();
    scheduler.advance(10s);
    CHECK(keyed.ledger().counters().claimsRecorded == 2);
}
