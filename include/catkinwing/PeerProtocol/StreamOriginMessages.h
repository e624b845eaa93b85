#pragma once

#include "catkinwing/Support/RequestFingerprint.h"
#include <absl/status/statusor.h>
#include <absl/strings/string_view.h>
#include <cstdint>
#include <string>
#include <vector>

namespace catkinwing {

/// First byte of every stream origin message, by which it differs from other datagrams.
constexpr char streamOriginMark = 2;

enum class StreamOriginKind {
    /// States at which software versions streams began.
    Statement,
    /// Asks at which version a stream began.
    Ask,
    /// Answers an ask.
    Reply,
};

/// The software version of one stream in a statement: 29 bytes.
struct StreamOriginRow {
    /// Fingerprint of the client attempt that brought the first event.
    RequestFingerprint stream;
    /// Build ID of the endpoint; zero if it isn't certain.
    std::uint64_t build { 0 };
    /// Increases with each statement of a sender about the stream.
    std::uint32_t sequence { 0 };
};

/// A message about the software versions at which streams began.
struct StreamOriginMessage {
    StreamOriginKind kind { StreamOriginKind::Statement };
    /// Chosen by the sender of an ask; the reply repeats it.
    std::uint32_t id { 0 };
    /// Of an ask: hash of the service's name.
    std::uint32_t service { 0 };
    /// Of a reply: the sender knows a statement about the stream.
    bool isKnown { false };
    /// Of a reply: build ID of the only version that the service has had for longer than a
    /// stream lasts; zero if the sender knows of none.
    std::uint64_t soleBuild { 0 };
    /// Of an ask or a known reply: one row.
    std::vector<StreamOriginRow> rows;
};

/// Max number of rows in a message, so that it fits into a datagram of 1,400 bytes.
constexpr std::size_t maxStreamOriginRows = 40;

std::string encodeStreamOriginMessage(const StreamOriginMessage& message);
absl::StatusOr<StreamOriginMessage> decodeStreamOriginMessage(absl::string_view bytes);

} // namespace catkinwing
