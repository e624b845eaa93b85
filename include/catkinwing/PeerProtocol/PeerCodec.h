#pragma once

#include "catkinwing/PeerProtocol/PeerMessages.h"
#include <absl/status/statusor.h>
#include <absl/strings/string_view.h>

namespace catkinwing {

/// Most bytes of a batch that is decoded; longer ones are refused.
constexpr std::size_t maxBatchBytes = std::size_t { 4 } << 20;
/// Most bytes of documents that splitConfig() puts in one push, unless one
/// document alone is longer.
constexpr std::size_t configChunkBytes = std::size_t { 256 } << 10;

/// Byte budgets of whole batches, JSON-RPC envelope included and HTTP left out.
/// A heartbeat in the steady state with 4 groups, 4 teams and 4 endpoints, all with
/// names of 18 bytes, which make up half of it.
constexpr std::size_t heartbeatBytes = 500;
/// A zone digest with 4 models and 4 teams, without entries.
constexpr std::size_t zoneDigestBytes = 460;
/// What a digest with 4 models of another region adds to a heartbeat.
constexpr std::size_t relayedDigestBytes = 200;
/// What each entry adds to a zone digest.
constexpr std::size_t zoneEntryBytes = 100;
/// What one leaving endpoint or entry takes.
constexpr std::size_t leavingBytes = 160;
/// What one claim takes, and one answer, with names of 19 bytes and the longest
/// serials.
constexpr std::size_t claimBytes = 110;

/// Encodes \p messages as one JSON-RPC 2.0 batch.
std::string encodeBatch(const std::vector<PeerMessage>& messages);
/// Decodes a batch of any bytes. InvalidArgument if one call can't be read,
/// Unimplemented if one names an unknown method or version.
absl::StatusOr<std::vector<PeerMessage>> decodeBatch(absl::string_view bytes);

/// Encodes the replies to a batch, one for each message in its order.
std::string encodeReplies(const std::vector<PeerReply>& replies);
/// Decodes the replies to a batch of \p expected messages. InvalidArgument if one
/// is missing or can't be read; a refused message gives a PeerError.
absl::StatusOr<std::vector<PeerReply>> decodeReplies(absl::string_view bytes, std::size_t expected);

/// Splits documents over pushes of at most \p maxBytes each.
std::vector<ConfigPush> splitConfig(std::vector<ConfigEntry> entries, std::size_t maxBytes = configChunkBytes);

} // namespace catkinwing
