#pragma once

#include "catkinwing/Membership/CrashSuspect.h"
#include "catkinwing/Support/Clock.h"
#include <cstdint>
#include <optional>
#include <vector>

namespace catkinwing {

/// The crash of an endpoint while it ran a request with a suspect.
struct EndpointCrash {
    /// Hash of the incarnation of the endpoint; each incarnation crashes at most once.
    std::uint32_t endpoint { 0 };
    TimePoint at {};
    /// Time between the dispatch of the request to the endpoint and the crash.
    Duration ranFor { 0 };
};

/// The known endpoint crashes during attempts of requests with one suspect.
struct CrashHistory {
    SuspectKind kind { SuspectKind::Request };
    /// Sorted by time; bounded, the oldest are dropped first.
    std::vector<EndpointCrash> crashes;
    /// Time of the last answer of an endpoint to a request with the suspect. Earlier crashes
    /// don't count.
    TimePoint survivedAt {};
    /// Requests with the suspect are refused until this time, except for trials.
    TimePoint refusedUntil {};
    /// Number of refusal periods so far; each one is longer than the one before.
    unsigned refusals { 0 };
};

/// Number of separate crashes after which a suspect is refused.
constexpr std::size_t crashesBeforeRefusal = 3;
/// The same number for a prompt segment that endpoints answered in the last
/// \c survivalEvidence. Many requests share such a segment, so that it is present at most
/// crashes whatever their cause.
constexpr std::size_t crashesOfSurvivorBeforeRefusal = 8;
/// Time for which an answer is evidence that its suspects crash no endpoints.
constexpr std::chrono::seconds survivalEvidence { 30 };

/// Returns the number of separate crashes. Crashes at nearly the same time count as
/// one, since they probably have a common cause, such as a power loss. A crash of an
/// endpoint that received the request only after the previous crash is separate.
std::size_t separateCrashes(const CrashHistory& history);

/// Records a crash. Starts a refusal period after enough separate crashes, or after a single
/// crash of a trial. Returns whether the history has changed.
bool recordCrash(CrashHistory& history, const EndpointCrash& crash);

/// Returns the time from which one request at a time is tried although its suspect is refused.
/// The history must have a refusal.
TimePoint trialStart(const CrashHistory& history);

/// Records that an endpoint answered a request with the suspect, and removes earlier crashes,
/// since the suspect did not cause them. Returns whether the history has changed.
bool recordSurvival(CrashHistory& history, TimePoint at);

/// Merges the history of another entry; the result doesn't depend on the order of
/// merges. Returns whether the history has changed.
bool mergeHistory(CrashHistory& history, const CrashHistory& other);

/// Removes crashes of \p endpoint, which another suspect caused. Returns whether there
/// were any.
bool removeCrash(CrashHistory& history, std::uint32_t endpoint);

/// Removes crashes that are too old to be related. Returns whether the history can be
/// dropped altogether.
bool pruneHistory(CrashHistory& history, TimePoint now);

} // namespace catkinwing
