#include "catkinwing/Standin/ExecutionLog.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <fstream>

namespace catkinwing::standin {

static const char* eventName(ExecutionEvent event)
{
    switch (event) {
    case ExecutionEvent::Received:
        return "received";
    case ExecutionEvent::Started:
        return "started";
    case ExecutionEvent::Finished:
        return "finished";
    case ExecutionEvent::Cancelled:
        return "cancelled";
    case ExecutionEvent::Cut:
        return "cut";
    case ExecutionEvent::Served:
        break;
    }
    return "served";
}

static bool isMarkerCharacter(char character)
{
    return absl::ascii_isalnum(static_cast<unsigned char>(character)) || character == '-' || character == '_';
}

std::string findMarker(absl::string_view text)
{
    constexpr absl::string_view label = "marker=";
    std::size_t position = text.find(label);
    if (position == absl::string_view::npos)
        return {};
    std::size_t begin = position + label.size();
    std::size_t end = begin;
    while (end < text.size() && isMarkerCharacter(text[end]))
        ++end;
    return std::string(text.substr(begin, end - begin));
}

static std::string headerOf(const HttpRequest& request, absl::string_view name)
{
    const std::string* value = request.headers.find(name);
    return value ? *value : std::string();
}

CallIdentity identifyCall(const HttpRequest& request)
{
    CallIdentity identity;
    identity.requestId = headerOf(request, "catkinwing-request-id");
    identity.idempotencyKey = headerOf(request, "idempotency-key");
    identity.team = headerOf(request, "catkinwing-team");
    identity.attempt = headerOf(request, "catkinwing-attempt");
    identity.from = headerOf(request, "catkinwing-from");
    identity.role = headerOf(request, "catkinwing-role");
    identity.method = request.method;
    identity.path = request.path;
    identity.marker = findMarker(request.body);
    if (identity.marker.empty())
        identity.marker = findMarker(request.query);
    return identity;
}

absl::StatusOr<std::unique_ptr<ExecutionLog>> ExecutionLog::open(const std::string& file, std::string standinName, const Clock& clock)
{
    if (file.empty())
        return std::make_unique<ExecutionLog>(nullptr, std::move(standinName), clock);
    auto output = std::make_unique<std::ofstream>(file, std::ios::app);
    if (!*output)
        return absl::UnavailableError(absl::StrCat("can't open log ", file));
    return std::make_unique<ExecutionLog>(std::move(output), std::move(standinName), clock);
}

ExecutionLog::ExecutionLog(std::unique_ptr<std::ostream> output, std::string standinName, const Clock& clock)
    : m_output(std::move(output))
    , m_standinName(std::move(standinName))
    , m_clock(clock)
{
}

void ExecutionLog::record(const CallIdentity& identity, ExecutionEvent event, const nlohmann::json& fields)
{
    if (!m_output)
        return;
    auto sinceEpoch = m_clock.wallNow().time_since_epoch();
    nlohmann::json line = {
        { "time_ms", std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count() },
        { "standin", m_standinName },
        { "request_id", identity.requestId },
        { "idempotency_key", identity.idempotencyKey },
        { "team", identity.team },
        { "attempt", identity.attempt },
        { "from", identity.from },
        { "method", identity.method },
        { "path", identity.path },
        { "marker", identity.marker },
        { "event", eventName(event) },
    };
    line.update(fields);
    // A process that is killed must not take its record along.
    *m_output << line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) << '\n'
              << std::flush;
}

} // namespace catkinwing::standin
