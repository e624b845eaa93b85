#pragma once

#include "catkinwing/Config/ConfigFault.h"
#include "catkinwing/Config/KeySettings.h"
#include "catkinwing/Support/Clock.h"
#include <absl/strings/string_view.h>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace catkinwing {

/// A plain service that a team may use.
struct TeamService {
    std::string name;
    /// Methods whose requests are idempotent.
    std::vector<std::string> idempotentMethods { "GET", "HEAD", "OPTIONS" };
};

/// Where a team's requests may be processed.
struct ResidencySettings {
    std::vector<std::string> regions;
};

/// What the service level of a class is measured by.
struct ClassTargets {
    Duration timeToFirstToken { std::chrono::milliseconds(1600) };
    Duration timePerToken { std::chrono::milliseconds(38) };
    /// Fraction of requests that must meet the targets.
    double ratio { 0.95 };
};

/// A class of request.
struct RequestClass {
    std::string name;
    /// Time within which a request must be answered whole.
    Duration timeout {};
    /// The highest goes first.
    int priority { 0 };
    /// Finds room beside long work.
    bool shortRequest { false };
    /// The model's default if absent.
    std::optional<std::int64_t> expectedOutputTokens;
    /// Largest fraction of the slots that the class holds at a time.
    double maximumSlotFraction { 1 };
    ClassTargets targets;
};

/// Limits of a team in each entry.
struct TeamLimitSettings {
    std::int64_t maximumInFlight { 256 };
    std::int64_t maximumQueued { 256 };
    std::int64_t maximumBodyBytes { 1000000 };
    /// Requests that one caller's key has running or waiting.
    std::int64_t maximumPerCaller { 64 };
    /// No limit if absent.
    std::optional<double> requestsPerSecond;
};

/// One team.
struct TeamDocument {
    std::string name;
    /// Weight of the team's fair share.
    double share { 1 };
    std::vector<KeySettings> keys;
    /// Tokens that reach this document alone.
    std::vector<KeySettings> operatorTokens;
    std::vector<std::string> models;
    std::vector<std::string> adapters;
    std::vector<TeamService> services;
    /// Anywhere if absent.
    std::optional<ResidencySettings> residency;
    std::vector<RequestClass> classes;
    std::string defaultClass;
    TeamLimitSettings limits;
};

/// Reads the document `teams/NAME` of the team \p name.
ConfigResult<TeamDocument> parseTeamDocument(absl::string_view name, absl::string_view text);

/// Returns the class \p name of \p team, or nullptr.
const RequestClass* findClass(const TeamDocument& team, absl::string_view name);

/// Returns whether the requests of \p team may be processed in \p region.
bool mayProcessIn(const TeamDocument& team, absl::string_view region);

} // namespace catkinwing
