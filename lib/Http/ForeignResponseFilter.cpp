#include "ForeignResponseFilter.h"

#include "ClientMessage.h"
#include "HeaderSyntax.h"
#include "ResponseHeadGuard.h"
#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/strip.h>
#include <utility>

namespace catkinwing {

// A server that sends more than this by mistake doesn't recover.
static constexpr unsigned maxResponses = 16;
static constexpr std::size_t maxBytes = 1u << 20;

static constexpr int firstFinalStatus = 200;
static constexpr int statusNoContent = 204;
static constexpr int statusNotModified = 304;

static bool takeLine(absl::string_view& input, absl::string_view& line)
{
    std::size_t end = input.find('\n');
    if (end == absl::string_view::npos)
        return false;
    line = absl::StripSuffix(input.substr(0, end), "\r");
    input.remove_prefix(end + 1);
    return true;
}

namespace {

    /// The head of a response, with the interim ones before it.
    struct HeadRange {
        std::size_t bytes { 0 };
        int status { 0 };
        /// Where the fields of the last head begin.
        std::size_t fields { 0 };
        bool isForeign { false };
    };

} // namespace

static bool isOtherValue(absl::string_view line, absl::string_view name, absl::string_view value)
{
    bool isNamed = line.size() > name.size() && line[name.size()] == ':' && absl::StartsWithIgnoreCase(line, name);
    if (!isNamed)
        return false;
    absl::string_view repeated = absl::StripAsciiWhitespace(line.substr(name.size() + 1));
    return !repeated.empty() && repeated != value;
}

// Finds the head at the beginning of input; nothing if it isn't whole. Most responses aren't foreign,
// so nothing is copied here.
static std::optional<HeadRange> findHead(absl::string_view input, absl::string_view name, absl::string_view value)
{
    HeadRange head;
    absl::string_view rest = input;
    absl::string_view line;
    bool isStatusLine = true;
    while (takeLine(rest, line)) {
        if (isStatusLine) {
            head.status = parseStatusLine(line).value_or(0);
            head.isForeign = false;
            head.fields = input.size() - rest.size();
        }
        isStatusLine = line.empty();
        head.isForeign = head.isForeign || isOtherValue(line, name, value);
        head.bytes = input.size() - rest.size();
        if (line.empty() && !isInterimStatus(head.status))
            return head;
    }
    return std::nullopt;
}

// Names are in lower case, as framingFault() needs them; what isn't a field gets none.
static HttpResponseHead parseHead(absl::string_view input, const HeadRange& range)
{
    HttpResponseHead head;
    head.status = range.status;
    absl::string_view fields = input.substr(range.fields, range.bytes - range.fields);
    absl::string_view line;
    while (takeLine(fields, line) && !line.empty()) {
        std::size_t colon = line.find(':');
        bool isField = colon != absl::string_view::npos && isFieldName(line.substr(0, colon));
        if (isField)
            head.headers.add(absl::AsciiStrToLower(line.substr(0, colon)), std::string(absl::StripAsciiWhitespace(line.substr(colon + 1))));
        else
            head.headers.add({}, std::string(line));
    }
    return head;
}

// Returns nothing if the end of the body isn't certain.
static std::optional<RequestBodyFraming> framingOfBody(const HttpResponseHead& head)
{
    RequestBodyFraming framing;
    if (framingFault(head) || head.status < firstFinalStatus)
        return std::nullopt;
    if (head.status == statusNoContent || head.status == statusNotModified)
        return framing;
    if (const std::string* coding = head.headers.find("transfer-encoding")) {
        framing.isChunked = *coding == "chunked";
        return framing.isChunked ? std::optional<RequestBodyFraming>(framing) : std::nullopt;
    }
    const std::string* length = head.headers.find("content-length");
    return length && absl::SimpleAtoi(*length, &framing.length) ? std::optional<RequestBodyFraming>(framing) : std::nullopt;
}

ForeignResponseFilter::ForeignResponseFilter(std::string field, absl::string_view value, bool mayPassOver)
    : m_field(std::move(field))
    , m_value(absl::StripAsciiWhitespace(value))
    , m_mayPassOver(mayPassOver)
{
}

ForeignResponseFilter::Verdict ForeignResponseFilter::read(absl::string_view input, std::size_t& passedOver)
{
    std::size_t size = input.size();
    passedOver = 0;
    while (true) {
        if (m_body.isInBody())
            input.remove_prefix(m_body.readBody(input, [](absl::string_view data) { return data.size(); }));
        std::size_t bytes = size - input.size() - passedOver;
        passedOver += bytes;
        m_bytes += bytes;
        if (m_body.fault() != FramingFault::None || m_bytes > maxBytes)
            return Verdict::Unreadable;
        if (m_body.isInBody() || input.empty())
            return Verdict::NeedsInput;
        std::optional<HeadRange> head = findHead(input, m_field, m_value);
        if (!head || !head->isForeign)
            return Verdict::Pass;
        std::optional<RequestBodyFraming> framing = framingOfBody(parseHead(input, *head));
        bool isFaulty = !framing || responseHeadFault(input.substr(0, head->bytes));
        if (++m_responses > maxResponses || !m_mayPassOver || isFaulty)
            return Verdict::Unreadable;
        m_body.beginBody(*framing);
        input.remove_prefix(head->bytes);
    }
}

} // namespace catkinwing
