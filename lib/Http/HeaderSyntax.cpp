#include "HeaderSyntax.h"

#include <absl/strings/ascii.h>
#include <algorithm>

namespace catkinwing {

static bool isTokenCharacter(char c)
{
    static constexpr absl::string_view marks = "!#$%&'*+-.^_`|~";
    return absl::ascii_isalnum(static_cast<unsigned char>(c)) || marks.find(c) != absl::string_view::npos;
}

bool isFieldName(absl::string_view name)
{
    return !name.empty() && std::all_of(name.begin(), name.end(), isTokenCharacter);
}

bool isFieldValue(absl::string_view value)
{
    return std::none_of(value.begin(), value.end(),
        [](unsigned char c) { return (c < ' ' && c != '\t') || c == 127; });
}

bool isRequestTarget(absl::string_view target)
{
    return !target.empty() && std::none_of(target.begin(), target.end(), [](unsigned char c) { return c <= ' ' || c == 127; });
}

const char* reasonPhrase(int status)
{
    struct Phrase {
        int status;
        const char* text;
    };
    static constexpr Phrase phrases[] = {
        { 200, "OK" },
        { 201, "Created" },
        { 202, "Accepted" },
        { 204, "No Content" },
        { 206, "Partial Content" },
        { 301, "Moved Permanently" },
        { 302, "Found" },
        { 303, "See Other" },
        { 304, "Not Modified" },
        { 307, "Temporary Redirect" },
        { 308, "Permanent Redirect" },
        { 400, "Bad Request" },
        { 401, "Unauthorized" },
        { 403, "Forbidden" },
        { 404, "Not Found" },
        { 405, "Method Not Allowed" },
        { 408, "Request Timeout" },
        { 409, "Conflict" },
        { 410, "Gone" },
        { 411, "Length Required" },
        { 412, "Precondition Failed" },
        { 413, "Content Too Large" },
        { 415, "Unsupported Media Type" },
        { 421, "Misdirected Request" },
        { 422, "Unprocessable Content" },
        { 425, "Too Early" },
        { 428, "Precondition Required" },
        { 429, "Too Many Requests" },
        { 431, "Request Header Fields Too Large" },
        { 451, "Unavailable For Legal Reasons" },
        { 500, "Internal Server Error" },
        { 501, "Not Implemented" },
        { 502, "Bad Gateway" },
        { 503, "Service Unavailable" },
        { 504, "Gateway Timeout" },
    };
    for (const auto& phrase : phrases) {
        if (phrase.status == status)
            return phrase.text;
    }
    return "Status";
}

} // namespace catkinwing
