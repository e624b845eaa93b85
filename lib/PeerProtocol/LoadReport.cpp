#include "catkinwing/PeerProtocol/LoadReport.h"

#include "catkinwing/Support/Cbor.h"
#include "catkinwing/Support/Hash.h"
#include <algorithm>
#include <nlohmann/json.hpp>

namespace catkinwing {

using nlohmann::json;

/// Numbers that a report holds for each endpoint.
static constexpr std::size_t numbersPerLoad = 4;
/// Numbers that a report holds for each part sent.
static constexpr std::size_t numbersPerPart = 3;
/// Members of the message: entry, sequence, loads and, unless there are none, parts.
static constexpr std::size_t leastMembers = 3;
static constexpr std::size_t mostMembers = 4;

std::uint32_t endpointHash(absl::string_view incarnation)
{
    return static_cast<std::uint32_t>(stableHash(incarnation));
}

std::string encodeLoadReport(const LoadReport& report)
{
    json numbers = json::array();
    for (const EndpointWorkload& load : report.loads) {
        numbers.push_back(load.endpoint);
        numbers.push_back(load.requests);
        numbers.push_back(load.unreadKilotokens);
        numbers.push_back(load.suspicions);
    }
    json message = json::array({ report.entry, report.sequence, std::move(numbers) });
    json parts = json::array();
    for (const PartSent& part : report.parts) {
        parts.push_back(part.place);
        parts.push_back(part.part);
        parts.push_back(part.kilotokens);
    }
    if (!parts.empty())
        message.push_back(std::move(parts));
    std::string bytes;
    json::to_cbor(message, bytes);
    return bytes;
}

static bool areCounts(const json& numbers, std::size_t perRow)
{
    return numbers.is_array() && numbers.size() % perRow == 0
        && std::all_of(numbers.begin(), numbers.end(), [](const json& number) { return number.is_number_unsigned(); });
}

absl::StatusOr<LoadReport> decodeLoadReport(absl::string_view bytes)
{
    json message = parseCbor(bytes);
    bool isMessage = message.is_array() && message.size() >= leastMembers && message.size() <= mostMembers;
    bool isReport = isMessage && message[0].is_string() && message[1].is_number_unsigned() && areCounts(message[2], numbersPerLoad)
        && (message.size() == leastMembers || areCounts(message[3], numbersPerPart));
    if (!isReport)
        return absl::InvalidArgumentError("a load report can't be read");
    LoadReport report;
    report.entry = message[0].get<std::string>();
    report.sequence = message[1].get<std::uint64_t>();
    const json& numbers = message[2];
    for (std::size_t i = 0; i < numbers.size(); i += numbersPerLoad)
        report.loads.push_back({ numbers[i].get<std::uint32_t>(), numbers[i + 1].get<std::uint32_t>(), numbers[i + 2].get<std::uint32_t>(),
            numbers[i + 3].get<std::uint32_t>() });
    if (message.size() == leastMembers)
        return report;
    const json& parts = message[3];
    for (std::size_t i = 0; i < parts.size(); i += numbersPerPart)
        report.parts.push_back({ parts[i].get<std::uint32_t>(), parts[i + 1].get<std::uint32_t>(), parts[i + 2].get<std::uint32_t>() });
    return report;
}

} // namespace catkinwing
