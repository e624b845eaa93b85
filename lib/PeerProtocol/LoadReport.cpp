#include "catkinwing/PeerProtocol/LoadReport.h"

#include "HeldMemory.h"
#include "catkinwing/Support/Cbor.h"
#include "catkinwing/Support/CountRows.h"
#include "catkinwing/Support/Hash.h"
#include <absl/container/flat_hash_map.h>
#include <algorithm>
#include <nlohmann/json.hpp>

namespace catkinwing {

using nlohmann::json;

/// Members of the message: entry, sequence, loads and, unless there are none, parts and the memory
/// held at endpoints. Entries of releases before these members refuse longer messages.
static constexpr std::size_t minMembers = 3;
static constexpr std::size_t membersWithParts = 4;
static constexpr std::size_t maxMembers = 5;

std::uint32_t endpointHash(absl::string_view incarnation)
{
    return static_cast<std::uint32_t>(stableHash(incarnation));
}

json encodeHeldMemory(const std::vector<EndpointWorkload>& loads)
{
    json held = json::array();
    for (const EndpointWorkload& load : loads) {
        if (load.heldKilotokens > 0)
            appendCounts(held, { load.endpoint, load.heldKilotokens });
    }
    return held;
}

bool decodeHeldMemory(const json& held, std::vector<EndpointWorkload>& loads)
{
    std::optional<std::vector<CountRow<2>>> rows = readCounts<2>(held);
    if (!rows)
        return false;
    absl::flat_hash_map<std::uint32_t, std::uint32_t> byEndpoint;
    for (const CountRow<2>& row : *rows)
        byEndpoint[row[0]] = std::min(row[1], maxHeldKilotokens);
    for (EndpointWorkload& load : loads) {
        auto found = byEndpoint.find(load.endpoint);
        if (found != byEndpoint.end())
            load.heldKilotokens = found->second;
    }
    return true;
}

std::string encodeLoadReport(const LoadReport& report)
{
    json loads = json::array();
    for (const EndpointWorkload& load : report.loads)
        appendCounts(loads, { load.endpoint, load.requests, load.unreadKilotokens, load.suspicions });
    json parts = json::array();
    for (const PartSent& part : report.parts)
        appendCounts(parts, { part.place, part.part, part.kilotokens });
    json message = json::array({ report.entry, report.sequence, std::move(loads) });
    json held = encodeHeldMemory(report.loads);
    if (!parts.empty() || !held.empty())
        message.push_back(std::move(parts));
    if (!held.empty())
        message.push_back(std::move(held));
    std::string bytes;
    json::to_cbor(message, bytes);
    return bytes;
}

absl::StatusOr<LoadReport> decodeLoadReport(absl::string_view bytes)
{
    json message = parseCbor(bytes);
    bool isMessage = message.is_array() && message.size() >= minMembers && message.size() <= maxMembers;
    bool isReport = isMessage && message[0].is_string() && message[1].is_number_unsigned();
    std::optional<std::vector<CountRow<4>>> loads = isReport ? readCounts<4>(message[2]) : std::nullopt;
    bool hasParts = isReport && message.size() >= membersWithParts;
    std::optional<std::vector<CountRow<3>>> parts = readCounts<3>(hasParts ? message[3] : json::array());
    if (!loads || !parts)
        return absl::InvalidArgumentError("a load report can't be read");
    LoadReport report { message[0].get<std::string>(), message[1].get<std::uint64_t>(), {}, {} };
    for (const CountRow<4>& row : *loads)
        report.loads.push_back({ row[0], row[1], row[2], row[3] });
    for (const CountRow<3>& row : *parts)
        report.parts.push_back({ row[0], row[1], row[2] });
    if (message.size() == maxMembers && !decodeHeldMemory(message[maxMembers - 1], report.loads))
        return absl::InvalidArgumentError("the memory in a load report can't be read");
    return report;
}

} // namespace catkinwing
