#include "catkinwing/Replay/Trace.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <nlohmann/json.hpp>

namespace catkinwing {

static TraceRequest readRequest(const nlohmann::json& line)
{
    TraceRequest request;
    request.at = std::chrono::milliseconds(line.at("at_ms").get<std::int64_t>());
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
            trace.push_back(readRequest(nlohmann::json::parse(line.begin(), line.end())));
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
