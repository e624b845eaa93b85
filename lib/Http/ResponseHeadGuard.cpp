#include "ResponseHeadGuard.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/strip.h>
#include <algorithm>

namespace catkinwing {

// More digits might not fit the type of a size.
static constexpr std::size_t maxLengthDigits = 18;

static bool isLength(absl::string_view value)
{
    return !value.empty() && value.size() <= maxLengthDigits
        && std::all_of(value.begin(), value.end(), [](unsigned char c) { return absl::ascii_isdigit(c); });
}

static bool isField(absl::string_view line, absl::string_view name, absl::string_view& value)
{
    bool isNamed = line.size() > name.size() && line[name.size()] == ':' && absl::EqualsIgnoreCase(line.substr(0, name.size()), name);
    if (!isNamed)
        return false;
    value = line.substr(name.size() + 1);
    value.remove_prefix(std::min(value.find_first_not_of(" \t"), value.size()));
    return true;
}

// h2o stops the whole process, by an assertion, at a content-length that is no
// number and at transfer codings that it doesn't know, which it compares by
// every character. So only what it surely takes goes through.
static const char* lineFault(absl::string_view line)
{
    absl::string_view value;
    if (isField(line, "content-length", value) && !isLength(value))
        return "content-length is not a number";
    bool isCoding = isField(line, "transfer-encoding", value);
    if (isCoding && value != "chunked" && value != "identity")
        return "unknown transfer-encoding";
    return nullptr;
}

static bool isInterim(absl::string_view statusLine)
{
    std::size_t space = statusLine.find(' ');
    return space != absl::string_view::npos && absl::StartsWith(statusLine.substr(space + 1), "1");
}

static bool takeLine(absl::string_view& input, absl::string_view& line)
{
    std::size_t end = input.find('\n');
    if (end == absl::string_view::npos)
        return false;
    line = absl::StripSuffix(input.substr(0, end), "\r");
    input.remove_prefix(end + 1);
    return true;
}

const char* responseHeadFault(absl::string_view input)
{
    std::size_t size = input.size();
    absl::string_view line;
    bool isStatusLine = true;
    bool isInInterim = false;
    while (takeLine(input, line)) {
        if (isStatusLine)
            isInInterim = isInterim(line);
        isStatusLine = line.empty();
        if (line.empty() && !isInInterim)
            return nullptr;
        if (const char* fault = lineFault(line))
            return fault;
    }
    // h2o 2.2.5 itself sets no bound to a response's head.
    return size > maxResponseHeadBytes ? "head too long" : nullptr;
}

} // namespace catkinwing
