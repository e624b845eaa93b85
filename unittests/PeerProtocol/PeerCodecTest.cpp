#include "catkinwing/PeerProtocol/PeerCodec.h"

#include "catkinwing/Support/Random.h"
#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

static const EntryRef sampleRef { "antioquia-a-entry-7", { 1700000000123, 0xfedcba9876543210 } };
static const SocketAddress sampleAddress { "10.120.130.140", 17001 };

static const ClaimRef sampleClaimRef { sampleRef.name, sampleRef.incarnation.random, UINT64_MAX };
static const Claim sampleClaim { UINT64_MAX, UINT64_MAX - 1, 0x0123456789abcdef, sampleClaimRef };

static Heartbeat sampleHeartbeat()
{
    Heartbeat heartbeat;
    heartbeat.sender = { sampleRef, "antioquia-a", "antioquia", sampleAddress, sampleAddress, sampleAddress };
    heartbeat.sequence = 1234567;
    heartbeat.acknowledged = 1234566;
    heartbeat.draining = true;
    heartbeat.hasMoreServed = true;
    heartbeat.hashes = StateHashes { UINT64_MAX, UINT32_MAX, UINT32_MAX - 1 };
    for (int i = 0; i < 4; ++i)
        heartbeat.demand.push_back({ absl::StrCat("fitting-assistant-", i), 120 });
    for (int i = 0; i < 4; ++i) {
        heartbeat.load.push_back({ absl::StrCat("fitting-a-replica-", 100 + i), 12 });
        heartbeat.served.push_back({ absl::StrCat("team-workspace-", 100 + i), 123456789 });
    }
    return heartbeat;
}

static ZoneDigest sampleDigest()
{
    ZoneDigest digest;
    digest.zone = "antioquia-a";
    digest.region = "antioquia";
    digest.relay = sampleRef.name;
    digest.sequence = 1234567;
    digest.age = 1250ms;
    digest.rosterDigest = UINT32_MAX;
    digest.knownRoster = UINT32_MAX;
    for (int i = 0; i < 4; ++i) {
        digest.models.push_back({ absl::StrCat("fitting-", i), 100, 20, 1500ms });
        digest.served.push_back({ absl::StrCat("team-workspace-", 100 + i), 123456789 });
    }
    digest.hasMoreServed = true;
    digest.configDigest = UINT64_MAX;
    digest.zonesDigest = UINT32_MAX;
    return digest;
}

static std::vector<PeerMessage> sampleMessages()
{
    Heartbeat heartbeat = sampleHeartbeat();
    heartbeat.freeze = FreezeMark { 2, 6s, 1s };
    heartbeat.leaving = { { "fitting-a-replica-1", "i-0a" } };
    heartbeat.members = { sampleAddress, { "2001:db8::7", 7001 } };
    heartbeat.contacts = { { "valle-a", "valle", sampleAddress } };
    heartbeat.digests = { sampleDigest() };
    ZoneDigest digest = sampleDigest();
    digest.entries = { { sampleRef, sampleAddress, sampleAddress, true }, { sampleRef, sampleAddress, sampleAddress, false } };
    ConfigPush push { { { "teams/renewals", 12, "{\"a\":\"\\u0000\"}" }, { "teams/gone", 13, std::nullopt } } };
    ConfigPull pull { { { "teams/renewals", INT64_MAX } } };
    return { heartbeat, digest, push, pull, EndpointLeaving { "fitting-a-replica-1", "i-0a" }, EntryLeaving { sampleRef, true },
        ClaimBatch { { sampleClaim } }, RunningAnswerQuery { "c1" } };
}

static std::vector<PeerReply> sampleReplies()
{
    ClaimReply claims { { { 1, ClaimOutcome::Won, sampleClaimRef, false, {} }, { UINT64_MAX, ClaimOutcome::AlreadyClaimed, sampleClaimRef, true, {} },
        { 3, ClaimOutcome::NotAvailable, std::nullopt, false, 250ms } } };
    ConfigNewer newer { { { "teams/gone", 13, std::nullopt } }, true };
    return { sampleHeartbeat(), sampleDigest(), newer, claims, RunningAnswer { RunState::Finished }, Acknowledgement {},
        PeerError { PeerErrorCode::OldIncarnation, "a later run is live", sampleRef.incarnation } };
}

TEST_CASE("each message comes back from the codec as it was")
{
    std::string bytes = encodeBatch(sampleMessages());
    absl::StatusOr<std::vector<PeerMessage>> messages = decodeBatch(bytes);
    REQUIRE(messages.ok());
    REQUIRE(messages->size() == sampleMessages().size());
    CHECK(encodeBatch(*messages) == bytes);
    const auto& heartbeat = std::get<Heartbeat>((*messages)[0]);
    CHECK(heartbeat.sender.ref == sampleRef);
    CHECK(heartbeat.sender.operatorAddress == sampleAddress);
    CHECK(heartbeat.hashes == sampleHeartbeat().hashes);
    CHECK(heartbeat.freeze->span == 6s);
    CHECK(heartbeat.members[1].host == "2001:db8::7");
    CHECK(heartbeat.digests[0].models[3].predictedWait == 1500ms);
    CHECK(std::get<ZoneDigest>((*messages)[1]).entries->at(0).draining);
    const auto& push = std::get<ConfigPush>((*messages)[2]);
    CHECK(push.entries[0].text == "{\"a\":\"\\u0000\"}");
    CHECK_FALSE(push.entries[1].text.has_value());
    const Claim& claim = std::get<ClaimBatch>((*messages)[6]).claims.at(0);
    CHECK(claim.keyHigh == UINT64_MAX);
    CHECK(claim.keyLow == UINT64_MAX - 1);
    CHECK(claim.fingerprint == sampleClaim.fingerprint);
    CHECK(claim.id == sampleClaimRef);
}

TEST_CASE("each reply comes back from the codec as it was")
{
    std::vector<PeerReply> sent = sampleReplies();
    std::string bytes = encodeReplies(sent);
    absl::StatusOr<std::vector<PeerReply>> replies = decodeReplies(bytes, sent.size());
    REQUIRE(replies.ok());
    CHECK(encodeReplies(*replies) == bytes);
    const auto& claims = std::get<ClaimReply>((*replies)[3]);
    REQUIRE(claims.answers.size() == 3);
    CHECK(claims.answers[0].outcome == ClaimOutcome::Won);
    CHECK(claims.answers[0].holder == sampleClaimRef);
    CHECK(claims.answers[1].serial == UINT64_MAX);
    CHECK(claims.answers[1].outcome == ClaimOutcome::AlreadyClaimed);
    CHECK(claims.answers[1].isOtherRequest);
    CHECK(claims.answers[2].outcome == ClaimOutcome::NotAvailable);
    CHECK(claims.answers[2].retryAfter == 250ms);
    CHECK(std::get<RunningAnswer>((*replies)[4]).state == RunState::Finished);
    const auto& error = std::get<PeerError>((*replies)[6]);
    CHECK(error.code == PeerErrorCode::OldIncarnation);
    CHECK(error.known == sampleRef.incarnation);
}

TEST_CASE("replies that are missing or junk are refused")
{
    std::string bytes = encodeReplies({ Acknowledgement {} });
    CHECK(decodeReplies(bytes, 1).ok());
    CHECK_FALSE(decodeReplies(bytes, 2).ok());
    for (const char* junk : { "", "[]", "{}", "null", "[1]", "[{}]", "[{\"id\":1,\"jsonrpc\":\"2.0\",\"result\":{}}]",
             "[{\"id\":1,\"jsonrpc\":\"2.0\",\"result\":{\"ok\":1}}]", "[{\"id\":1,\"jsonrpc\":\"2.0\",\"error\":5}]" }) {
        INFO(junk);
        CHECK_FALSE(decodeReplies(junk, 1).ok());
    }
}

TEST_CASE("a batch with an unknown method or version is told as such")
{
    CHECK(absl::IsUnimplemented(decodeBatch(R"([{"id":1,"jsonrpc":"2.0","method":"2/hb","params":{}}])").status()));
    CHECK(absl::IsInvalidArgument(decodeBatch(R"([{"id":1,"jsonrpc":"1.0","method":"1/running","params":{"c":"x"}}])").status()));
}

TEST_CASE("a batch that strays from the protocol is refused")
{
    CHECK(decodeBatch(R"([{"id":1,"jsonrpc":"2.0","method":"1/running","params":{"c":"x"}}])").ok());
    for (const char* junk : {
             "",
             "[]",
             "{}",
             "[1]",
             "nonsense",
             "[[]]",
             R"({"id":1,"jsonrpc":"2.0","method":"1/running","params":{"c":"x"}})",
             R"([{"id":2,"jsonrpc":"2.0","method":"1/running","params":{"c":"x"}}])",
             R"([{"id":null,"jsonrpc":"2.0","method":"1/running","params":{"c":"x"}}])",
             R"([{"jsonrpc":"2.0","method":"1/running","params":{"c":"x"}}])",
             R"([{"id":1,"jsonrpc":"2.0","method":"1/running"}])",
             R"([{"id":1,"jsonrpc":"2.0","method":"1/running","params":["x"]}])",
             R"([{"id":1,"jsonrpc":"2.0","method":"1/running","params":{"c":1}}])",
             R"([{"id":1,"jsonrpc":"2.0","method":"1/running","params":{"c":"x","d":1}}])",
         }) {
        INFO(junk);
        CHECK(absl::IsInvalidArgument(decodeBatch(junk).status()));
    }
}

static std::string claimCall(const char* claim)
{
    return absl::StrCat(R"([{"id":1,"jsonrpc":"2.0","method":"1/claim","params":{"c":[)", claim, "]}}]");
}

TEST_CASE("a claim that strays from the protocol is refused")
{
    REQUIRE(decodeBatch(claimCall(R"(["AAAAAAAAAAA","AAAAAAAAAAA","AAAAAAAAAAA",["e","AAAAAAAAAAA",1]])")).ok());
    for (const char* junk : {
             "1",
             "[]",
             R"(["AAAAAAAAAAA","AAAAAAAAAAA",["e","AAAAAAAAAAA",1]])",
             R"(["AAAAAAAAAAA","AAAAAAAAAAA","AAAAAAAAAAA",["e","AAAAAAAAAAA",1],1])",
             R"(["AAAAAAAAAA","AAAAAAAAAAA","AAAAAAAAAAA",["e","AAAAAAAAAAA",1]])",
             R"([1,"AAAAAAAAAAA","AAAAAAAAAAA",["e","AAAAAAAAAAA",1]])",
             R"(["AAAAAAAAAAA","AAAAAAAAAAA","AAAAAAAAAAA",["e",1]])",
             R"(["AAAAAAAAAAA","AAAAAAAAAAA","AAAAAAAAAAA",[1,"AAAAAAAAAAA",1]])",
             R"(["AAAAAAAAAAA","AAAAAAAAAAA","AAAAAAAAAAA",["e","AAAAAAAAAAA",-1]])",
             R"(["AAAAAAAAAAA","AAAAAAAAAAA","AAAAAAAAAAA",["e","AAAAAAAAAAA",1.0]])",
             R"(["AAAAAAAAAAA","AAAAAAAAAAA","AAAAAAAAAAA",["e","AAAAAAAAAAA",18446744073709551616]])",
         }) {
        INFO(junk);
        CHECK(absl::IsInvalidArgument(decodeBatch(claimCall(junk)).status()));
    }
}

TEST_CASE("a number that its field can't hold is refused")
{
    ZoneDigest digest = sampleDigest();
    digest.entries.reset();
    const std::string whole = encodeBatch({ digest });
    REQUIRE(decodeBatch(whole).ok());
    std::size_t place = whole.find("4294967295");
    REQUIRE(place != std::string::npos);
    for (const char* number : { "4294967296", "-1", "1.0" }) {
        std::string damaged = whole;
        damaged.replace(place, std::string("4294967295").size(), number);
        INFO(number);
        CHECK(absl::IsInvalidArgument(decodeBatch(damaged).status()));
    }
}

TEST_CASE("an answer to a claim says just what its outcome calls for")
{
    auto isTaken = [](const char* answer) {
        return decodeReplies(absl::StrCat(R"([{"id":1,"jsonrpc":"2.0","result":{"claim":{"v":[)", answer, "]}}}]"), 1).ok();
    };
    CHECK(isTaken(R"({"c":1,"o":0,"h":["e","AAAAAAAAAAA",1]})"));
    CHECK(isTaken(R"({"c":1,"o":1,"h":["e","AAAAAAAAAAA",1],"x":true})"));
    CHECK(isTaken(R"({"c":1,"o":2,"r":250})"));
    CHECK_FALSE(isTaken(R"({"c":1,"o":0})"));
    CHECK_FALSE(isTaken(R"({"c":1,"o":1})"));
    CHECK_FALSE(isTaken(R"({"o":0,"h":["e","AAAAAAAAAAA",1]})"));
    CHECK_FALSE(isTaken(R"({"c":1,"o":2,"h":["e","AAAAAAAAAAA",1]})"));
    CHECK_FALSE(isTaken(R"({"c":1,"o":0,"h":["e","AAAAAAAAAAA",1],"x":true})"));
    CHECK_FALSE(isTaken(R"({"c":1,"o":1,"h":["e","AAAAAAAAAAA",1],"r":250})"));
    CHECK_FALSE(isTaken(R"({"c":1,"o":3})"));
}

TEST_CASE("deep nesting and long batches are refused")
{
    CHECK_FALSE(decodeBatch(std::string(500000, '[')).ok());
    CHECK_FALSE(decodeBatch(std::string(maxBatchBytes + 1, ' ')).ok());
}

TEST_CASE("damaged bytes give an error or a message, never a crash")
{
    Random random(20240607);
    const std::string request = encodeBatch(sampleMessages());
    const std::string reply = encodeReplies(sampleReplies());
    int refused = 0;
    constexpr int rounds = 2000;
    for (int round = 0; round < rounds; ++round) {
        std::string damaged = request;
        for (std::uint64_t hits = 1 + random.below(4); hits > 0; --hits)
            damaged[random.below(damaged.size())] = static_cast<char>(random.below(256));
        damaged.resize(damaged.size() - random.below(2) * random.below(damaged.size()));
        refused += decodeBatch(damaged).ok() ? 0 : 1;
        std::string damagedReply = reply;
        damagedReply[random.below(damagedReply.size())] = static_cast<char>(random.below(256));
        (void)decodeReplies(damagedReply, sampleReplies().size());
    }
    CHECK(refused > rounds / 2);
}

TEST_CASE("each message keeps to its budget of bytes")
{
    Heartbeat steady = sampleHeartbeat();
    steady.sender.zone.clear();
    steady.hashes.reset();
    steady.draining = false;
    CHECK(encodeBatch({ steady }).size() <= heartbeatBytes);
    CHECK(encodeReplies({ steady }).size() <= heartbeatBytes);
    ZoneDigest digest = sampleDigest();
    std::size_t bare = encodeBatch({ digest }).size();
    CHECK(bare <= zoneDigestBytes);
    ZoneDigest relayed = digest;
    relayed.region.clear();
    relayed.served.clear();
    relayed.hasMoreServed = false;
    relayed.knownRoster = relayed.zonesDigest = 0;
    relayed.configDigest = 0;
    std::size_t without = encodeBatch({ steady }).size();
    steady.digests = { relayed };
    CHECK(encodeBatch({ steady }).size() - without <= relayedDigestBytes);
    digest.entries.emplace(9, ZoneEntry { sampleRef, sampleAddress, sampleAddress, false });
    CHECK(encodeBatch({ digest }).size() - bare <= 9 * zoneEntryBytes + 10);
    CHECK(encodeBatch({ EndpointLeaving { "fitting-a-replica-100", "i-0123456789abcdef" } }).size() <= leavingBytes);
    CHECK(encodeBatch({ EntryLeaving { sampleRef, true } }).size() <= leavingBytes);
    std::size_t one = encodeBatch({ ClaimBatch { { sampleClaim } } }).size();
    CHECK(encodeBatch({ ClaimBatch { { sampleClaim, sampleClaim } } }).size() - one <= claimBytes);
    ClaimAnswer answer { UINT64_MAX, ClaimOutcome::AlreadyClaimed, sampleClaimRef, true, {} };
    std::size_t oneAnswer = encodeReplies({ ClaimReply { { answer } } }).size();
    CHECK(encodeReplies({ ClaimReply { { answer, answer } } }).size() - oneAnswer <= claimBytes);
}

TEST_CASE("documents are split under the bound and keep their order")
{
    std::vector<ConfigEntry> entries;
    entries.reserve(10);
    for (int i = 0; i < 10; ++i)
        entries.push_back({ absl::StrCat("teams/", i), i, std::string(i == 5 ? 5000 : 300, 'x') });
    std::vector<ConfigPush> pushes = splitConfig(entries, 1000);
    std::int64_t next = 0;
    for (const ConfigPush& push : pushes) {
        std::size_t bytes = 0;
        for (const ConfigEntry& entry : push.entries) {
            CHECK(entry.revision == next++);
            bytes += entry.path.size() + entry.text->size();
        }
        CHECK((bytes <= 1000 || push.entries.size() == 1));
    }
    CHECK(next == 10);
    CHECK(pushes.size() == 5);
}
