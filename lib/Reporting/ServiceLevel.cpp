#include "catkinwing/Reporting/ServiceLevel.h"

#include <absl/strings/str_cat.h>
#include <cassert>

namespace catkinwing {

static Duration bucketSpan(std::size_t window, std::size_t buckets)
{
    return Duration(burnWindows[window]) / buckets;
}

static std::int64_t slotOf(TimePoint now, Duration span)
{
    return now.time_since_epoch() / span;
}

void WindowedCounts::record(bool isGood, TimePoint now)
{
    for (std::size_t window = 0; window < burnWindows.size(); ++window) {
        std::int64_t slot = slotOf(now, bucketSpan(window, bucketsPerWindow));
        Bucket& bucket = m_buckets[window][static_cast<std::size_t>(slot) % bucketsPerWindow];
        if (bucket.slot != slot)
            bucket = Bucket { slot, 0, 0 };
        std::uint32_t& count = isGood ? bucket.good : bucket.bad;
        ++count;
    }
}

ServiceLevelCounts WindowedCounts::counts(std::size_t window, TimePoint now) const
{
    assert(window < burnWindows.size() && "no such window");
    std::int64_t newest = slotOf(now, bucketSpan(window, bucketsPerWindow));
    std::int64_t oldest = newest - static_cast<std::int64_t>(bucketsPerWindow) + 1;
    ServiceLevelCounts sum;
    for (const Bucket& bucket : m_buckets[window]) {
        if (bucket.slot < 0 || bucket.slot < oldest || bucket.slot > newest)
            continue;
        sum.good += bucket.good;
        sum.bad += bucket.bad;
    }
    return sum;
}

double burnRate(const ServiceLevelCounts& counts, double targetRatio)
{
    double allowed = 1.0 - targetRatio;
    if (counts.total() == 0 || allowed <= 0)
        return 0;
    double missed = static_cast<double>(counts.bad) / static_cast<double>(counts.total());
    return missed / allowed;
}

void ServiceLevelRecorder::record(const ServiceLevelKey& key, double targetRatio, bool isGood, TimePoint now)
{
    auto entry = m_levels.find(key);
    if (entry == m_levels.end()) {
        if (m_levels.size() >= maxKeys) {
            ++m_dropped;
            return;
        }
        entry = m_levels.emplace(key, Level {}).first;
    }
    entry->second.targetRatio = targetRatio;
    entry->second.counts.record(isGood, now);
}

std::vector<ServiceLevelLine> ServiceLevelRecorder::lines(TimePoint now) const
{
    std::vector<ServiceLevelLine> lines;
    lines.reserve(m_levels.size());
    for (const auto& [key, level] : m_levels) {
        ServiceLevelLine line { key, level.targetRatio, {} };
        for (std::size_t window = 0; window < burnWindows.size(); ++window)
            line.windows[window] = level.counts.counts(window, now);
        lines.push_back(std::move(line));
    }
    return lines;
}

nlohmann::json toJson(const std::vector<ServiceLevelLine>& lines)
{
    nlohmann::json rows = nlohmann::json::array();
    for (const ServiceLevelLine& line : lines) {
        nlohmann::json windows = nlohmann::json::array();
        for (std::size_t window = 0; window < burnWindows.size(); ++window) {
            windows.push_back({
                { "minutes", burnWindows[window].count() },
                { "good", line.windows[window].good },
                { "bad", line.windows[window].bad },
            });
        }
        rows.push_back({
            { "team", line.key.team },
            { "class", line.key.className },
            { "targetRatio", line.targetRatio },
            { "windows", std::move(windows) },
        });
    }
    return rows;
}

static absl::StatusOr<ServiceLevelLine> lineFromJson(const nlohmann::json& row)
{
    ServiceLevelLine line;
    line.key.team = row.at("team").get<std::string>();
    line.key.className = row.at("class").get<std::string>();
    line.targetRatio = row.at("targetRatio").get<double>();
    const nlohmann::json& windows = row.at("windows");
    if (windows.size() != burnWindows.size())
        return absl::InvalidArgumentError(absl::StrCat("service level of team '", line.key.team, "' has other windows"));
    for (std::size_t window = 0; window < burnWindows.size(); ++window) {
        const nlohmann::json& counts = windows.at(window);
        if (counts.at("minutes").get<std::int64_t>() != burnWindows[window].count())
            return absl::InvalidArgumentError(absl::StrCat("service level of team '", line.key.team, "' has other windows"));
        line.windows[window].good = counts.at("good").get<std::uint64_t>();
        line.windows[window].bad = counts.at("bad").get<std::uint64_t>();
    }
    return line;
}

absl::StatusOr<std::vector<ServiceLevelLine>> serviceLevelLinesFromJson(const nlohmann::json& json)
{
    std::vector<ServiceLevelLine> lines;
    try {
        for (const nlohmann::json& row : json) {
            absl::StatusOr<ServiceLevelLine> line = lineFromJson(row);
            if (!line.ok())
                return line.status();
            lines.push_back(*std::move(line));
        }
    } catch (const nlohmann::json::exception& fault) {
        return absl::InvalidArgumentError(absl::StrCat("service levels: ", fault.what()));
    }
    return lines;
}

} // namespace catkinwing
