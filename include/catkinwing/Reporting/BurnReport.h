#pragma once

#include "catkinwing/Reporting/ServiceLevel.h"

namespace catkinwing {

/// What one entry said of its service levels, or why it said nothing.
struct EntryServiceLevels {
    std::string entry;
    absl::Status status;
    std::vector<ServiceLevelLine> lines;
};

/// Service levels of a deployment, summed over the entries that answered.
struct BurnReport {
    std::vector<ServiceLevelLine> lines;
    std::vector<std::string> answered;
    /// Entries that didn't answer; their requests are missing from the lines.
    std::vector<EntryServiceLevels> missing;
};

/// Adds up what the entries said.
BurnReport makeBurnReport(const std::vector<EntryServiceLevels>& entries);
/// Returns the report as a plain-text table.
std::string renderBurnTable(const BurnReport& report);
/// Returns the report as JSON, with the burn rates.
nlohmann::json renderBurnJson(const BurnReport& report);
/// Returns the report as one HTML page that refers to nothing outside itself.
std::string renderBurnHtml(const BurnReport& report);

} // namespace catkinwing
