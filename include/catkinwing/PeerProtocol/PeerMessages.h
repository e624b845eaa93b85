#pragma once

#include "catkinwing/PeerProtocol/PeerIdentity.h"
#include "catkinwing/Support/Clock.h"
#include <optional>
#include <variant>
#include <vector>

namespace catkinwing {

/// Requests of one endpoint group that an entry runs or queues.
struct GroupDemand {
    std::string group;
    std::uint32_t requests { 0 };
};

/// Requests that an entry has in flight at one endpoint; absolute, not a difference.
struct EndpointLoad {
    std::string endpoint;
    std::uint32_t inFlight { 0 };
};

/// Tokens served to one team since the sender started.
struct TeamTokens {
    std::string team;
    std::uint64_t tokens { 0 };
};

/// One run of an endpoint that is leaving and takes no new work.
struct EndpointLeaving {
    std::string endpoint;
    /// Tells runs of the endpoint apart; compared for equality only.
    std::string incarnation;

    friend bool operator==(const EndpointLeaving& a, const EndpointLeaving& b) { return a.endpoint == b.endpoint && a.incarnation == b.incarnation; }
    friend bool operator<(const EndpointLeaving& a, const EndpointLeaving& b) { return std::tie(a.endpoint, a.incarnation) < std::tie(b.endpoint, b.incarnation); }
};

/// Says that the sender was frozen; its earlier state is no longer to be relied on.
struct FreezeMark {
    /// Number of freezes in this run.
    std::uint32_t count { 0 };
    /// Length of the latest.
    Duration span {};
    /// Time since it ended.
    Duration age {};
};

/// An address at which an entry of another availability zone may be found.
struct ZoneContact {
    std::string zone;
    std::string region;
    SocketAddress peerAddress;
};

/// One entry of an availability zone, as told to other zones.
struct ZoneEntry {
    EntryRef ref;
    SocketAddress callerAddress;
    SocketAddress peerAddress;
    bool draining { false };
};

/// Room for one model in an availability zone.
struct ModelRoom {
    std::string model;
    std::uint32_t freeSlots { 0 };
    std::uint32_t queued { 0 };
    /// Predicted wait of a request that arrives now.
    Duration predictedWait {};
};

/// State of one availability zone, exchanged by relays and passed on inside
/// their zones. Says nothing of prompts. The reply is the other zone's digest.
///
/// Budget: zoneDigestBytes without entries and contacts.
struct ZoneDigest {
    std::string zone;
    /// Left out in a digest that is passed on without entries.
    std::string region;
    /// The entry of the zone that made this digest.
    std::string relay;
    /// Counts the relay's digests; higher is newer for the same relay.
    std::uint64_t sequence { 0 };
    /// Time since the relay made it, as far as it was spent in entries.
    Duration age {};
    /// Hash of the zone's entries.
    std::uint32_t rosterDigest { 0 };
    /// Hash of the receiver's entries as the sender has them; zero for none.
    std::uint32_t knownRoster { 0 };
    /// The zone's live entries; left out if the receiver has them.
    std::optional<std::vector<ZoneEntry>> entries;
    std::vector<ModelRoom> models;
    /// The teams whose counters changed most; none between regions.
    std::vector<TeamTokens> served;
    /// Set while other teams' changes wait for the next digest.
    bool hasMoreServed { false };
    /// Configuration in force at the relay; zero in a digest that is passed on.
    std::uint64_t configDigest { 0 };
    /// Hash of the names of the zones that the sender knows; zero when passed on.
    std::uint32_t zonesDigest { 0 };
    /// The zones that the sender knows; empty while the hashes agree.
    std::vector<ZoneContact> contacts;
};

/// Hashes by which two entries see that they differ.
struct StateHashes {
    /// Hash of the configuration in force at the sender.
    std::uint64_t config { 0 };
    /// Hash of the live members of the zone as the sender sees them.
    std::uint32_t members { 0 };
    /// Hash of the names of the zones that the sender knows.
    std::uint32_t zones { 0 };

    friend bool operator==(const StateHashes& a, const StateHashes& b) { return a.config == b.config && a.members == b.members && a.zones == b.zones; }
    friend bool operator!=(const StateHashes& a, const StateHashes& b) { return !(a == b); }
};

/// State of one entry, exchanged inside the availability zone. The reply is the
/// other side's heartbeat.
///
/// Budget: heartbeatBytes in the steady state, without digests.
struct Heartbeat {
    EntryIdentity sender;
    /// Counts the sender's messages to the receiver, from a random start.
    std::uint64_t sequence { 0 };
    /// Latest sequence that the sender has from the receiver; zero for none. A
    /// receiver whose recent sequences never come back isn't heard.
    std::uint64_t acknowledged { 0 };
    bool draining { false };
    /// Left out if the receiver has them already.
    std::optional<StateHashes> hashes;
    std::optional<FreezeMark> freeze;
    std::vector<GroupDemand> demand;
    /// The endpoints whose figures changed most since the receiver's last
    /// acknowledgement.
    std::vector<EndpointLoad> load;
    /// The teams whose counters changed most.
    std::vector<TeamTokens> served;
    /// Set while other teams' changes wait for the next heartbeat.
    bool hasMoreServed { false };
    std::vector<EndpointLeaving> leaving;
    /// Peer addresses of the members; empty while the hashes agree.
    std::vector<SocketAddress> members;
    /// Known zones; empty while the hashes agree.
    std::vector<ZoneContact> contacts;
    /// Other zones' digests that the sender relays.
    std::vector<ZoneDigest> digests;
};

/// One configuration document, or its tombstone.
struct ConfigEntry {
    std::string path;
    std::int64_t revision { 0 };
    /// The document; none if it was deleted at this revision.
    std::optional<std::string> text;
};

/// Revision of a document that the sender holds.
struct ConfigRevision {
    std::string path;
    std::int64_t revision { 0 };
};

/// Hands over documents; answered by Acknowledgement. Split by splitConfig().
struct ConfigPush {
    std::vector<ConfigEntry> entries;
};

/// Asks for what is newer than the sender's documents; answered by ConfigNewer.
struct ConfigPull {
    std::vector<ConfigRevision> known;
};

/// Documents newer than those in a ConfigPull.
struct ConfigNewer {
    std::vector<ConfigEntry> entries;
    /// Set if the byte bound held some back; ask again.
    bool hasMore { false };
};

/// Says that an entry drains, or that it is about to exit; answered by Acknowledgement.
struct EntryLeaving {
    EntryRef entry;
    /// Set when the entry has finished its work and exits now.
    bool isGone { false };
};

/// Names one claim of one run of an entry, and no other.
struct ClaimRef {
    /// The claimant, which alone may run the request.
    std::string entry;
    /// Random bits of the claimant's incarnation.
    std::uint64_t incarnation { 0 };
    /// Counts the claims of that incarnation.
    std::uint64_t serial { 0 };

    friend bool operator==(const ClaimRef& a, const ClaimRef& b) { return a.serial == b.serial && a.incarnation == b.incarnation && a.entry == b.entry; }
};

/// A wish to run the request of one idempotency key. Says nothing of the key,
/// the team and the request but their digests.
struct Claim {
    /// Digest of team and key.
    std::uint64_t keyHigh { 0 };
    std::uint64_t keyLow { 0 };
    /// Digest of the request.
    std::uint64_t fingerprint { 0 };
    ClaimRef id;
};

/// Claims sent to the coordinator of their shards; answered by ClaimReply.
struct ClaimBatch {
    std::vector<Claim> claims;
};

/// What the ledger says about a claim.
enum class ClaimOutcome {
    /// Recorded: the claimant alone may run the request.
    Won,
    /// The key is held by another claim.
    AlreadyClaimed,
    /// Nothing definite; the claim may be recorded all the same.
    NotAvailable,
};

/// Answer to one claim.
struct ClaimAnswer {
    /// Serial of the claim that is answered.
    std::uint64_t serial { 0 };
    ClaimOutcome outcome { ClaimOutcome::NotAvailable };
    /// The claim that holds the key; left out if the outcome is NotAvailable.
    std::optional<ClaimRef> holder;
    /// With AlreadyClaimed: the key was used for another request.
    bool isOtherRequest { false };
    /// With NotAvailable: when to come back.
    Duration retryAfter {};
};

/// Answers to a ClaimBatch, one for each claim in its order.
struct ClaimReply {
    std::vector<ClaimAnswer> answers;
};

/// Asks a claimant what became of its run; answered by RunningAnswer.
struct RunningAnswerQuery {
    std::string claimId;
};

/// State of a claimed run at its claimant.
enum class RunState {
    Running,
    Finished,
    /// The entry knows nothing of the claim.
    Unknown,
};

/// Answer to a RunningAnswerQuery.
struct RunningAnswer {
    RunState state { RunState::Unknown };
};

/// Says that a message was taken in.
struct Acknowledgement {
};

/// Why a message was refused.
enum class PeerErrorCode {
    /// The message couldn't be read.
    Malformed,
    /// The receiver doesn't know the method or its version.
    UnknownMethod,
    /// A later run of the sender's name is alive.
    OldIncarnation,
    /// The receiver remembers a later run of the sender's name that is dead; the
    /// sender has to raise its incarnation above it.
    LowIncarnation,
    /// The heartbeat says no zone and addresses, but the receiver doesn't know the run.
    UnknownRun,
    /// The receiver can't act on it now.
    Unavailable,
};

/// Stands in the place of the reply to a message that was refused.
struct PeerError {
    PeerErrorCode code { PeerErrorCode::Unavailable };
    std::string message;
    /// For OldIncarnation and LowIncarnation, the run that the receiver knows.
    std::optional<Incarnation> known;
};

/// A request of one entry to another.
using PeerMessage = std::variant<Heartbeat, ZoneDigest, ConfigPush, ConfigPull, EndpointLeaving, EntryLeaving, ClaimBatch, RunningAnswerQuery>;

/// The answer to one PeerMessage.
using PeerReply = std::variant<Heartbeat, ZoneDigest, ConfigNewer, ClaimReply, RunningAnswer, Acknowledgement, PeerError>;

} // namespace catkinwing
