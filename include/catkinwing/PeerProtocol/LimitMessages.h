#pragma once

#include <absl/status/statusor.h>
#include <absl/strings/string_view.h>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace catkinwing {

/// First byte of every limit message, by which it differs from other datagrams.
constexpr char limitMessageMark = 1;

enum class LimitMessageKind {
    /// States what the sender knows of the limits of endpoints.
    Statement,
    /// Tells of answers with a higher limit than before, or none. A receiver that knows of a
    /// later answer with the limit replies with its statement.
    Raise,
    /// Asks for all that the receiver knows of limits.
    Inquiry,
    /// Asks a holder of a share for one request at one of the endpoints listed.
    Ask,
    /// Answers an ask.
    Reply,
};

/// One endpoint in a message: about 10 bytes.
struct LimitRow {
    /// Hash of the endpoint's incarnation.
    std::uint32_t endpoint { 0 };
    /// Of a statement or raise: requests a second that the endpoint accepts from all entries together,
    /// with a resolution of 0.001; nothing if the endpoint has no limit any more.
    std::optional<double> perSecond;
    /// Of a statement or raise: time since the last answer that named it.
    std::chrono::milliseconds age { 0 };
};

/// A message about the request rates to which endpoints limit all entries together.
struct LimitMessage {
    LimitMessageKind kind { LimitMessageKind::Statement };
    /// Chosen by the sender of an ask; the reply repeats it.
    std::uint32_t id { 0 };
    /// Of a reply that grants nothing: time until the sender may have a request to grant.
    std::chrono::milliseconds retryAfter { 0 };
    /// Of a reply: the endpoint at which the receiver may send one request; empty if there
    /// is none.
    std::vector<LimitRow> rows;
};

/// Max number of rows in a message, so that it fits into a datagram of 1,400 bytes.
constexpr std::size_t maxLimitRows = 80;

std::string encodeLimitMessage(const LimitMessage& message);
absl::StatusOr<LimitMessage> decodeLimitMessage(absl::string_view bytes);

} // namespace catkinwing
