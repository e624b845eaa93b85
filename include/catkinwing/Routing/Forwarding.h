#pragma once

#include "catkinwing/Routing/Placement.h"
#include "catkinwing/Routing/SlowStart.h"
#include <map>

namespace catkinwing {

/// Maximum number of times that one request is forwarded.
constexpr unsigned maxForwardHops = 1;

/// Load of one model in another cell: the values of the cell's last load digest
/// and this entry's forwards since then.
struct RemoteModelView {
    unsigned freeSlots { 0 };
    /// Predicted queueing time of a new request, excluding its own prefill.
    Duration predictedWait { 0 };
    double prefillTokensPerSecond { 10000 };
    /// Unfinished forwards of this entry since the digest was made. Reset to 0
    /// with each new digest.
    unsigned forwardsSinceDigest { 0 };
};

/// Another cell as described by its last load digest.
struct RemoteCellView {
    std::string zone;
    std::string region;
    /// When the digest was made, on this process's clock.
    TimePoint digestAt {};
    /// Random number from [0, 1), drawn again for each digest. Added to this entry's
    /// share of the free slots before the share is rounded down, so that only some
    /// of the entries that use the digest round up.
    double digestDither { 0 };
    Duration roundTripTime { 0 };
    bool draining { false };
    /// False while all entries of the cell are unreachable.
    bool reachable { true };
    /// When the cell became reachable, which is the start of its slow start.
    TimePoint reachableSince {};
    std::map<std::string, RemoteModelView, std::less<>> models;
};

/// Settings of the decision to forward a request to another cell.
struct ForwardPolicy {
    /// Minimum predicted gain of a forward to another zone of the region.
    Duration zoneThreshold { std::chrono::milliseconds(150) };
    /// Minimum predicted gain of a forward to another region.
    Duration regionThreshold { std::chrono::milliseconds(400) };
    /// Raises \c regionThreshold in proportion to the share of requests forwarded
    /// to other regions: the threshold is multiplied by 1 + \c sharePenalty when
    /// that share equals \c targetShare.
    double sharePenalty { 2.0 };
    /// Share of requests forwarded to other regions that operators accept.
    double targetShare { 0.05 };
    /// Hysteresis: while forwarding is active, the threshold is multiplied by this
    /// fraction.
    double keepFactor { 0.5 };
    /// Older digests are not used.
    Duration maxDigestAge { std::chrono::seconds(10) };
    /// Number of entries that use the same digest. The reported free slots are
    /// divided among them.
    unsigned senders { 1 };
    /// Time constant of the exponentially decayed share of requests that are
    /// forwarded to other regions.
    Duration shareWindow { std::chrono::seconds(60) };
    SlowStartPolicy slowStart;
};

/// Per-model state that the caller keeps between decisions.
struct ForwardState {
    bool forwardingToZones { false };
    bool forwardingToRegions { false };
    /// Exponentially decayed counts of all requests and of those forwarded to
    /// other regions.
    double requests { 0 };
    double forwardedToRegions { 0 };
    TimePoint countedAt {};
};

/// Inputs of a decision to forward.
struct ForwardInputs {
    const RoutingRequest& request;
    absl::string_view ownZone;
    absl::string_view ownRegion;
    /// Predicted time to first token in this cell, including the queueing time.
    /// Empty if this cell can't serve the request.
    std::optional<Duration> localPrediction;
    absl::Span<const RemoteCellView> cells;
    const ForwardPolicy& policy;
    TimePoint now;
};

/// Why a request is not forwarded.
enum class KeepReason {
    /// The request was already forwarded \c maxForwardHops times.
    HopLimit,
    /// No other cell is allowed, reachable, serves the model, has free capacity
    /// and can meet the request's deadline.
    NoCandidate,
    /// No candidate's predicted gain exceeds the threshold.
    GainTooSmall
};

/// A decision to forward a request to another cell.
struct Forward {
    /// Index into ForwardInputs::cells.
    std::size_t cell { 0 };
    bool otherRegion { false };
    Duration predictedTimeToFirstToken { 0 };
    /// Predicted reduction of the time to first token, or Duration::max() if this
    /// cell can't serve the request.
    Duration gain { 0 };
};

/// A decision to keep a request in this cell.
struct KeepLocal {
    KeepReason reason { KeepReason::NoCandidate };
};

using ForwardDecision = std::variant<Forward, KeepLocal>;

/// Decides whether to forward \p inputs.request to another cell, and to which:
/// other zones of the region are considered first, then other regions.
/// Residency, hop limit and visited zones are checked before any gain. Updates
/// the hysteresis flags in \p state, but not its counts.
ForwardDecision decideForward(const ForwardInputs& inputs, ForwardState& state, Random& random);

/// Returns how many more requests for \p model this entry may forward to \p cell
/// until the next digest: the free slots, scaled down with the age of the digest
/// and by slow start, divided by ForwardPolicy::senders, minus this entry's
/// unfinished forwards since the digest.
unsigned forwardAllowance(const RemoteCellView& cell, const RemoteModelView& model, const ForwardPolicy& policy, TimePoint now);

/// Counts one routed request in \p state.
void recordRouted(ForwardState& state, const ForwardPolicy& policy, bool toOtherRegion, TimePoint now);

/// Returns the share of requests forwarded to other regions, 0 to 1.
double crossRegionShare(const ForwardState& state);

/// Records in \p cell one forward of a request for \p model by this entry.
void recordForward(RemoteCellView& cell, absl::string_view model);

/// Records in \p cell that a forward of a request for \p model, sent at
/// \p sentAt, ended with any outcome and released its slot. Does nothing if a
/// newer digest already accounts for the forward.
void recordForwardEnded(RemoteCellView& cell, absl::string_view model, TimePoint sentAt);

/// An entry of another cell that may receive a forward.
struct ForwardEntry {
    std::string name;
    bool draining { false };
    bool reachable { true };
};

/// Returns the index in \p entries of the entry to forward to: by rendezvous
/// hashing on \p session, or at random if \p session is empty. Returns nothing if
/// all entries are draining or unreachable.
std::optional<std::size_t> chooseEntryForForward(absl::Span<const ForwardEntry> entries, absl::string_view session, Random& random);

/// Why a receiving entry refuses a forwarded request.
enum class ForwardRefusal { OutsideResidency,
    HopLimit,
    VisitedBefore };

/// Checks a forwarded request at the receiving entry. \p request holds the hop
/// count and the visited zones from the stamp. The stamp consists of the headers that
/// the sending entry added to the request. Its residency is the intersection of the
/// stamp's residency and the one that the receiving entry's configuration of the
/// team states. Returns nothing if the request may be admitted.
std::optional<ForwardRefusal> checkReceivedForward(const RoutingRequest& request, absl::string_view ownZone, absl::string_view ownRegion);

/// Returns the name of \p reason as used in reports, such as "hop-limit".
const char* toString(KeepReason reason);
const char* toString(ForwardRefusal reason);

} // namespace catkinwing
