#include "FuzzInput.h"
#include "platform/PlatformDialect.h"
#include <absl/strings/str_split.h>

using namespace catkinwing;

static HttpHeaders readHeaders(absl::string_view text)
{
    HttpHeaders headers;
    for (absl::string_view line : absl::StrSplit(text, '\n', absl::SkipEmpty())) {
        std::pair<std::string, std::string> field = absl::StrSplit(line, absl::MaxSplits(':', 1));
        headers.add(std::move(field.first), std::move(field.second));
    }
    return headers;
}

// The first line is the query, the rest are fields.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    absl::string_view text = textOf(data, size);
    std::size_t line = text.find('\n');
    Dialect dialect = platform::platformDialect();
    HttpRequest request;
    request.method = "GET";
    request.path = "/resolve";
    request.query = std::string(text.substr(0, line));
    request.headers = readHeaders(line == absl::string_view::npos ? "" : text.substr(line + 1));
    RequestFacts facts = dialect.readRequest(request);
    for (const char* withheld : { "connection", "transfer-encoding", "content-length", "expect-instance", "catkinwing-from", "key", "tenant" })
        require(!facts.forwardedHeaders.find(withheld), "what only the system may set isn't passed on");
    require(!facts.timeLeft || facts.timeLeft->count() >= 0, "a deadline isn't past");
    require(dialect.readDirectoryQuery(request).has_value(), "the path tells a directory's question");
    HttpResponseHead head { 200, request.headers };
    ResponseFacts answer = dialect.readResponse(head);
    require(!answer.isOtherIncarnation, "the status tells another incarnation");
    AttemptFacts attempt { "i-1", std::chrono::milliseconds(5), 3, 1, "workspace", SocketAddress { "127.0.0.1", 1 } };
    dialect.writeAttempt(attempt, facts.forwardedHeaders);
    const std::string* incarnation = facts.forwardedHeaders.find("expect-instance");
    require(incarnation && *incarnation == "i-1", "the attempt's own fields stand alone");
    return 0;
}
