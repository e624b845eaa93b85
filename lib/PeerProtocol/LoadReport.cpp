#include "catkinwing/PeerProtocol/LoadReport.h"

#include "catkinwing/Support/Cbor.h"
#include "catkinwing/Support/CountRows.h"
#include "catkinwing/Support/Hash.h"
#include <nlohmann/json.hpp>

namespace catkinwing {

using nlohmann::json;

/// Members of the message: entry, sequence, loads and, unless there are none, parts.
static constexpr std::size_t leastMembers = 3;
static constexpr std::size_t mostMembers = 4;

std::uint32_t endpointHash(absl::string_view incarnation)
{
    return static_cast<std::uint32_t>(stableHash(incarnation));
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
    if (!parts.empty())
        message.push_back(std::move(parts));
    std::string bytes;
    json::to_cbor(message, bytes);
    return bytes;
}

absl::StatusOr<LoadReport> decodeLoadReport(absl::string_view bytes)
{
    json message = parseCbor(bytes);
    bool isMessage = message.is_array() && message.size() >= leastMembers && message.size() <= mostMembers;
    bool isReport = isMessage && message[0].is_string() && message[1].is_number_unsigned();
    std::optional<std::vector<CountRow<4>>> loads = isReport ? readCounts<4>(message[2]) : std::nullopt;
    bool hasParts = isReport && message.size() == mostMembers;
    std::optional<std::vector<CountRow<3>>> parts = readCounts<3>(hasParts ? message[3] : json::array());
    if (!loads || !parts)
        return absl::InvalidArgumentError("a load report can't be read");
    LoadReport report { message[0].get<std::string>(), message[1].get<std::uint64_t>(), {}, {} };
    for (const CountRow<4>& row : *loads)
        report.loads.push_back({ row[0], row[1], row[2], row[3] });
    for (const CountRow<3>& row : *parts)
        report.parts.push_back({ row[0], row[1], row[2] });
    return report;
}

} // namespace catkinwing
