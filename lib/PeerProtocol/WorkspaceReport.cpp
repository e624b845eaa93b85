#include "catkinwing/PeerProtocol/WorkspaceReport.h"

#include "catkinwing/Support/Cbor.h"
#include "catkinwing/Support/CountRows.h"
#include <algorithm>
#include <nlohmann/json.hpp>

namespace catkinwing {

using nlohmann::json;

/// Members of the message: entry, sequence, rows.
static constexpr std::size_t messageMembers = 3;
static constexpr unsigned halfBits = 32;
/// Tokens per second above which a rate can't be true: all entries of the largest deployment
/// together serve a hundredth of it.
static constexpr std::uint32_t maxRate = 1'000'000'000;
/// Keys of entries are shorter.
static constexpr std::size_t maxEntryBytes = 256;

std::string encodeWorkspaceReport(const WorkspaceReport& report)
{
    json rows = json::array();
    for (const WorkspaceRow& row : report.rows)
        appendCounts(rows, { row.service, static_cast<std::uint32_t>(row.workspace >> halfBits), static_cast<std::uint32_t>(row.workspace), row.requested, row.admitted, row.late });
    std::string bytes(1, workspaceReportMark);
    json::to_cbor(json::array({ report.entry, report.sequence, std::move(rows) }), bytes);
    return bytes;
}

absl::StatusOr<WorkspaceReport> decodeWorkspaceReport(absl::string_view bytes)
{
    if (bytes.empty() || bytes.front() != workspaceReportMark)
        return absl::InvalidArgumentError("not a workspace report: its first byte is another one");
    json fields = parseCbor(bytes.substr(1));
    bool isReport = fields.is_array() && fields.size() == messageMembers && fields[0].is_string() && fields[1].is_number_unsigned();
    std::optional<std::vector<CountRow<6>>> rows = isReport ? readCounts<6>(fields[2]) : std::nullopt;
    bool isValid = rows && rows->size() <= maxWorkspaceRows && fields[0].get_ref<const std::string&>().size() <= maxEntryBytes
        && std::all_of(rows->begin(), rows->end(), [](const CountRow<6>& row) { return row[3] <= maxRate && row[5] <= maxRate && row[4] <= row[3] + row[5]; });
    if (!isValid)
        return absl::InvalidArgumentError("a workspace report can't be read");
    WorkspaceReport report { fields[0].get<std::string>(), fields[1].get<std::uint64_t>(), {} };
    for (const CountRow<6>& row : *rows)
        report.rows.push_back({ row[0], (std::uint64_t { row[1] } << halfBits) | row[2], row[3], row[4], row[5] });
    return report;
}

} // namespace catkinwing
