#include "catkinwing/PeerProtocol/StreamOriginMessages.h"

#include "catkinwing/Support/Cbor.h"
#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>

namespace catkinwing {

using nlohmann::json;

/// Members of the message: kind, ID, service, known or not, sole build, rows.
static constexpr std::size_t messageMembers = 6;
/// Members of a row: fingerprint, build, sequence.
static constexpr std::size_t rowMembers = 3;

std::string encodeStreamOriginMessage(const StreamOriginMessage& message)
{
    json rows = json::array();
    for (const StreamOriginRow& row : message.rows) {
        std::vector<std::uint8_t> fingerprint(row.stream.bytes.begin(), row.stream.bytes.end());
        rows.push_back(json::array({ json::binary(std::move(fingerprint)), row.build, row.sequence }));
    }
    std::string bytes(1, streamOriginMark);
    json::to_cbor(json::array({ static_cast<std::uint32_t>(message.kind), message.id, message.service, message.isKnown ? 1u : 0u, message.soleBuild, std::move(rows) }), bytes);
    return bytes;
}

static bool isCount(const json& number)
{
    return number.is_number_unsigned() && number.get<std::uint64_t>() <= UINT32_MAX;
}

static std::optional<StreamOriginRow> readRow(const json& fields)
{
    bool isRow = fields.is_array() && fields.size() == rowMembers && fields[0].is_binary() && fields[1].is_number_unsigned() && isCount(fields[2]);
    if (!isRow || fields[0].get_binary().size() != RequestFingerprint::size)
        return std::nullopt;
    StreamOriginRow row;
    std::copy(fields[0].get_binary().begin(), fields[0].get_binary().end(), row.stream.bytes.begin());
    row.build = fields[1].get<std::uint64_t>();
    row.sequence = fields[2].get<std::uint32_t>();
    return row;
}

static bool isMessage(const json& fields)
{
    bool hasMembers = fields.is_array() && fields.size() == messageMembers && fields[5].is_array();
    if (!hasMembers || !std::all_of(fields.begin(), fields.begin() + 4, isCount))
        return false;
    bool hasKind = fields[0].get<std::uint32_t>() <= static_cast<std::uint32_t>(StreamOriginKind::Reply);
    return hasKind && fields[4].is_number_unsigned() && fields[5].size() <= maxStreamOriginRows;
}

absl::StatusOr<StreamOriginMessage> decodeStreamOriginMessage(absl::string_view bytes)
{
    if (bytes.empty() || bytes.front() != streamOriginMark)
        return absl::InvalidArgumentError("not a stream origin message: its first byte is another one");
    json fields = parseCbor(bytes.substr(1));
    if (!isMessage(fields))
        return absl::InvalidArgumentError("a stream origin message can't be read");
    StreamOriginMessage message;
    message.kind = static_cast<StreamOriginKind>(fields[0].get<std::uint32_t>());
    message.id = fields[1].get<std::uint32_t>();
    message.service = fields[2].get<std::uint32_t>();
    message.isKnown = fields[3].get<std::uint32_t>() != 0;
    message.soleBuild = fields[4].get<std::uint64_t>();
    for (const json& row : fields[5]) {
        std::optional<StreamOriginRow> read = readRow(row);
        if (!read)
            return absl::InvalidArgumentError("a row of a stream origin message can't be read");
        message.rows.push_back(*read);
    }
    bool needsRow = message.kind == StreamOriginKind::Ask || (message.kind == StreamOriginKind::Reply && message.isKnown);
    if (needsRow && message.rows.size() != 1)
        return absl::InvalidArgumentError("a stream origin message names no stream, or several");
    return message;
}

} // namespace catkinwing
