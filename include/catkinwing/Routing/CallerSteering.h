#pragma once

#include "catkinwing/Routing/ResidencyFilter.h"
#include "catkinwing/Routing/SlowStart.h"
#include <absl/types/span.h>
#include <cstdint>

namespace catkinwing {

/// An entry that callers could use.
struct EntryView {
    /// Name that stays the same over address changes.
    std::string name;
    std::string zone;
    std::string region;
    bool draining { false };
    bool reachable { true };
    /// Models that its cell serves.
    std::vector<std::string> models;
    /// Part of its cell's capacity, above 0; scales its share of sessions.
    double weight { 1 };
    /// Round trip from the entry that was asked.
    Duration roundTripTime { 0 };
    /// Since when it has been up or reachable again.
    TimePoint since {};
};

/// What the order of entries depends on.
struct SteeringRequest {
    Residency residency;
    std::string model;
    std::string team;
    /// Session that the caller named; empty for none.
    std::string session;
    /// Random number of this call; it spreads callers that name no session.
    std::uint64_t spread { 0 };
    /// Place of the caller, by default that of the entry that was asked.
    std::string zone;
    std::string region;
};

/// Returns the places in \p entries of those to use, best first. Left out are
/// entries that drain, don't answer or lie outside the residency. Those of the
/// caller's region that serve the model come first: for a session by rendezvous
/// hash, so that few sessions move when an entry comes or goes, else its own
/// zone before the others. Other regions follow by distance, and last those
/// that don't serve the model and would have to forward.
std::vector<std::size_t> steerCallers(const SteeringRequest& request, absl::Span<const EntryView> entries, const SlowStartPolicy& slowStart, TimePoint now);

/// Returns the weighted rendezvous score of \p node for \p key; highest wins.
double rendezvousScore(absl::string_view key, absl::string_view node, double weight);

} // namespace catkinwing
