#pragma once

#include "catkinwing/Support/Clock.h"
#include "catkinwing/Support/SocketAddress.h"
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace catkinwing {

/// What an endpoint is to have loaded; declarative, so that giving it twice
/// changes nothing. A model's id includes its version, such as "sizes@3".
struct DesiredState {
    std::set<std::string> models;
    std::set<std::string> adapters;
    /// Role of the engine, such as "mixed", "prefill" or "decode"; empty leaves it as it is.
    std::string role;
};

bool operator==(const DesiredState& a, const DesiredState& b);
inline bool operator!=(const DesiredState& a, const DesiredState& b) { return !(a == b); }

/// What an endpoint says of itself.
struct ReportedState {
    /// Highest fencing number it has obeyed; zero if it keeps none.
    std::int64_t fencing { 0 };
    std::set<std::string> models;
    std::set<std::string> adapters;
    std::string role;
    std::string incarnation;
};

/// Tells whether \p state is what \p desired asks for.
bool fulfils(const ReportedState& state, const DesiredState& desired);

/// An endpoint that takes orders.
struct OrderedEndpoint {
    /// Name in the configuration.
    std::string name;
    SocketAddress admin;
    /// It refuses orders with a lower fencing number than it has seen.
    bool honoursFencing { false };
    /// It checks who gives it orders.
    bool checksCaller { false };
};

/// A model or an adapter as the planner needs it.
struct ArtifactFacts {
    std::uint64_t bytes { 0 };
    /// Base model of an adapter; empty for a model.
    std::string model;
    /// Fewest replicas in the zone, whatever the demand.
    std::size_t floor { 0 };
};

/// One endpoint as the planner needs it.
struct PlannedEndpoint {
    std::string name;
    /// Memory for models and adapters.
    std::uint64_t memoryBytes { 0 };
    /// Tokens per second it can serve, divided among its models.
    double capacity { 0 };
    /// What it was last ordered to have, or has if nothing was ordered.
    DesiredState current;
    /// Role that it is to have; empty leaves it as it is.
    std::string role;
    /// Requests in flight by model or adapter id.
    std::map<std::string, std::size_t> inFlight;
    /// Gets no load; what it has counts for nothing.
    bool isLeaving { false };
};

/// All that a plan is made from.
struct PlacementInput {
    std::map<std::string, ArtifactFacts> models;
    std::map<std::string, ArtifactFacts> adapters;
    /// Tokens per second by model id, smoothed; adapters' demand included.
    std::map<std::string, double> modelDemand;
    /// Tokens per second by adapter id, smoothed.
    std::map<std::string, double> adapterDemand;
    std::vector<PlannedEndpoint> endpoints;
    /// Bytes that may be loaded now. Loads start while it is positive, and the
    /// last one may exceed it.
    double loadBudgetBytes { 0 };
};

/// Constants of the planner.
struct PlacementPolicy {
    /// Replicas are added when capacity falls below demand times this.
    double growAt { 1.15 };
    /// A replica may be taken away only if what is left exceeds demand times
    /// this; the gap to growAt is the hysteresis.
    double shrinkAt { 1.6 };
};

/// One load that a plan causes.
struct PlannedLoad {
    std::string endpoint;
    std::string artifact;
    std::uint64_t bytes { 0 };
};

/// The desired state of every endpoint that is not leaving, and what it costs.
struct PlacementPlan {
    std::map<std::string, DesiredState> desired;
    std::vector<PlannedLoad> loads;
    /// Replicas taken away to make room.
    std::size_t unloads { 0 };
    /// Loads put off because the budget was spent.
    std::size_t deferred { 0 };
    /// Models and adapters for which no endpoint has room.
    std::vector<std::string> unplaced;
};

} // namespace catkinwing
