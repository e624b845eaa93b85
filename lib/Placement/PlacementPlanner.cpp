#include "catkinwing/Placement/PlacementPlanner.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace catkinwing {

namespace {

    /// One endpoint while it is planned.
    struct EndpointDraft {
        const PlannedEndpoint* given { nullptr };
        DesiredState state;
        /// What this plan put there; it is not taken away again.
        std::set<std::string> added;
        /// What this plan took away; it is not put back.
        std::set<std::string> removed;
    };

    /// What an artifact has in all endpoints together.
    struct Standing {
        double supply { 0 };
        std::size_t replicas { 0 };
    };

    /// A plan while it is made.
    struct Draft {
        const PlacementInput& input;
        const PlacementPolicy& policy;
        std::vector<EndpointDraft> endpoints;
        /// Kept up as endpoints change, since it is asked for each candidate.
        std::map<std::string, Standing> standings;
        PlacementPlan plan;
        double budget { 0 };
        /// Models and adapters that couldn't be given another replica since the
        /// last one was placed.
        std::set<std::string> blocked;
        /// Those for which the budget was spent.
        std::set<std::string> deferred;
    };

} // namespace

static double valueOr(const std::map<std::string, double>& values, const std::string& name)
{
    auto found = values.find(name);
    return found == values.end() ? 0 : found->second;
}

static double demandOf(const PlacementInput& input, const std::string& artifact)
{
    return valueOr(input.models.count(artifact) != 0 ? input.modelDemand : input.adapterDemand, artifact);
}

static const ArtifactFacts* factsOf(const PlacementInput& input, const std::string& artifact)
{
    auto model = input.models.find(artifact);
    if (model != input.models.end())
        return &model->second;
    auto adapter = input.adapters.find(artifact);
    return adapter == input.adapters.end() ? nullptr : &adapter->second;
}

static bool hosts(const DesiredState& state, const std::string& artifact)
{
    return state.models.count(artifact) != 0 || state.adapters.count(artifact) != 0;
}

static std::vector<std::string> artifactsOf(const DesiredState& state)
{
    std::vector<std::string> names(state.adapters.begin(), state.adapters.end());
    names.insert(names.end(), state.models.begin(), state.models.end());
    return names;
}

static std::uint64_t bytesOf(const PlacementInput& input, const DesiredState& state)
{
    std::uint64_t bytes = 0;
    for (const auto& name : artifactsOf(state)) {
        const ArtifactFacts* facts = factsOf(input, name);
        bytes += facts ? facts->bytes : 0;
    }
    return bytes;
}

static std::size_t inFlightOf(const EndpointDraft& endpoint, const std::string& artifact)
{
    auto found = endpoint.given->inFlight.find(artifact);
    return found == endpoint.given->inFlight.end() ? 0 : found->second;
}

// The part of an endpoint's capacity that one of its models gets; models that
// nobody asks for take none.
static double capacityFor(const PlacementInput& input, const EndpointDraft& endpoint, const std::string& model)
{
    std::size_t sharers = 1;
    for (const auto& other : endpoint.state.models) {
        if (other != model && demandOf(input, other) > 0)
            ++sharers;
    }
    return endpoint.given->capacity / static_cast<double>(sharers);
}

static double supplyAt(const PlacementInput& input, const EndpointDraft& endpoint, const std::string& artifact)
{
    if (!hosts(endpoint.state, artifact))
        return 0;
    auto adapter = input.adapters.find(artifact);
    return capacityFor(input, endpoint, adapter == input.adapters.end() ? artifact : adapter->second.model);
}

static double supplyOf(const Draft& draft, const std::string& artifact)
{
    auto standing = draft.standings.find(artifact);
    return standing == draft.standings.end() ? 0 : standing->second.supply;
}

static std::size_t replicasOf(const Draft& draft, const std::string& artifact)
{
    auto standing = draft.standings.find(artifact);
    return standing == draft.standings.end() ? 0 : standing->second.replicas;
}

static void countIn(Draft& draft, const EndpointDraft& endpoint)
{
    for (const auto& name : artifactsOf(endpoint.state)) {
        Standing& standing = draft.standings[name];
        standing.supply += supplyAt(draft.input, endpoint, name);
        ++standing.replicas;
    }
}

static void countOut(Draft& draft, const EndpointDraft& endpoint)
{
    for (const auto& name : artifactsOf(endpoint.state)) {
        Standing& standing = draft.standings[name];
        standing.supply -= supplyAt(draft.input, endpoint, name);
        --standing.replicas;
    }
}

// Missing floors go before missing capacity, which is measured as the part of
// the demand that is not met.
static double urgencyOf(const Draft& draft, const std::string& artifact, const ArtifactFacts& facts)
{
    if (replicasOf(draft, artifact) < facts.floor)
        return std::numeric_limits<double>::infinity();
    double wanted = demandOf(draft.input, artifact) * draft.policy.growAt;
    if (wanted <= 0)
        return 0;
    return std::max(0.0, (wanted - supplyOf(draft, artifact)) / wanted);
}

static std::string mostUrgent(const Draft& draft, const std::map<std::string, ArtifactFacts>& artifacts)
{
    std::string chosen;
    double highest = 0;
    for (const auto& [name, facts] : artifacts) {
        if (draft.blocked.count(name) != 0 || draft.deferred.count(name) != 0)
            continue;
        double urgency = urgencyOf(draft, name, facts);
        if (urgency > highest) {
            highest = urgency;
            chosen = name;
        }
    }
    return chosen;
}

// Tells whether a replica may be taken from an endpoint: its floor and
// the demand must still be met without it, and one in use needs another.
static bool isSpare(const Draft& draft, const EndpointDraft& endpoint, const std::string& artifact)
{
    if (endpoint.added.count(artifact) != 0)
        return false;
    bool isInUse = inFlightOf(endpoint, artifact) > 0;
    const ArtifactFacts* facts = factsOf(draft.input, artifact);
    std::size_t floor = facts ? facts->floor : 0;
    std::size_t leftReplicas = replicasOf(draft, artifact) - 1;
    if (leftReplicas < std::max<std::size_t>(floor, isInUse ? 1 : 0))
        return false;
    double demand = demandOf(draft.input, artifact);
    double leftSupply = supplyOf(draft, artifact) - supplyAt(draft.input, endpoint, artifact);
    return demand <= 0 || leftSupply >= demand * draft.policy.shrinkAt;
}

static bool isAdapterOf(const PlacementInput& input, const std::string& artifact, const std::string& model)
{
    auto adapter = input.adapters.find(artifact);
    return adapter != input.adapters.end() && adapter->second.model == model;
}

// A model goes together with its adapters, so these must be spare too.
static bool isSpareWithAdapters(const Draft& draft, const EndpointDraft& endpoint, const std::string& artifact)
{
    auto mayGo = [&](const std::string& adapter) { return !isAdapterOf(draft.input, adapter, artifact) || isSpare(draft, endpoint, adapter); };
    return isSpare(draft, endpoint, artifact) && std::all_of(endpoint.state.adapters.begin(), endpoint.state.adapters.end(), mayGo);
}

static void takeAway(const PlacementInput& input, DesiredState& state, const std::string& artifact)
{
    state.models.erase(artifact);
    state.adapters.erase(artifact);
    for (auto adapter = state.adapters.begin(); adapter != state.adapters.end();)
        adapter = isAdapterOf(input, *adapter, artifact) ? state.adapters.erase(adapter) : std::next(adapter);
}

// What may go, in the order in which it goes: unknown and unused first, then
// the least asked for.
static std::vector<std::string> spareArtifacts(const Draft& draft, const EndpointDraft& endpoint, const std::string& keep)
{
    std::vector<std::string> spare;
    for (const auto& name : artifactsOf(endpoint.state)) {
        if (!isAdapterOf(draft.input, keep, name) && isSpareWithAdapters(draft, endpoint, name))
            spare.push_back(name);
    }
    auto rank = [&](const std::string& name) {
        bool isKnown = factsOf(draft.input, name) != nullptr;
        return std::make_tuple(isKnown, inFlightOf(endpoint, name) > 0, demandOf(draft.input, name), name);
    };
    std::sort(spare.begin(), spare.end(), [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
    return spare;
}

/// A way to give one artifact a place on one endpoint.
struct Placing {
    DesiredState state;
    std::size_t unloads { 0 };
    bool isPossible { false };
};

// Says how to make room for the artifact on this endpoint, if it can be made.
static Placing placeOn(const Draft& draft, const EndpointDraft& endpoint, const std::string& artifact, const ArtifactFacts& facts)
{
    Placing placing;
    bool hasBase = facts.model.empty() || endpoint.state.models.count(facts.model) != 0;
    if (hosts(endpoint.state, artifact) || endpoint.removed.count(artifact) != 0 || !hasBase)
        return placing;
    placing.state = endpoint.state;
    std::uint64_t room = endpoint.given->memoryBytes;
    if (facts.bytes > room)
        return placing;
    auto fits = [&] { return bytesOf(draft.input, placing.state) + facts.bytes <= room; };
    placing.isPossible = fits();
    if (placing.isPossible)
        return placing;
    for (const auto& victim : spareArtifacts(draft, endpoint, artifact)) {
        if (fits())
            break;
        // An adapter must not push out a base model.
        if (!facts.model.empty() && endpoint.state.models.count(victim) != 0)
            continue;
        takeAway(draft.input, placing.state, victim);
        ++placing.unloads;
    }
    placing.isPossible = fits();
    return placing;
}

static EndpointDraft afterPlacing(const EndpointDraft& endpoint, const Placing& placing, const std::string& model)
{
    EndpointDraft after = endpoint;
    after.state = placing.state;
    after.state.models.insert(model);
    return after;
}

// What is lost for the endpoint's other models when they share it with one more.
static double harmOf(const Draft& draft, const EndpointDraft& endpoint, const Placing& placing, const std::string& artifact)
{
    if (draft.input.models.count(artifact) == 0 || demandOf(draft.input, artifact) <= 0)
        return 0;
    EndpointDraft after = afterPlacing(endpoint, placing, artifact);
    double harm = 0;
    for (const auto& other : placing.state.models) {
        double wanted = demandOf(draft.input, other) * draft.policy.growAt;
        double lost = supplyAt(draft.input, endpoint, other) - supplyAt(draft.input, after, other);
        double slack = supplyOf(draft, other) - wanted;
        harm += std::max(0.0, lost - std::max(0.0, slack));
    }
    return harm;
}

// Sharing that costs others as much as it brings would only move the shortage.
static bool isWorthwhile(const Draft& draft, const EndpointDraft& endpoint, const Placing& placing, const std::string& artifact, const ArtifactFacts& facts)
{
    bool isFloorMissing = replicasOf(draft, artifact) < facts.floor;
    if (isFloorMissing || !facts.model.empty())
        return true;
    double gain = supplyAt(draft.input, afterPlacing(endpoint, placing, artifact), artifact);
    return harmOf(draft, endpoint, placing, artifact) < gain;
}

// Lower is better. Among equals the endpoint with less demand for its adapters
// is taken, which spreads them.
static std::tuple<double, std::size_t, double, std::uint64_t, std::string> rankOf(const Draft& draft, const EndpointDraft& endpoint, const Placing& placing, const std::string& artifact)
{
    double adapterDemand = 0;
    for (const auto& adapter : placing.state.adapters)
        adapterDemand += demandOf(draft.input, adapter);
    return { harmOf(draft, endpoint, placing, artifact), placing.unloads, adapterDemand, bytesOf(draft.input, placing.state), endpoint.given->name };
}

static void noteRemoved(EndpointDraft& endpoint, const DesiredState& next, PlacementPlan& plan)
{
    for (const auto& name : artifactsOf(endpoint.state)) {
        if (hosts(next, name))
            continue;
        endpoint.removed.insert(name);
        ++plan.unloads;
    }
}

static void commit(Draft& draft, EndpointDraft& endpoint, Placing placing, const std::string& artifact, const ArtifactFacts& facts)
{
    countOut(draft, endpoint);
    noteRemoved(endpoint, placing.state, draft.plan);
    endpoint.state = std::move(placing.state);
    (facts.model.empty() ? endpoint.state.models : endpoint.state.adapters).insert(artifact);
    endpoint.added.insert(artifact);
    countIn(draft, endpoint);
    draft.plan.loads.push_back({ endpoint.given->name, artifact, facts.bytes });
    draft.budget -= static_cast<double>(facts.bytes);
    // What was in the way of the others may have changed.
    draft.blocked.clear();
}

static void addReplica(Draft& draft, const std::string& artifact, const ArtifactFacts& facts)
{
    if (draft.budget <= 0) {
        draft.deferred.insert(artifact);
        return;
    }
    EndpointDraft* best = nullptr;
    Placing bestPlacing;
    for (auto& endpoint : draft.endpoints) {
        Placing placing = placeOn(draft, endpoint, artifact, facts);
        if (!placing.isPossible)
            continue;
        bool isBetter = !best || rankOf(draft, endpoint, placing, artifact) < rankOf(draft, *best, bestPlacing, artifact);
        if (!isBetter)
            continue;
        best = &endpoint;
        bestPlacing = std::move(placing);
    }
    if (!best || !isWorthwhile(draft, *best, bestPlacing, artifact, facts)) {
        draft.blocked.insert(artifact);
        return;
    }
    commit(draft, *best, std::move(bestPlacing), artifact, facts);
}

static void meetDemand(Draft& draft, const std::map<std::string, ArtifactFacts>& artifacts)
{
    for (std::string name = mostUrgent(draft, artifacts); !name.empty(); name = mostUrgent(draft, artifacts))
        addReplica(draft, name, artifacts.at(name));
    draft.plan.unplaced.insert(draft.plan.unplaced.end(), draft.blocked.begin(), draft.blocked.end());
    draft.blocked.clear();
}

static Draft beginDraft(const PlacementInput& input, const PlacementPolicy& policy)
{
    Draft draft { input, policy, {}, {}, {}, input.loadBudgetBytes, {}, {} };
    for (const auto& endpoint : input.endpoints) {
        if (endpoint.isLeaving)
            continue;
        EndpointDraft begun;
        begun.given = &endpoint;
        begun.state = endpoint.current;
        begun.state.role = endpoint.role;
        countIn(draft, begun);
        draft.endpoints.push_back(std::move(begun));
    }
    return draft;
}

PlacementPlan planPlacement(const PlacementInput& input, const PlacementPolicy& policy)
{
    Draft draft = beginDraft(input, policy);
    // Adapters may have given up room that a model wants, so both are gone
    // through until nothing more is placed.
    std::size_t placed = 0;
    do {
        placed = draft.plan.loads.size();
        draft.plan.unplaced.clear();
        meetDemand(draft, input.models);
        meetDemand(draft, input.adapters);
    } while (draft.plan.loads.size() != placed);
    for (auto& endpoint : draft.endpoints)
        draft.plan.desired[endpoint.given->name] = std::move(endpoint.state);
    draft.plan.deferred = draft.deferred.size();
    return std::move(draft.plan);
}

} // namespace catkinwing
