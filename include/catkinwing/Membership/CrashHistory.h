#pragma once

#include "catkinwing/Support/Clock.h"
#include <cstdint>
#include <optional>
#include <vector>

namespace catkinwing {

/// The crash of an endpoint while it ran a request.
struct EndpointCrash {
    /// Hash of the incarnation of the endpoint; each incarnation crashes at most once.
    std::uint32_t endpoint { 0 };
    TimePoint at {};
    /// Time between the dispatch of the request to the endpoint and the crash.
    Duration ranFor { 0 };
};

/// The known endpoint crashes during attempts of one request.
struct CrashHistory {
    /// Sorted by time; bounded, the oldest are dropped first.
    std::vector<EndpointCrash> crashes;
    /// Time of the last answer of an endpoint to the request. Earlier crashes don't count.
    TimePoint survivedAt {};
    /// The request is refused until this time.
    TimePoint refusedUntil {};
    /// Number of refusal periods so far; each one is longer than the one before.
    unsigned refusals { 0 };
};

/// Number of separate crashes after which a request is refused.
constexpr std::size_t crashesBeforeRefusal = 3;

/// Returns the number of separate crashes. Crashes at nearly the same time count as
/// one, since they probably have a common cause, such as a power loss. A crash of an
/// endpoint that received the request only after the previous crash is separate.
std::size_t separateCrashes(const CrashHistory& history);

/// Records a crash. Starts a refusal period after \c crashesBeforeRefusal separate
/// crashes, or after a single crash once an earlier refusal period has ended. Returns
/// whether the history has changed.
bool recordCrash(CrashHistory& history, const EndpointCrash& crash);

/// Records that an endpoint answered the request, and removes earlier crashes, since
/// the request did not cause them. Returns whether the history has changed.
bool recordSurvival(CrashHistory& history, TimePoint at);

/// Merges the history of another entry; the result doesn't depend on the order of
/// merges. Returns whether the history has changed.
bool mergeHistory(CrashHistory& history, const CrashHistory& other);

/// Removes crashes of \p endpoint, which another request caused. Returns whether there
/// were any.
bool removeCrash(CrashHistory& history, std::uint32_t endpoint);

/// Removes crashes that are too old to be related. Returns whether the history can be
/// dropped altogether.
bool pruneHistory(CrashHistory& history, TimePoint now);

} // namespace catkinwing
