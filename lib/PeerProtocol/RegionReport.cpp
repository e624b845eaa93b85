#include "catkinwing/PeerProtocol/RegionReport.h"

#include "catkinwing/Support/Cbor.h"
#include "catkinwing/Support/Hash.h"
#include <algorithm>
#include <nlohmann/json.hpp>

namespace catkinwing {

using nlohmann::json;

/// Numbers that a report holds for each service.
static constexpr std::size_t numbersPerService = 5;
/// Members of the message: region, entry, sequence, numbers.
static constexpr std::size_t members = 4;

std::uint32_t serviceHash(absl::string_view service)
{
    return static_cast<std::uint32_t>(stableHash(service));
}

std::string encodeRegionReport(const RegionReport& report)
{
    json numbers = json::array();
    for (const ServiceOutlook& outlook : report.services) {
        numbers.push_back(outlook.service);
        numbers.push_back(outlook.endpoints);
        numbers.push_back(static_cast<std::uint32_t>(outlook.wait.count()));
        numbers.push_back(static_cast<std::uint32_t>(outlook.perKilotoken.count()));
        numbers.push_back(static_cast<std::uint32_t>(outlook.perEvent.count()));
    }
    std::string bytes;
    json::to_cbor(json::array({ report.region, report.entry, report.sequence, std::move(numbers) }), bytes);
    return bytes;
}

static bool isCount(const json& number)
{
    return number.is_number_unsigned() && number.get<std::uint64_t>() <= UINT32_MAX;
}

absl::StatusOr<RegionReport> decodeRegionReport(absl::string_view bytes)
{
    json message = parseCbor(bytes);
    bool isReport = message.is_array() && message.size() == members && message[0].is_string() && message[1].is_string()
        && message[2].is_number_unsigned() && message[3].is_array() && message[3].size() % numbersPerService == 0;
    if (!isReport || !std::all_of(message[3].begin(), message[3].end(), isCount))
        return absl::InvalidArgumentError("a region report can't be read");
    RegionReport report;
    report.region = message[0].get<std::string>();
    report.entry = message[1].get<std::string>();
    report.sequence = message[2].get<std::uint64_t>();
    const json& numbers = message[3];
    for (std::size_t i = 0; i < numbers.size(); i += numbersPerService) {
        ServiceOutlook outlook;
        outlook.service = numbers[i].get<std::uint32_t>();
        outlook.endpoints = numbers[i + 1].get<std::uint32_t>();
        outlook.wait = std::chrono::milliseconds(numbers[i + 2].get<std::uint32_t>());
        outlook.perKilotoken = std::chrono::microseconds(numbers[i + 3].get<std::uint32_t>());
        outlook.perEvent = std::chrono::microseconds(numbers[i + 4].get<std::uint32_t>());
        report.services.push_back(outlook);
    }
    return report;
}

} // namespace catkinwing
