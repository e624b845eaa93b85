#pragma once

#include "catkinwing/Support/Clock.h"
#include <cstdint>
#include <optional>
#include <vector>

namespace catkinwing {

/// The crash of an endpoint while it ran a request.
struct EndpointCrash {
    /// Hash of the start of the endpoint; each start crashes once.
    std::uint32_t endpoint { 0 };
    TimePoint at {};
    /// How long the request had been there.
    Duration ranFor { 0 };
};

/// What is known of the endpoints that crashed under one request.
struct CrashHistory {
    /// In the order of their times; bounded, the latest stay.
    std::vector<EndpointCrash> crashes;
    /// When an endpoint last answered the request; crashes before say nothing.
    TimePoint survivedAt {};
    /// No endpoint gets the request until then.
    TimePoint refusedUntil {};
    /// How often it has been refused; each time for longer.
    unsigned refusals { 0 };
};

/// Crashes after which a request is refused.
constexpr std::size_t crashesBeforeRefusal = 3;

/// Returns the number of crashes that came one after another. Endpoints that go
/// at the same moment have a cause of their own, such as a loss of power; one that
/// ran the request from after the crash before isn't among them.
std::size_t separateCrashes(const CrashHistory& history);

/// Takes a crash, and refuses the request after the third one; after a refusal
/// has ended, after the first. Returns whether the history has changed.
bool noteCrash(CrashHistory& history, const EndpointCrash& crash);

/// An endpoint answered the request: what crashed before had another cause.
/// Returns whether the history has changed.
bool noteSurvived(CrashHistory& history, TimePoint at);

/// Takes what another entry knows; the same in any order. Returns whether the
/// history has changed.
bool mergeHistory(CrashHistory& history, const CrashHistory& other);

/// Takes out crashes at \p endpoint, which another request caused.
bool removeCrash(CrashHistory& history, std::uint32_t endpoint);

/// Forgets crashes that are too old to belong together; returns whether nothing is left to know.
bool isForgotten(CrashHistory& history, TimePoint now);

} // namespace catkinwing
