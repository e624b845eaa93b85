#pragma once

#include <absl/status/statusor.h>
#include <jsoncpp/json/json.h>
#include <string>
#include <vector>

namespace catkinwing {

/// Code of JSON-RPC 2.0 for a method that the receiver doesn't know.
constexpr int rpcUnknownMethod = -32601;

/// One call of a JSON-RPC batch.
struct RpcCall {
    std::string method;
    Json::Value params;
};

/// One answer of a JSON-RPC batch: the result, or an error if the code isn't zero.
struct RpcAnswer {
    Json::Value result;
    int errorCode { 0 };
    std::string errorMessage;
};

/// Encodes calls as a batch whose ids count from 1.
std::string encodeCalls(const std::vector<RpcCall>& calls);
/// Decodes a batch of calls to any of \p methods. Unimplemented for another
/// method, InvalidArgument for all else.
absl::StatusOr<std::vector<RpcCall>> decodeCalls(const std::string& bytes, const std::vector<const char*>& methods);
/// Encodes the results of a batch whose ids count from 1.
std::string encodeResults(const std::vector<Json::Value>& results);
/// Decodes the answers to a batch of \p expected calls.
absl::StatusOr<std::vector<RpcAnswer>> decodeAnswers(const std::string& bytes, std::size_t expected);

} // namespace catkinwing
