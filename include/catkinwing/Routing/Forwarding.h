#pragma once

#include "catkinwing/Routing/Placement.h"
#include "catkinwing/Routing/SlowStart.h"
#include <map>

namespace catkinwing {

/// A request is forwarded at most this often.
constexpr unsigned maxForwardHops = 1;

/// What another cell's digest says of one model, and what was sent there since.
struct RemoteModelView {
    unsigned freeSlots { 0 };
    /// Wait for a new request there, without its own prefill.
    Duration predictedWait { 0 };
    double prefillTokensPerSecond { 10000 };
    /// Own forwards since the digest was made that have not ended; set to 0 with
    /// each new digest.
    unsigned forwardsSinceDigest { 0 };
};

/// Another cell as its last digest shows it.
struct RemoteCellView {
    std::string zone;
    std::string region;
    /// When the digest was made, on this process's clock.
    TimePoint digestAt {};
    /// Drawn anew from [0, 1) with each digest. It decides which of the entries
    /// that share the digest may use a part of a slot, so that they don't all.
    double digestDither { 0 };
    Duration roundTripTime { 0 };
    bool draining { false };
    /// False while no entry of the cell answers.
    bool reachable { true };
    /// Since when it has been reachable; slow start begins there.
    TimePoint reachableSince {};
    std::map<std::string, RemoteModelView, std::less<>> models;
};

/// When a request is worth sending to another cell.
struct ForwardPolicy {
    /// Gain that a forward to another zone of the region must bring.
    Duration zoneThreshold { std::chrono::milliseconds(150) };
    /// Gain that a forward to another region must bring.
    Duration regionThreshold { std::chrono::milliseconds(400) };
    /// Each threshold grows by this factor of itself when the share sent away
    /// stands at \c targetShare, and in proportion above and below.
    double sharePenalty { 2.0 };
    /// Share of requests sent to other regions that operators accept.
    double targetShare { 0.05 };
    /// Once forwarding, it goes on down to this part of the threshold.
    double keepFactor { 0.5 };
    /// A digest older than this is not acted on.
    Duration maxDigestAge { std::chrono::seconds(10) };
    /// Entries that act on the same digest: believed free slots are divided
    /// among them.
    unsigned senders { 1 };
    /// Time over which the share sent away is averaged.
    Duration shareWindow { std::chrono::seconds(60) };
    SlowStartPolicy slowStart;
};

/// What the caller keeps from one decision to the next, for each model.
struct ForwardState {
    bool sendingToZones { false };
    bool sendingToRegions { false };
    /// Decayed counts of requests, and of those sent to other regions.
    double requests { 0 };
    double sentToRegions { 0 };
    TimePoint countedAt {};
};

/// All that a decision to forward depends on.
struct ForwardInputs {
    const RoutingRequest& request;
    absl::string_view ownZone;
    absl::string_view ownRegion;
    /// Predicted time to first token here with its wait in the queue; nothing
    /// where this cell can't serve the request.
    std::optional<Duration> localPrediction;
    absl::Span<const RemoteCellView> cells;
    const ForwardPolicy& policy;
    TimePoint now;
};

/// Why a request stays.
enum class KeepReason {
    /// It was forwarded before.
    HopLimit,
    /// No other cell is allowed, serves the model, answers and has room.
    NoCandidate,
    /// No candidate's gain passes the threshold.
    GainTooSmall
};

/// A cell to forward to.
struct Forward {
    /// Place in ForwardInputs::cells.
    std::size_t cell { 0 };
    bool otherRegion { false };
    Duration predictedTimeToFirstToken { 0 };
    /// Time that the forward is predicted to save; the longest Duration where
    /// this cell can't serve the request.
    Duration gain { 0 };
};

/// Says that a request stays in this cell.
struct KeepLocal {
    KeepReason reason { KeepReason::NoCandidate };
};

using ForwardDecision = std::variant<Forward, KeepLocal>;

/// Decides whether \p inputs.request goes to another cell, and to which: other
/// zones of the region first, then other regions. Residency, hop limit and
/// visited places are checked before any gain. Updates the hysteresis in
/// \p state, but not its counts.
ForwardDecision decideForward(const ForwardInputs& inputs, ForwardState& state, Random& random);

/// Returns how many more requests of \p model this entry may send to \p cell on
/// its present digest: the free slots, less for an old digest or a cell in slow
/// start, divided among the senders, less own forwards since.
unsigned forwardAllowance(const RemoteCellView& cell, const RemoteModelView& model, const ForwardPolicy& policy, TimePoint now);

/// Counts one request in \p state, once it is known where it went.
void recordRouted(ForwardState& state, const ForwardPolicy& policy, bool toOtherRegion, TimePoint now);

/// Returns the share of requests sent to other regions, 0 to 1.
double shareSentAway(const ForwardState& state);

/// Notes in \p cell one own forward of \p model on the present digest.
void recordForward(RemoteCellView& cell, absl::string_view model);

/// Notes in \p cell that a forward of \p model, sent at \p sentAt, came to its
/// end, in whatever way: its slot there is free again. Does nothing where a newer
/// digest counts it already.
void recordForwardEnded(RemoteCellView& cell, absl::string_view model, TimePoint sentAt);

/// An entry of another cell that could receive a forward.
struct ForwardEntry {
    std::string name;
    bool draining { false };
    bool reachable { true };
};

/// Returns the place in \p entries of the one to forward to: by rendezvous hash
/// on the session where there is one, else at random. Nothing where none of
/// them takes work.
std::optional<std::size_t> chooseEntryForForward(absl::Span<const ForwardEntry> entries, absl::string_view session, Random& random);

/// Why a receiver turns a forwarded request down.
enum class ForwardRefusal { OutsideResidency,
    HopLimit,
    VisitedBefore };

/// Checks a forward at its receiver: \p request carries the stamp's hop and
/// visited zones, and the stricter of the stamp's residency and that of the
/// receiver's own document. Nothing means that it may be admitted.
std::optional<ForwardRefusal> checkReceivedForward(const RoutingRequest& request, absl::string_view ownZone, absl::string_view ownRegion);

/// Says in one word why, such as "hop-limit", for reports.
const char* toString(KeepReason reason);
const char* toString(ForwardRefusal reason);

} // namespace catkinwing
