#include "catkinwing/Routing/Forwarding.h"

#include "Seconds.h"
#include "catkinwing/Routing/CallerSteering.h"
#include <algorithm>
#include <cmath>
#include <limits>

namespace catkinwing {

/// Cells whose predictions exceed the best one by at most this count as equal.
static constexpr Duration predictionTolerance = std::chrono::milliseconds(5);

static bool hasVisited(const RoutingRequest& request, absl::string_view zone)
{
    return std::any_of(request.visitedZones.begin(), request.visitedZones.end(), [zone](const std::string& visited) { return visited == zone; });
}

unsigned forwardAllowance(const RemoteCellView& cell, const RemoteModelView& model, const ForwardPolicy& policy, TimePoint now)
{
    double age = toSeconds(std::max(now - cell.digestAt, Duration::zero()));
    double freshness = 1 - age / toSeconds(policy.maxDigestAge);
    if (freshness <= 0)
        return 0;
    double ramp = slowStartWeight(policy.slowStart, cell.reachableSince, now);
    double share = model.freeSlots * freshness * ramp / std::max(policy.senders, 1U);
    auto allowed = static_cast<unsigned>(std::floor(share + cell.digestDither));
    return allowed > model.forwardsSinceDigest ? allowed - model.forwardsSinceDigest : 0;
}

static const RemoteModelView* findModel(const RemoteCellView& cell, const std::string& model)
{
    auto known = cell.models.find(model);
    return known == cell.models.end() ? nullptr : &known->second;
}

// Disables slow start for requests that this cell can't serve: a cell with cold
// caches is better than a refusal.
static ForwardPolicy allowancePolicy(const ForwardInputs& inputs)
{
    ForwardPolicy policy = inputs.policy;
    if (!inputs.localPrediction)
        policy.slowStart.initialWeight = 1;
    return policy;
}

static bool isEligibleTarget(const ForwardInputs& inputs, const RemoteCellView& cell)
{
    if (!isAllowed(inputs.request.residency, cell.region))
        return false;
    if (cell.zone == inputs.ownZone || hasVisited(inputs.request, cell.zone))
        return false;
    if (cell.draining || !cell.reachable)
        return false;
    const RemoteModelView* model = findModel(cell, inputs.request.model);
    return model && forwardAllowance(cell, *model, allowancePolicy(inputs), inputs.now) > 0;
}

static Duration predictRemote(const ForwardInputs& inputs, const RemoteCellView& cell)
{
    const RemoteModelView& model = *findModel(cell, inputs.request.model);
    // The prefix indexes of other cells are unknown, so the whole prompt counts
    // as uncached. Each unfinished forward since the digest is assumed to prefill
    // as many tokens ahead of this request.
    double prefills = 1.0 + model.forwardsSinceDigest;
    Duration prefill = fromSeconds(prefills * inputs.request.promptTokens / std::max(model.prefillTokensPerSecond, 1.0));
    return cell.roundTripTime + model.predictedWait + prefill;
}

static bool missesDeadline(const ForwardInputs& inputs, Duration prediction)
{
    return inputs.request.timeLeft && prediction > *inputs.request.timeLeft;
}

/// Returns the gain that a forward to another zone or region must exceed.
static Duration thresholdFor(const ForwardInputs& inputs, const ForwardState& state, bool otherRegion)
{
    // If the request would miss its deadline here, any gain is enough.
    if (inputs.localPrediction && missesDeadline(inputs, *inputs.localPrediction))
        return Duration::zero();
    const ForwardPolicy& policy = inputs.policy;
    double factor = (otherRegion ? state.forwardingToRegions : state.forwardingToZones) ? policy.keepFactor : 1;
    if (otherRegion)
        factor *= 1 + policy.sharePenalty * crossRegionShare(state) / policy.targetShare;
    Duration base = otherRegion ? policy.regionThreshold : policy.zoneThreshold;
    return fromSeconds(toSeconds(base) * factor);
}

namespace {

    /// The cells that can receive the request, all in this region or all in other
    /// regions, and the shortest prediction among them.
    struct Receivers {
        std::vector<Forward> forwards;
        Duration best { Duration::max() };
    };

} // namespace

static Receivers findReceivers(const ForwardInputs& inputs, bool otherRegion)
{
    Receivers receivers;
    for (std::size_t i = 0; i < inputs.cells.size(); ++i) {
        const RemoteCellView& cell = inputs.cells[i];
        if ((cell.region != inputs.ownRegion) != otherRegion || !isEligibleTarget(inputs, cell))
            continue;
        Duration prediction = predictRemote(inputs, cell);
        if (missesDeadline(inputs, prediction))
            continue;
        Duration gain = inputs.localPrediction ? *inputs.localPrediction - prediction : Duration::max();
        receivers.forwards.push_back({ i, otherRegion, prediction, gain });
        receivers.best = std::min(receivers.best, prediction);
    }
    return receivers;
}

static Forward chooseNearBest(const Receivers& receivers, Random& random)
{
    std::vector<const Forward*> nearBest;
    for (const Forward& forward : receivers.forwards) {
        if (forward.predictedTimeToFirstToken - receivers.best <= predictionTolerance)
            nearBest.push_back(&forward);
    }
    return *nearBest[random.below(nearBest.size())];
}

/// Returns the forward to one of \p receivers if its gain exceeds the threshold,
/// and updates the hysteresis flag.
static std::optional<Forward> chooseReceiver(const Receivers& receivers, const ForwardInputs& inputs, ForwardState& state, bool otherRegion, Random& random)
{
    bool& forwarding = otherRegion ? state.forwardingToRegions : state.forwardingToZones;
    Duration threshold = thresholdFor(inputs, state, otherRegion);
    bool worthwhile = !receivers.forwards.empty() && (!inputs.localPrediction || *inputs.localPrediction - receivers.best > threshold);
    forwarding = worthwhile;
    if (!worthwhile)
        return std::nullopt;
    return chooseNearBest(receivers, random);
}

ForwardDecision decideForward(const ForwardInputs& inputs, ForwardState& state, Random& random)
{
    if (inputs.request.hop >= maxForwardHops)
        return KeepLocal { KeepReason::HopLimit };
    bool anyReceiver = false;
    for (bool otherRegion : { false, true }) {
        Receivers receivers = findReceivers(inputs, otherRegion);
        anyReceiver = anyReceiver || !receivers.forwards.empty();
        if (std::optional<Forward> forward = chooseReceiver(receivers, inputs, state, otherRegion, random))
            return *forward;
    }
    return KeepLocal { anyReceiver ? KeepReason::GainTooSmall : KeepReason::NoCandidate };
}

void recordRouted(ForwardState& state, const ForwardPolicy& policy, bool toOtherRegion, TimePoint now)
{
    double elapsed = toSeconds(std::max(now - state.countedAt, Duration::zero()));
    double decay = std::exp(-elapsed / toSeconds(policy.shareWindow));
    state.requests = state.requests * decay + 1;
    state.forwardedToRegions = state.forwardedToRegions * decay + (toOtherRegion ? 1 : 0);
    state.countedAt = now;
}

double crossRegionShare(const ForwardState& state)
{
    return state.requests > 0 ? state.forwardedToRegions / state.requests : 0;
}

void recordForward(RemoteCellView& cell, absl::string_view model)
{
    auto known = cell.models.find(std::string(model));
    if (known != cell.models.end())
        known->second.forwardsSinceDigest += 1;
}

void recordForwardEnded(RemoteCellView& cell, absl::string_view model, TimePoint sentAt)
{
    auto known = cell.models.find(std::string(model));
    if (known == cell.models.end() || sentAt < cell.digestAt || known->second.forwardsSinceDigest == 0)
        return;
    known->second.forwardsSinceDigest -= 1;
}

std::optional<std::size_t> chooseEntryForForward(absl::Span<const ForwardEntry> entries, absl::string_view session, Random& random)
{
    std::optional<std::size_t> chosen;
    double bestScore = -std::numeric_limits<double>::infinity();
    for (std::size_t i = 0; i < entries.size(); ++i) {
        if (entries[i].draining || !entries[i].reachable)
            continue;
        double score = session.empty() ? random.unit() : rendezvousScore(session, entries[i].name, 1);
        if (score <= bestScore)
            continue;
        bestScore = score;
        chosen = i;
    }
    return chosen;
}

std::optional<ForwardRefusal> checkReceivedForward(const RoutingRequest& request, absl::string_view ownZone, absl::string_view ownRegion)
{
    if (!isAllowed(request.residency, ownRegion))
        return ForwardRefusal::OutsideResidency;
    if (request.hop > maxForwardHops)
        return ForwardRefusal::HopLimit;
    if (hasVisited(request, ownZone))
        return ForwardRefusal::VisitedBefore;
    return std::nullopt;
}

const char* toString(KeepReason reason)
{
    switch (reason) {
    case KeepReason::HopLimit:
        return "hop-limit";
    case KeepReason::NoCandidate:
        return "no-candidate";
    case KeepReason::GainTooSmall:
        return "gain-too-small";
    }
    return "unknown";
}

const char* toString(ForwardRefusal reason)
{
    switch (reason) {
    case ForwardRefusal::OutsideResidency:
        return "outside-residency";
    case ForwardRefusal::HopLimit:
        return "hop-limit";
    case ForwardRefusal::VisitedBefore:
        return "visited-before";
    }
    return "unknown";
}

} // namespace catkinwing
