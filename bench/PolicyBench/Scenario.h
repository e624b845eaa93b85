#pragma once

#include "EngineFake.h"
#include "catkinwing/Admission/AdmissionLimits.h"
#include <string>
#include <vector>

namespace catkinwing::bench {

/// One availability zone with its own entries and engines.
struct ZonePlan {
    std::string name;
    std::string region;
    std::size_t entries { 1 };
    std::size_t engines { 2 };
};

/// A rate of arrivals that holds for a while.
struct RatePhase {
    Duration from { 0 };
    Duration until { 0 };
    double perSecond { 0 };
};

/// Requests of one team and class from one zone.
struct LoadPlan {
    std::string zone;
    std::string team;
    std::string requestClass;
    double perSecond { 0 };
    std::vector<RatePhase> phases;
    /// Sessions that requests belong to; none where zero.
    std::size_t sessions { 0 };
    unsigned teamBlocks { 8 };
    double sessionBlocks { 0 };
    double tailTokens { 100 };
    double outputTokens { 60 };
    /// Part that may not leave the region.
    double homePart { 0.11 };
    double nonIdempotentPart { 0.1 };
};

/// What a class of request is promised.
struct ClassPlan {
    std::string name;
    WorkKind kind { WorkKind::Short };
    double weight { 1 };
    /// When the caller gives up.
    Duration timeout { 0 };
    /// First token by then counts as on time.
    Duration target { 0 };
};

struct TeamPlan {
    std::string name;
    double share { 1 };
};

enum class FaultKind { EnginesDead,
    EngineSlow,
    Partition,
    CachesCleared };

/// Something that goes wrong for a while.
struct FaultPlan {
    FaultKind kind { FaultKind::EnginesDead };
    Duration from { 0 };
    Duration until { 0 };
    /// Region concerned; the one that is cut off in a partition.
    std::string region;
    /// Part of the region's engines, rounded up.
    double part { 1 };
    double slowFactor { 5 };
};

/// A deployment, its load and its faults.
struct Scenario {
    std::string name;
    /// True where demand exceeds capacity for a while.
    bool overload { false };
    std::vector<ZonePlan> zones;
    std::vector<TeamPlan> teams;
    std::vector<ClassPlan> classes;
    std::vector<LoadPlan> loads;
    std::vector<FaultPlan> faults;
    EngineSettings engine;
    Duration zoneLatency { std::chrono::milliseconds(1) };
    Duration regionLatency { std::chrono::milliseconds(55) };
    Duration clientLatency { std::chrono::milliseconds(1) };
    Duration length { std::chrono::seconds(300) };
};

/// Returns all scenarios, in the order of the report.
std::vector<Scenario> allScenarios();

} // namespace catkinwing::bench
