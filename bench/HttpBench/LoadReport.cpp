#include "LoadReport.h"

#include <algorithm>

namespace catkinwing {

using Milliseconds = std::chrono::duration<double, std::milli>;

static double percentile(const std::vector<Duration>& sorted, double share)
{
    if (sorted.empty())
        return 0;
    auto index = static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1));
    return Milliseconds(sorted[index]).count();
}

static nlohmann::json distribution(std::vector<Duration> samples)
{
    std::sort(samples.begin(), samples.end());
    return {
        { "count", samples.size() },
        { "p50_ms", percentile(samples, 0.5) },
        { "p95_ms", percentile(samples, 0.95) },
        { "p99_ms", percentile(samples, 0.99) },
        { "max_ms", percentile(samples, 1) },
    };
}

nlohmann::json makeReport(const SocketAddress& target, const LoadSamples& samples, bool isStream)
{
    double seconds = std::chrono::duration<double>(samples.elapsed).count();
    nlohmann::json report = {
        { "target", target.toString() },
        { "requests_per_second", static_cast<double>(samples.whole.size()) / seconds },
        { "seconds", seconds },
        { "errors", samples.errorCount() },
        { "errors_by_kind", samples.errors },
        { "whole", distribution(samples.whole) },
        { "first_byte", distribution(samples.firstByte) },
    };
    if (isStream)
        report["between_pieces"] = distribution(samples.gaps);
    return report;
}

static nlohmann::json ratio(const nlohmann::json& first, const nlohmann::json& second)
{
    double divisor = first.get<double>();
    return divisor > 0 ? nlohmann::json(second.get<double>() / divisor) : nlohmann::json();
}

nlohmann::json makeRatios(const nlohmann::json& first, const nlohmann::json& second)
{
    nlohmann::json ratios = {
        { "requests_per_second", ratio(first["requests_per_second"], second["requests_per_second"]) },
    };
    for (const char* kind : { "whole", "first_byte", "between_pieces" }) {
        if (!first.contains(kind))
            continue;
        for (const char* figure : { "p50_ms", "p95_ms", "p99_ms" })
            ratios[kind][figure] = ratio(first[kind][figure], second[kind][figure]);
    }
    return ratios;
}

} // namespace catkinwing
