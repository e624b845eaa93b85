// Compares where an entry's server takes requests to end with a second, strict reading.
#include "FuzzInput.h"
#include "catkinwing/Http/HttpServer.h"
#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

using namespace catkinwing;
using namespace std::chrono_literals;

namespace {

struct Framing {
    bool isChunked { false };
    std::size_t length { 0 };
};

bool takeLine(absl::string_view& text, absl::string_view& line)
{
    std::size_t end = text.find("\r\n");
    if (end == absl::string_view::npos)
        return false;
    line = text.substr(0, end);
    text.remove_prefix(end + 2);
    return line.find_first_of("\r\n") == absl::string_view::npos;
}

bool readLength(absl::string_view value, std::vector<absl::string_view>& lengths)
{
    for (absl::string_view item : absl::StrSplit(value, ',')) {
        item = absl::StripAsciiWhitespace(item);
        if (item.empty() || item.find_first_not_of("0123456789") != absl::string_view::npos)
            return false;
        while (item.size() > 1 && item.front() == '0')
            item.remove_prefix(1);
        lengths.push_back(item);
    }
    return true;
}

bool readHead(absl::string_view& text, Framing& framing)
{
    absl::string_view line;
    bool hasLine = takeLine(text, line) && (!line.empty() || takeLine(text, line)) && !line.empty();
    if (!hasLine)
        return false;
    bool isHttp10 = absl::EndsWith(line, " HTTP/1.0");
    int codings = 0;
    std::vector<absl::string_view> lengths;
    for (;;) {
        if (!takeLine(text, line))
            return false;
        if (line.empty())
            break;
        std::size_t colon = line.find(':');
        if (colon == absl::string_view::npos || line.front() == ' ' || line.front() == '\t')
            return false;
        std::string name = absl::AsciiStrToLower(line.substr(0, colon));
        absl::string_view value = absl::StripAsciiWhitespace(line.substr(colon + 1));
        if (name == "transfer-encoding" && (++codings > 1 || !absl::EqualsIgnoreCase(value, "chunked")))
            return false;
        if (name == "content-length" && !readLength(value, lengths))
            return false;
    }
    for (absl::string_view length : lengths) {
        if (length != lengths.front() || !absl::SimpleAtoi(length, &framing.length))
            return false;
    }
    framing.isChunked = codings > 0;
    return !(framing.isChunked && (isHttp10 || !lengths.empty()));
}

bool readChunks(absl::string_view& text, std::string& body)
{
    absl::string_view line;
    while (takeLine(text, line)) {
        std::size_t digits = std::min(line.find_first_not_of("0123456789abcdefABCDEF"), line.size());
        absl::string_view extension = line.substr(digits);
        std::uint64_t size = 0;
        bool isSound = digits > 0 && digits < 16 && absl::SimpleHexAtoi(line.substr(0, digits), &size)
            && (extension.empty() || absl::StartsWith(absl::StripAsciiWhitespace(extension), ";"));
        if (!isSound)
            return false;
        if (size == 0)
            break;
        if (text.size() < size + 2 || text.substr(size, 2) != "\r\n")
            return false;
        body.append(text.data(), size);
        text.remove_prefix(size + 2);
    }
    while (takeLine(text, line)) {
        if (line.empty())
            return true;
    }
    return false;
}

bool readRequest(absl::string_view& text, std::string& body)
{
    Framing framing;
    if (!readHead(text, framing))
        return false;
    if (framing.isChunked)
        return readChunks(text, body);
    if (text.size() < framing.length)
        return false;
    body = std::string(text.substr(0, framing.length));
    text.remove_prefix(framing.length);
    return true;
}

std::vector<std::string> readStrictly(absl::string_view text)
{
    std::vector<std::string> bodies;
    std::string body;
    while (readRequest(text, body)) {
        bodies.push_back(body);
        body.clear();
    }
    return bodies;
}

/// A server that keeps the bodies of the requests that it has taken.
struct RecordingServer {
    RecordingServer()
        : loop(clock)
    {
        HttpServerOptions options;
        options.listen = { "127.0.0.1", 0 };
        auto listening = HttpServer::listen(loop, options, [this](const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
            taken.push_back(request.body);
            HttpResponseHead head;
            head.status = 200;
            responder->send(head, "");
        });
        require(listening.ok(), "the server listens");
        server = *std::move(listening);
    }

    int connect() const
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(server->address().port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        int caller = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        require(::connect(caller, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0, "the server accepts");
        // Closing sends a reset, so that no connection lingers.
        linger discard { 1, 0 };
        setsockopt(caller, SOL_SOCKET, SO_LINGER, &discard, sizeof(discard));
        return caller;
    }

    /// Runs the loop until nothing more comes of what was sent.
    void settle()
    {
        static constexpr int quietTurns = 4;
        std::size_t before = taken.size();
        for (int turn = 0; turn < quietTurns; ++turn) {
            loop.runOnce(0ms);
            turn = taken.size() == before ? turn : 0;
            before = taken.size();
        }
    }

    SystemClock clock;
    EventLoop loop;
    std::vector<std::string> taken;
    std::unique_ptr<HttpServer> server;
};

} // namespace

// The first byte tells how much arrives at a time. The server may refuse more than the strict
// reader does, but what it takes are the first requests that the reader sees. A caller that ended
// its sending side would count as gone before it is answered.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    static RecordingServer recording;
    absl::string_view input = textOf(data, size);
    std::size_t pieceBytes = 1 + static_cast<std::uint8_t>(takeByte(input)) * std::size_t { 4 };
    if (absl::StartsWith(input, "PRI * HTTP/2"))
        return 0;
    recording.taken.clear();
    int caller = recording.connect();
    for (std::size_t at = 0; at < input.size(); at += pieceBytes) {
        absl::string_view piece = input.substr(at, pieceBytes);
        ::send(caller, piece.data(), piece.size(), MSG_NOSIGNAL);
        recording.loop.runOnce(0ms);
    }
    recording.settle();
    close(caller);
    std::vector<std::string> expected = readStrictly(input);
    require(recording.taken.size() <= expected.size(), "no request that a strict reader doesn't see");
    for (std::size_t i = 0; i < recording.taken.size(); ++i)
        require(recording.taken[i] == expected[i], "each body as a strict reader sees it");
    while (recording.server->openConnections() > 0)
        recording.loop.runOnce(1ms);
    return 0;
}
