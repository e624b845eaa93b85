#include "ResponseHeadGuard.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/strip.h>
#include <algorithm>

namespace catkinwing {

// More digits might not fit the type of a size.
static constexpr std::size_t maxLengthDigits = 18;

// A status beyond these has no class, and so no meaning (RFC 9110, section 15).
static constexpr int firstStatus = 100;
static constexpr int lastStatus = 599;
static constexpr int statusSwitchingProtocols = 101;
static constexpr int firstFinalStatus = 200;

static bool isDigit(char c)
{
    return absl::ascii_isdigit(static_cast<unsigned char>(c));
}

static bool isLength(absl::string_view value)
{
    return !value.empty() && value.size() <= maxLengthDigits && std::all_of(value.begin(), value.end(), isDigit);
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

std::optional<int> parseStatusLine(absl::string_view line)
{
    // What follows: the minor version, a space, three digits and a space.
    constexpr std::size_t minBytes = 6;
    if (!absl::ConsumePrefix(&line, "HTTP/1.") || line.size() < minBytes)
        return std::nullopt;
    absl::string_view digits = line.substr(2, 3);
    bool hasForm = isDigit(line[0]) && line[1] == ' ' && std::all_of(digits.begin(), digits.end(), isDigit) && line[minBytes - 1] == ' ';
    int status = 0;
    if (!hasForm || !absl::SimpleAtoi(digits, &status) || status < firstStatus || status > lastStatus)
        return std::nullopt;
    return status;
}

bool isInterimStatus(int status)
{
    return status >= firstStatus && status < firstFinalStatus && status != statusSwitchingProtocols;
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
        if (isStatusLine) {
            std::optional<int> status = parseStatusLine(line);
            if (!status)
                return "invalid status line";
            isInInterim = isInterimStatus(*status);
        }
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
