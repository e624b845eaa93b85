#include "catkinwing/Replay/Trace.h"

#include "JsonTime.h"
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <nlohmann/json.hpp>

namespace catkinwing {

static absl::StatusOr<TraceRequest> readRequest(const nlohmann::json& line)
{
    TraceRequest request;
    std::optional<std::chrono::milliseconds> at = millisecondsOf(line.at("at_ms"));
    if (!at)
        return absl::InvalidArgumentError(absl::StrCat("at_ms is out of range: ", line["at_ms"].dump()));
    request.at = *at;
    request.region = line.at("region").get<std::string>();
    request.key = line.at("key").get<std::string>();
    request.requestClass = line.at("class").get<std::string>();
    request.method = line.value("method", std::string("POST"));
    request.path = line.at("path").get<std::string>();
    if (line.contains("body"))
        request.body = line["body"].dump();
    request.idempotencyKey = line.value("idempotency_key", std::string());
    return request;
}

absl::StatusOr<std::vector<TraceRequest>> parseTrace(absl::string_view text)
{
    std::vector<TraceRequest> trace;
    std::size_t number = 0;
    for (absl::string_view line : absl::StrSplit(text, '\n')) {
        ++number;
        if (line.empty())
            continue;
        try {
            absl::StatusOr<TraceRequest> request = readRequest(nlohmann::json::parse(line.begin(), line.end()));
            if (!request.ok())
                return absl::InvalidArgumentError(absl::StrCat("line ", number, ": ", request.status().message()));
            trace.push_back(std::move(*request));
        } catch (const nlohmann::json::exception& fault) {
            return absl::InvalidArgumentError(absl::StrCat("line ", number, ": ", fault.what()));
        }
        bool isOutOfOrder = trace.size() > 1 && trace.back().at < trace[trace.size() - 2].at;
        if (isOutOfOrder)
            return absl::InvalidArgumentError(absl::StrCat("line ", number, ": at_ms is before that of the line above"));
    }
    return trace;
}

} // namespace catkinwing
