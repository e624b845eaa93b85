#pragma once

#include "catkinwing/Standin/StoreState.h"
#include <nlohmann/json.hpp>

namespace catkinwing::standin {

// Messages of the etcd v3 gateway as proto3 JSON: bytes in base64, 64-bit
// integers as text, fields at their default left out of answers.

absl::StatusOr<RangeRequest> parseRange(const nlohmann::json& document);
absl::StatusOr<PutRequest> parsePut(const nlohmann::json& document);
absl::StatusOr<DeleteRequest> parseDelete(const nlohmann::json& document);
absl::StatusOr<TransactionRequest> parseTransaction(const nlohmann::json& document);

/// The "create_request" of a watch.
struct WatchRequest {
    KeyRange range;
    std::int64_t startRevision { 0 };
    bool returnPrevious { false };
};
absl::StatusOr<WatchRequest> parseWatch(const nlohmann::json& document);

/// Returns the "header" of an answer.
nlohmann::json storeHeader(std::int64_t revision);
nlohmann::json toJson(const KeyValue& value);
/// Returns the answer to one operation run by itself, with its header.
nlohmann::json toJson(const OperationResult& result, std::int64_t revision);
nlohmann::json toJson(const TransactionResult& result);
nlohmann::json toJson(const KeyEvent& event, bool withPrevious);
/// Returns the error body, as the gateway gives it.
nlohmann::json toJson(const absl::Status& status);
/// Returns the status line that the gateway gives an error.
int httpStatusOf(const absl::Status& status);

} // namespace catkinwing::standin
