#include "catkinwing/PeerProtocol/LoadDigest.h"

#include "HeldMemory.h"
#include "catkinwing/Support/Cbor.h"
#include "catkinwing/Support/CountRows.h"
#include <nlohmann/json.hpp>

namespace catkinwing {

using nlohmann::json;

/// Members of the message: group, collector, sequence, loads, parts and, unless there is none, the
/// memory held at endpoints.
static constexpr std::size_t members = 5;
static constexpr std::size_t membersWithMemory = 6;

std::string encodeLoadDigest(const LoadDigest& digest)
{
    json loads = json::array();
    for (const EndpointWorkload& load : digest.loads)
        appendCounts(loads, { load.endpoint, load.requests, load.unreadKilotokens, load.suspicions, load.users });
    json parts = json::array();
    for (const PartSent& part : digest.parts)
        appendCounts(parts, { part.place, part.part, part.kilotokens });
    json message = json::array({ digest.group, digest.collector, digest.sequence, std::move(loads), std::move(parts) });
    json held = encodeHeldMemory(digest.loads);
    if (!held.empty())
        message.push_back(std::move(held));
    std::string bytes;
    json::to_cbor(message, bytes);
    return bytes;
}

absl::StatusOr<LoadDigest> decodeLoadDigest(absl::string_view bytes)
{
    json message = parseCbor(bytes);
    bool isDigest = message.is_array() && (message.size() == members || message.size() == membersWithMemory) && message[0].is_string() && message[1].is_string() && message[2].is_number_unsigned();
    std::optional<std::vector<CountRow<5>>> loads = isDigest ? readCounts<5>(message[3]) : std::nullopt;
    std::optional<std::vector<CountRow<3>>> parts = isDigest ? readCounts<3>(message[4]) : std::nullopt;
    if (!loads || !parts)
        return absl::InvalidArgumentError("a load digest can't be read");
    LoadDigest digest { message[0].get<std::string>(), message[1].get<std::string>(), message[2].get<std::uint64_t>(), {}, {} };
    for (const CountRow<5>& row : *loads)
        digest.loads.push_back({ row[0], row[1], row[2], row[3], row[4] });
    for (const CountRow<3>& row : *parts)
        digest.parts.push_back({ row[0], row[1], row[2] });
    if (message.size() == membersWithMemory && !decodeHeldMemory(message[members], digest.loads))
        return absl::InvalidArgumentError("the memory in a load digest can't be read");
    return digest;
}

} // namespace catkinwing
