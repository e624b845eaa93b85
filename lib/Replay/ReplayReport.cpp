#include "catkinwing/Replay/ReplayReport.h"

#include "JsonTime.h"
#include <absl/strings/str_cat.h>
#include <algorithm>

namespace catkinwing {

/// Sets \p time if the field is there. Returns false if its value is out of range.
static bool readMilliseconds(const nlohmann::json& json, const char* name, std::optional<std::chrono::milliseconds>& time)
{
    auto field = json.find(name);
    if (field == json.end())
        return true;
    time = millisecondsOf(*field);
    return time.has_value();
}

static std::optional<double> readRatio(const nlohmann::json& json, const char* name)
{
    auto field = json.find(name);
    if (field == json.end())
        return std::nullopt;
    return field->get<double>();
}

absl::StatusOr<StatedOutcomes> parseStatedOutcomes(absl::string_view text)
{
    StatedOutcomes stated;
    try {
        nlohmann::json json = nlohmann::json::parse(text.begin(), text.end());
        if (!json.is_object())
            return absl::InvalidArgumentError("stated outcomes: not a JSON object");
        for (const auto& [name, fields] : json.items()) {
            StatedOutcome outcome;
            outcome.answered = readRatio(fields, "answered");
            outcome.unknown = readRatio(fields, "unknown");
            bool areTimesValid = readMilliseconds(fields, "median_time_to_first_byte_ms", outcome.medianTimeToFirstByte)
                && readMilliseconds(fields, "p99_time_to_first_byte_ms", outcome.p99TimeToFirstByte);
            if (!areTimesValid)
                return absl::InvalidArgumentError(absl::StrCat("stated outcomes of ", name, ": a time is out of range"));
            stated[name] = outcome;
        }
    } catch (const nlohmann::json::exception& fault) {
        return absl::InvalidArgumentError(absl::StrCat("stated outcomes: ", fault.what()));
    }
    return stated;
}

// Nearest rank on sorted times; zero where there are none.
static std::chrono::nanoseconds percentile(const std::vector<std::chrono::nanoseconds>& sorted, double fraction)
{
    if (sorted.empty())
        return {};
    auto rank = static_cast<std::size_t>(fraction * static_cast<double>(sorted.size()));
    return sorted[std::min(rank, sorted.size() - 1)];
}

std::map<std::string, ClassFigures> summarize(const std::vector<ReplayResult>& results)
{
    std::map<std::string, ClassFigures> figures;
    std::map<std::string, std::vector<std::chrono::nanoseconds>> times;
    constexpr int firstFailure = 300;
    for (const ReplayResult& result : results) {
        ClassFigures& figure = figures[result.requestClass];
        ++figure.requests;
        bool isAnswered = result.isWhole && result.status > 0 && result.status < firstFailure;
        if (isAnswered)
            ++figure.answered;
        else if (result.outcome == "not-run")
            ++figure.notRun;
        else
            ++figure.unknown;
        if (isAnswered && result.timeToFirstByte)
            times[result.requestClass].push_back(*result.timeToFirstByte);
    }
    for (auto& [name, sorted] : times) {
        std::sort(sorted.begin(), sorted.end());
        figures[name].medianTimeToFirstByte = percentile(sorted, 0.5);
        figures[name].p99TimeToFirstByte = percentile(sorted, 0.99);
    }
    return figures;
}

static double part(std::size_t count, const ClassFigures& figures)
{
    return figures.requests == 0 ? 0 : static_cast<double>(count) / static_cast<double>(figures.requests);
}

static void checkTime(const std::string& name, const char* what, std::chrono::nanoseconds measured, std::optional<std::chrono::milliseconds> stated, std::vector<std::string>& missed)
{
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    if (stated && measured > *stated)
        missed.push_back(absl::StrCat("class ", name, ": ", what, " time to first byte is ", duration_cast<milliseconds>(measured).count(), " ms, stated ", stated->count(), " ms"));
}

std::vector<std::string> findMissed(const std::map<std::string, ClassFigures>& figures, const StatedOutcomes& stated)
{
    std::vector<std::string> missed;
    for (const auto& [name, outcome] : stated) {
        auto found = figures.find(name);
        if (found == figures.end()) {
            missed.push_back(absl::StrCat("class ", name, ": no request was sent"));
            continue;
        }
        const ClassFigures& figure = found->second;
        double answered = part(figure.answered, figure);
        double unknown = part(figure.unknown, figure);
        if (outcome.answered && answered < *outcome.answered)
            missed.push_back(absl::StrCat("class ", name, ": ", answered, " answered, stated ", *outcome.answered));
        if (outcome.unknown && unknown > *outcome.unknown)
            missed.push_back(absl::StrCat("class ", name, ": ", unknown, " unknown, stated at most ", *outcome.unknown));
        checkTime(name, "median", figure.medianTimeToFirstByte, outcome.medianTimeToFirstByte, missed);
        checkTime(name, "p99", figure.p99TimeToFirstByte, outcome.p99TimeToFirstByte, missed);
    }
    return missed;
}

static double toMilliseconds(std::chrono::nanoseconds time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

nlohmann::json toJson(const std::map<std::string, ClassFigures>& figures, const std::vector<std::string>& missed)
{
    nlohmann::json classes = nlohmann::json::object();
    for (const auto& [name, figure] : figures) {
        classes[name] = {
            { "requests", figure.requests },
            { "answered", figure.answered },
            { "not_run", figure.notRun },
            { "unknown", figure.unknown },
            { "median_time_to_first_byte_ms", toMilliseconds(figure.medianTimeToFirstByte) },
            { "p99_time_to_first_byte_ms", toMilliseconds(figure.p99TimeToFirstByte) },
        };
    }
    return { { "classes", std::move(classes) }, { "missed", missed } };
}

} // namespace catkinwing
