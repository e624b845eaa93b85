#pragma once

#include "catkinwing/Support/Clock.h"
#include "catkinwing/Support/Random.h"
#include <absl/strings/string_view.h>
#include <absl/types/span.h>
#include <cstdint>
#include <optional>
#include <string>

namespace catkinwing {

/// Work that an endpoint has before it, as far as the entries of its region know.
struct EndpointWork {
    /// Requests that it has not answered.
    double requests { 0 };
    /// Thousands of prompt tokens that it has not read.
    double unreadKilotokens { 0 };
};

/// An endpoint that may be chosen.
struct EndpointCandidate {
    /// Index in the caller's own list.
    std::size_t index { 0 };
    absl::string_view incarnation;
    /// How long the request would wait before the endpoint began with it.
    Duration wait { 0 };
    /// What the endpoint has to do, as a time: its wait, and how much the
    /// requests that run there slow each other.
    Duration load { 0 };
    /// Failed not long ago; chosen only if all others have failed too.
    bool isSuspect { false };
    /// The request would wait for longer than it may; chosen only for its shared part.
    bool isTooBusy { false };
    /// It probably keeps the request's shared part.
    bool holdsPart { false };
};

/// What the choice depends on beside the candidates.
struct EndpointDemand {
    /// Names the shared part of the prompt; empty if there is none worth
    /// reading again.
    std::string sharedPart;
    /// How long reading the shared part again would take.
    Duration readingAgain { 0 };
    /// The longest wait that the request may have.
    Duration longestWait { Duration::max() };
};

/// Returns how long a request may wait for the owner of its shared part: what it
/// saves by not reading the part again counts for it.
Duration longestWaitForOwner(const EndpointDemand& demand);

/// Score of an endpoint for a shared part; the highest one owns the part. The
/// same in every entry.
std::uint64_t ownershipScore(absl::string_view incarnation, absl::string_view sharedPart);

/// Chooses among \p candidates; nothing if there are none or all are too busy.
/// A shared part goes to the endpoint that keeps it, to the least busy one if
/// there are several; one that nobody keeps goes to the same endpoint from every
/// entry without being told. Endpoints that have far more to do than the others
/// are passed over.
std::optional<std::size_t> chooseEndpoint(absl::Span<const EndpointCandidate> candidates, const EndpointDemand& demand, Random& random);

} // namespace catkinwing
