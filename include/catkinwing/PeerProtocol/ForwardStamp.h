#pragma once

#include "catkinwing/PeerProtocol/PeerIdentity.h"
#include "catkinwing/Support/Clock.h"
#include <absl/status/statusor.h>
#include <absl/strings/string_view.h>
#include <optional>
#include <vector>

namespace catkinwing {

/// Most hops of a request between entries: a forwarded request is never
/// forwarded again.
constexpr std::uint32_t maxStampHops = 1;

/// What a forwarded request says of itself.
struct ForwardStamp {
    /// The entry that the caller spoke to.
    EntryRef origin;
    /// Zone of the origin.
    std::string originZone;
    std::string requestId;
    /// Names this attempt among those of the request.
    std::uint32_t attempt { 0 };
    /// Times that the request was forwarded, this one included.
    std::uint32_t hop { 0 };
    /// Zones that the request has been in, the origin's first.
    std::vector<std::string> visited;
    std::string team;
    /// Regions that may process the request; empty for any.
    std::vector<std::string> residency;
    std::string requestClass;
    /// Time left until the deadline; the receiver takes off its own time.
    Duration timeLeft {};
    /// Revision of the team's document by which the origin decided.
    std::int64_t teamRevision { 0 };
    /// Claim of the idempotency ledger under which it runs.
    std::optional<std::string> claimId;
};

/// One header of an HTTP request; the name is in lower case.
struct StampHeader {
    std::string name;
    std::string value;
};

/// Header whose presence marks a forwarded request; it holds the version.
constexpr const char* stampVersionHeader = "catkinwing-stamp";

/// Returns the headers that carry \p stamp.
std::vector<StampHeader> encodeStamp(const ForwardStamp& stamp);
/// Reads a stamp from a request's headers, others among them being skipped.
/// NotFound without a version header, Unimplemented for an unknown version,
/// InvalidArgument for a header that is missing, doubled or can't be read.
absl::StatusOr<ForwardStamp> decodeStamp(const std::vector<StampHeader>& headers);

/// Verdict of a receiver on a stamp.
enum class StampVerdict {
    Accepted,
    /// The request was forwarded more often than allowed.
    HopLimit,
    /// The request has been in the receiver's zone.
    Visited,
    /// The receiver's region may not process the request.
    Residency,
    /// No time is left.
    DeadlinePassed,
};

/// Judges \p stamp for a receiver in \p ownZone of \p ownRegion. The receiver
/// must hold the request against its own document of the team as well.
StampVerdict checkStamp(const ForwardStamp& stamp, absl::string_view ownZone, absl::string_view ownRegion);
/// Returns the verdict in words, for refusals.
const char* describe(StampVerdict verdict);

} // namespace catkinwing
