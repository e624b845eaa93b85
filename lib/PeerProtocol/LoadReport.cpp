#include "catkinwing/PeerProtocol/LoadReport.h"

#include "catkinwing/Support/Cbor.h"
#include "catkinwing/Support/Hash.h"
#include <nlohmann/json.hpp>

namespace catkinwing {

using nlohmann::json;

/// Numbers that a report holds for each endpoint.
static constexpr std::size_t numbersPerLoad = 4;

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
    std::string bytes;
    json::to_cbor(json::array({ report.entry, report.sequence, std::move(numbers) }), bytes);
    return bytes;
}

absl::StatusOr<LoadReport> decodeLoadReport(absl::string_view bytes)
{
    json message = parseCbor(bytes);
    bool isReport = message.is_array() && message.size() == 3 && message[0].is_string() && message[1].is_number_unsigned() && message[2].is_array()
        && message[2].size() % numbersPerLoad == 0;
    if (!isReport)
        return absl::InvalidArgumentError("a load report can't be read");
    LoadReport report;
    report.entry = message[0].get<std::string>();
    report.sequence = message[1].get<std::uint64_t>();
    const json& numbers = message[2];
    for (const json& number : numbers) {
        if (!number.is_number_unsigned())
            return absl::InvalidArgumentError("a load report holds what is no count");
    }
    for (std::size_t i = 0; i < numbers.size(); i += numbersPerLoad)
        report.loads.push_back({ numbers[i].get<std::uint32_t>(), numbers[i + 1].get<std::uint32_t>(), numbers[i + 2].get<std::uint32_t>(),
            numbers[i + 3].get<std::uint32_t>() });
    return report;
}

} // namespace catkinwing
