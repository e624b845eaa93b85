#pragma once

#include "catkinwing/Coordination/Store.h"
#include <absl/status/statusor.h>
#include <absl/strings/string_view.h>
#include <string>

namespace catkinwing {

/// Bodies of the gateway's requests. Keys and values are base64, 64-bit numbers strings.
std::string rangeBody(const std::string& key);
std::string prefixRangeBody(const std::string& prefix);
std::string swapBody(const std::string& key, StoreRevision expected, const std::string& value, StoreLease lease);
std::string deleteBody(const std::string& key, StoreRevision expected);
std::string watchBody(const std::string& prefix, StoreRevision firstRevision);
std::string grantBody(std::chrono::seconds timeToLive);
std::string leaseBody(StoreLease lease);

/// What the answer to a transaction says.
struct TxnAnswer {
    bool isCommitted { false };
    StoreRevision revision { 0 };
};

/// A granted or renewed lease.
struct LeaseAnswer {
    StoreLease lease { 0 };
    std::chrono::seconds timeToLive { 0 };
};

/// One message of a watch.
struct WatchMessage {
    std::vector<StoreEvent> events;
    bool isCancelled { false };
    /// Not zero if the watch began before this compaction.
    StoreRevision compactRevision { 0 };
};

/// Each reads one answer; Unavailable if it doesn't follow the protocol.
absl::StatusOr<StoreListing> readRange(absl::string_view body);
absl::StatusOr<TxnAnswer> readTxn(absl::string_view body);
absl::StatusOr<LeaseAnswer> readGrant(absl::string_view body);
/// NotFound if the lease has lapsed.
absl::StatusOr<LeaseAnswer> readKeepAlive(absl::string_view body);
absl::StatusOr<WatchMessage> readWatchMessage(absl::string_view line);

/// Turns the body of an error answer into a status; the gateway's codes are
/// those of gRPC. Unavailable if the body names none.
absl::Status readError(int httpStatus, absl::string_view body);

/// Tells whether a write that was answered with \p error was certainly not made.
bool provesNotApplied(const absl::Status& error);

} // namespace catkinwing
