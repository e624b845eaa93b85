#include "catkinwing/Reporting/BurnReport.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_replace.h>
#include <algorithm>

namespace catkinwing {

static void addCounts(ServiceLevelLine& sum, const ServiceLevelLine& part)
{
    // Entries may be a revision apart for a moment; the stricter target counts.
    sum.targetRatio = std::max(sum.targetRatio, part.targetRatio);
    for (std::size_t window = 0; window < burnWindows.size(); ++window) {
        sum.windows[window].good += part.windows[window].good;
        sum.windows[window].bad += part.windows[window].bad;
    }
}

BurnReport makeBurnReport(const std::vector<EntryServiceLevels>& entries)
{
    BurnReport report;
    std::map<ServiceLevelKey, ServiceLevelLine> sums;
    for (const EntryServiceLevels& entry : entries) {
        if (!entry.status.ok()) {
            report.missing.push_back(entry);
            continue;
        }
        report.answered.push_back(entry.entry);
        for (const ServiceLevelLine& line : entry.lines) {
            ServiceLevelLine& sum = sums[line.key];
            sum.key = line.key;
            addCounts(sum, line);
        }
    }
    for (auto& [key, line] : sums)
        report.lines.push_back(std::move(line));
    return report;
}

static std::string windowName(std::chrono::minutes span)
{
    constexpr int minutesPerHour = 60;
    if (span.count() % minutesPerHour == 0)
        return absl::StrCat(span.count() / minutesPerHour, "h");
    return absl::StrCat(span.count(), "m");
}

static std::string burnCell(const ServiceLevelCounts& counts, double targetRatio)
{
    if (counts.total() == 0)
        return "-";
    return absl::StrFormat("%.2f", burnRate(counts, targetRatio));
}

std::string renderBurnTable(const BurnReport& report)
{
    std::string table = absl::StrFormat("%-20s %-18s %7s", "TEAM", "CLASS", "TARGET");
    for (std::chrono::minutes span : burnWindows)
        absl::StrAppend(&table, absl::StrFormat(" %9s", "BURN/" + windowName(span)));
    absl::StrAppend(&table, absl::StrFormat(" %10s %8s\n", "REQUESTS", "MISSED"));
    for (const ServiceLevelLine& line : report.lines) {
        absl::StrAppend(&table, absl::StrFormat("%-20s %-18s %7.4f", line.key.team, line.key.className, line.targetRatio));
        for (const ServiceLevelCounts& counts : line.windows)
            absl::StrAppend(&table, absl::StrFormat(" %9s", burnCell(counts, line.targetRatio)));
        const ServiceLevelCounts& longest = line.windows.back();
        absl::StrAppend(&table, absl::StrFormat(" %10d %8d\n", longest.total(), longest.bad));
    }
    absl::StrAppend(&table, "entries that answered: ", report.answered.size(), "\n");
    for (const EntryServiceLevels& entry : report.missing)
        absl::StrAppend(&table, "entry ", entry.entry, " did not answer: ", std::string(entry.status.message()), "\n");
    return table;
}

nlohmann::json renderBurnJson(const BurnReport& report)
{
    nlohmann::json lines = toJson(report.lines);
    for (std::size_t row = 0; row < report.lines.size(); ++row) {
        const ServiceLevelLine& line = report.lines[row];
        for (std::size_t window = 0; window < burnWindows.size(); ++window)
            lines[row]["windows"][window]["burnRate"] = burnRate(line.windows[window], line.targetRatio);
    }
    nlohmann::json missing = nlohmann::json::array();
    for (const EntryServiceLevels& entry : report.missing)
        missing.push_back({ { "entry", entry.entry }, { "reason", std::string(entry.status.message()) } });
    return { { "serviceLevels", std::move(lines) }, { "answered", report.answered }, { "missing", std::move(missing) } };
}

static std::string escapeHtml(absl::string_view text)
{
    return absl::StrReplaceAll(text, { { "&", "&amp;" }, { "<", "&lt;" }, { ">", "&gt;" }, { "\"", "&quot;" } });
}

// One bar for each window; the line across the chart marks a burn of 1.
static std::string burnChart(const ServiceLevelLine& line)
{
    constexpr double fullScale = 4.0;
    constexpr int height = 60;
    constexpr int barWidth = 28;
    constexpr int barPitch = 36;
    std::string chart = absl::StrFormat("<svg width=\"%d\" height=\"%d\" role=\"img\">", barPitch * burnWindows.size(), height + 16);
    for (std::size_t window = 0; window < burnWindows.size(); ++window) {
        double burn = burnRate(line.windows[window], line.targetRatio);
        int bar = static_cast<int>(height * std::min(burn, fullScale) / fullScale);
        int left = barPitch * static_cast<int>(window);
        absl::StrAppend(&chart, absl::StrFormat("<rect x=\"%d\" y=\"%d\" width=\"%d\" height=\"%d\" class=\"%s\"/>", left, height - bar, barWidth, bar, burn > 1 ? "over" : "under"));
        absl::StrAppend(&chart, absl::StrFormat("<text x=\"%d\" y=\"%d\">%s</text>", left, height + 12, windowName(burnWindows[window])));
    }
    int allowed = height - static_cast<int>(height / fullScale);
    absl::StrAppend(&chart, absl::StrFormat("<line x1=\"0\" x2=\"%d\" y1=\"%d\" y2=\"%d\"/></svg>", barPitch * burnWindows.size(), allowed, allowed));
    return chart;
}

static std::string htmlRow(const ServiceLevelLine& line)
{
    std::string row = absl::StrFormat("<tr><td>%s</td><td>%s</td><td>%.4f</td>", escapeHtml(line.key.team), escapeHtml(line.key.className), line.targetRatio);
    for (const ServiceLevelCounts& counts : line.windows) {
        bool isOver = burnRate(counts, line.targetRatio) > 1;
        absl::StrAppend(&row, "<td class=\"", isOver ? "over" : "under", "\">", burnCell(counts, line.targetRatio), "</td>");
    }
    absl::StrAppend(&row, "<td>", line.windows.back().total(), "</td><td>", line.windows.back().bad, "</td><td>", burnChart(line), "</td></tr>\n");
    return row;
}

std::string renderBurnHtml(const BurnReport& report)
{
    std::string page = "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>Service-level burn</title>\n"
                       "<style>body{font:14px sans-serif;margin:2em}table{border-collapse:collapse}td,th{padding:4px 10px;border-bottom:1px solid #ccc;text-align:left}"
                       "td.over{color:#b00020;font-weight:bold}svg text{font-size:10px}rect.over{fill:#b00020}rect.under{fill:#2e7d32}line{stroke:#333;stroke-dasharray:3}"
                       ".missing{color:#b00020}</style></head>\n<body><h1>Service-level burn</h1>\n"
                       "<p>1.00 spends the error budget exactly; the dashed line marks it, and the charts end at 4.</p>\n<table><tr><th>Team</th><th>Class</th><th>Target</th>";
    for (std::chrono::minutes span : burnWindows)
        absl::StrAppend(&page, "<th>Burn over ", windowName(span), "</th>");
    absl::StrAppend(&page, "<th>Requests</th><th>Missed</th><th>Chart</th></tr>\n");
    for (const ServiceLevelLine& line : report.lines)
        absl::StrAppend(&page, htmlRow(line));
    absl::StrAppend(&page, "</table>\n<p>Entries that answered: ", report.answered.size(), "</p>\n");
    for (const EntryServiceLevels& entry : report.missing)
        absl::StrAppend(&page, "<p class=\"missing\">Entry ", escapeHtml(entry.entry), " did not answer: ", escapeHtml(std::string(entry.status.message())), "</p>\n");
    absl::StrAppend(&page, "</body></html>\n");
    return page;
}

} // namespace catkinwing
