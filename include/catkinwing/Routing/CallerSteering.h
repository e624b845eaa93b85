#pragma once

#include "catkinwing/Routing/ResidencyFilter.h"
#include "catkinwing/Routing/SlowStart.h"
#include <absl/types/span.h>
#include <cstdint>

namespace catkinwing {

/// An entry to which callers can be directed.
struct EntryView {
    /// Stable name; independent of the entry's address.
    std::string name;
    std::string zone;
    std::string region;
    bool draining { false };
    bool reachable { true };
    /// Models served by the entry's cell.
    std::vector<std::string> models;
    /// The entry's share of its cell's capacity, above 0; scales its share of
    /// sessions.
    double weight { 1 };
    /// Round-trip time from the entry that answers the caller's query.
    Duration roundTripTime { 0 };
    /// When the entry started or became reachable again.
    TimePoint availableSince {};
};

/// Inputs that determine the order of entries for a caller.
struct SteeringRequest {
    Residency residency;
    std::string model;
    std::string team;
    /// Session ID given by the caller; empty if none.
    std::string session;
    /// Random number of this query; distributes callers without a session ID.
    std::uint64_t spread { 0 };
    /// Zone and region of the caller; by default those of the entry that answers
    /// the query.
    std::string zone;
    std::string region;
};

/// Returns the indexes in \p entries of the usable entries, best first. Entries
/// that drain, are unreachable or lie outside the residency are omitted. Entries
/// of the caller's region that serve the model come first. With a session they
/// are ordered by rendezvous hash, so that few sessions move when an entry is
/// added or removed; without one, those in the caller's zone come first. Entries
/// of other regions follow by round-trip time. Entries that don't serve the model
/// come last, since they would have to forward the request.
std::vector<std::size_t> rankEntries(const SteeringRequest& request, absl::Span<const EntryView> entries, const SlowStartPolicy& slowStart, TimePoint now);

/// Returns the weighted rendezvous-hash score of \p node for \p key. The node
/// with the highest score owns the key.
double rendezvousScore(absl::string_view key, absl::string_view node, double weight);

} // namespace catkinwing
