// Guards against smuggled requests: a request whose end is in doubt is answered 400, its connection
// is closed, and nothing behind it is taken for another request.
#include "HeldServer.h"
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

using namespace catkinwing;
using namespace std::chrono_literals;

namespace {

const std::string hidden = "POST /hidden HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n";

std::string post(const std::string& fields, const std::string& rest)
{
    return absl::StrCat("POST /outer HTTP/1.1\r\nhost: a\r\n", fields, "\r\n", rest);
}

std::string chunked(const std::string& body)
{
    return post("transfer-encoding: chunked\r\n", body);
}

/// A server that answers at once, and what it took for requests.
struct AnsweringServer {
    explicit AnsweringServer(HttpServerOptions options = {})
        : loop(clock)
    {
        options.onRefused = [this](const SocketAddress&, const std::string& reason) { reasons.push_back(reason); };
        server = startServer(
            loop, [this](const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
                requests.push_back(request);
                responder->send(headOf(200), "served");
            },
            std::move(options));
    }

    /// Sends \p bytes in pieces of \p pieceBytes, each in a turn of its own.
    std::unique_ptr<RawConnection> send(const std::string& bytes, std::size_t pieceBytes)
    {
        auto caller = RawConnection::connect(server->address());
        REQUIRE(caller);
        for (std::size_t at = 0; at < bytes.size() && !caller->isEnded(); at += pieceBytes) {
            caller->sendSome(absl::string_view(bytes).substr(at, pieceBytes));
            loop.runOnce(1ms);
            caller->receive();
        }
        return caller;
    }

    SystemClock clock;
    EventLoop loop;
    std::vector<HttpRequest> requests;
    std::vector<std::string> reasons;
    std::unique_ptr<HttpServer> server;
};

struct Refusal {
    std::string message;
    std::string reason;
};

std::vector<Refusal> refusals()
{
    const std::string body = "{}" + hidden;
    const std::string size = absl::StrCat(body.size());
    return {
        { post("content-length: 2\r\ncontent-length: " + size + "\r\n", body), "content_lengths_differ" },
        { post("content-length: " + size + "\r\ncontent-length: 2\r\n", body), "content_lengths_differ" },
        { post("content-length: 300\r\ncontent-length: 2\r\n", body), "content_lengths_differ" },
        { post("Content-Length: 2\r\nx: y\r\ncONTENT-lENGTH: " + size + "\r\n", body), "content_lengths_differ" },
        { post("content-length: 2\r\ncontent-length: 2\r\ncontent-length: " + size + "\r\n", body), "content_lengths_differ" },
        { post("content-length: 02\r\ncontent-length: " + size + "\r\n", body), "content_lengths_differ" },
        { post("content-length: 2, " + size + "\r\n", body), "content_lengths_differ" },
        { post("content-length: +2\r\n", body), "content_length" },
        { post("content-length: \r\n", body), "content_length" },
        { post("content-length: 0x2\r\n", body), "content_length" },
        { post("content-length: 2,\r\n", body), "content_length" },
        { post("content-length: 18446744073709551618\r\n", body), "content_length" },
        { post("content-length : 2\r\n", body), "field" },
        { post("content-length\r\n", body), "field" },
        { post("x: a\x01\r\ncontent-length: 2\r\n", body), "field" },
        { post("content-length: 2\r\n 300\r\n", body), "folded_field" },
        { post("x: a\r\n\tb\r\n", hidden), "folded_field" },
        { post("x: a\ncontent-length: 2\r\n", body), "bare_line_end" },
        { post("x: a\rcontent-length: 2\r\n", body), "bare_line_end" },
        { post("content-length: 2\n", body), "bare_line_end" },
        { "POST /outer HTTP/1.1\r\nhost: a\n\n" + hidden, "bare_line_end" },
        { post("content-length: 5\r\ntransfer-encoding: chunked\r\n", "0\r\n\r\n" + hidden), "content_length_with_transfer_encoding" },
        { post("transfer-encoding: chunked\r\ncontent-length: 0\r\n", "0\r\n\r\n" + hidden), "content_length_with_transfer_encoding" },
        { post("content-length: 5\r\ntransfer-encoding:\tchunked\r\n", "0\r\n\r\n" + hidden), "content_length_with_transfer_encoding" },
        { post("transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n", "0\r\n\r\n" + hidden), "transfer_encoding_repeated" },
        { post("transfer-encoding: gzip, chunked\r\n", "0\r\n\r\n" + hidden), "transfer_encoding" },
        { post("transfer-encoding: identity\r\n", hidden), "transfer_encoding" },
        { post("transfer-encoding: \r\n", hidden), "transfer_encoding" },
        { "POST /outer HTTP/1.0\r\nhost: a\r\nconnection: keep-alive\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n" + hidden, "transfer_encoding_in_http_1_0" },
        { post("expect: 200-ok\r\ncontent-length: " + std::to_string(hidden.size()) + "\r\n", hidden), "expectation" },
        { "POST  /outer HTTP/1.1\r\nhost: a\r\n\r\n" + hidden, "request_line" },
        { "POST /outer HTTP/2.0\r\nhost: a\r\n\r\n" + hidden, "request_line" },
        { "\r\n\r\n" + hidden, "request_line" },
        { chunked("0x2\r\n{}\r\n0\r\n\r\n" + hidden), "chunk_line" },
        { chunked("2 x\r\n{}\r\n0\r\n\r\n" + hidden), "chunk_line" },
        { chunked("0 \r\n\r\n" + hidden), "chunk_line" },
        { chunked("2;a=\x01\r\n{}\r\n0\r\n\r\n" + hidden), "chunk_line" },
        { chunked("-2\r\n{}\r\n0\r\n\r\n" + hidden), "chunk_size" },
        { chunked("\r\n0\r\n\r\n" + hidden), "chunk_size" },
        { chunked("10000000000000002\r\n{}\r\n0\r\n\r\n" + hidden), "chunk_size" },
        { chunked("2\n{}\r\n0\r\n\r\n" + hidden), "bare_line_end" },
        { chunked("2;a\rb\r\n{}\r\n0\r\n\r\n" + hidden), "bare_line_end" },
        { chunked("2\r\n{}\n0\r\n\r\n" + hidden), "chunk_end" },
        { chunked("2\r\n{}\r\r\n0\r\n\r\n" + hidden), "chunk_end" },
        { chunked("2\r\n{}xx0\r\n\r\n" + hidden), "chunk_end" },
        { chunked("0\n\n" + hidden), "bare_line_end" },
        { chunked("0\r\nno field\r\n\r\n" + hidden), "trailer" },
        { chunked("0\r\nt: a\n\r\n" + hidden), "bare_line_end" },
    };
}

std::vector<std::string> soundRequests()
{
    return {
        post("content-length: 2\r\n", "{}"),
        post("content-length:2\r\n", "{}"),
        post("content-length: \t2 \t\r\n", "{}"),
        post("content-length: 2\r\ncontent-length: 2\r\n", "{}"),
        post("content-length: 2, 2\r\n", "{}"),
        post("Content-Length: 2 ,2\r\n", "{}"),
        post("expect: 100-continue\r\ncontent-length: 2\r\n", "{}"),
        post("x: a\x80 b\t\r\ncontent-length: 2\r\n", "{}"),
        "\r\n" + post("content-length: 2\r\n", "{}"),
        chunked("2\r\n{}\r\n0\r\n\r\n"),
        chunked("1\r\n{\r\n001\r\n}\r\n000\r\n\r\n"),
        chunked("2;name=value;other=\"a b\"\r\n{}\r\n0;last\r\n\r\n"),
        chunked("2 ; name\r\n{}\r\n0\r\n\r\n"),
        chunked("2\r\n{}\r\n0\r\nt: 1\r\nu: 2\r\n\r\n"),
        post("Transfer-Encoding:\tChunked \r\n", "2\r\n{}\r\n0\r\n\r\n"),
        post("transfer-encoding: chunked\r\nexpect: 100-Continue\r\n", "2\r\n{}\r\n0\r\n\r\n"),
    };
}

std::size_t countOf(const std::string& text, const std::string& part)
{
    std::size_t count = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++count;
    return count;
}

} // namespace

TEST_CASE("a request whose end is in doubt is answered 400, and nothing after it is run")
{
    std::size_t pieceBytes = GENERATE(1, 7, 100'000);
    bool isFirst = GENERATE(true, false);
    for (const Refusal& refusal : refusals()) {
        AnsweringServer answering;
        INFO(pieceBytes << " " << isFirst << " " << refusal.message);
        auto caller = answering.send((isFirst ? "" : getRequest) + refusal.message, pieceBytes);
        REQUIRE(caller->receiveToEnd(answering.loop));
        CHECK(countOf(caller->received(), "HTTP/1.1 400 ") == 1);
        CHECK(countOf(caller->received(), "HTTP/1.1 ") == (isFirst ? 1 : 2));
        CHECK(answering.requests.size() == (isFirst ? 0 : 1));
        CHECK(answering.reasons == std::vector<std::string> { refusal.reason });
    }
}

TEST_CASE("a request whose end is sure is served, and so is the next one")
{
    std::size_t pieceBytes = GENERATE(1, 7, 100'000);
    for (const std::string& message : soundRequests()) {
        AnsweringServer answering;
        INFO(pieceBytes << " " << message);
        auto caller = answering.send(absl::StrCat(message, message, getRequest), pieceBytes);
        REQUIRE(runUntil(answering.loop, [&] {
            caller->receive();
            return countOf(caller->received(), "served") == 3 || caller->isEnded();
        }));
        INFO(caller->received());
        REQUIRE(answering.requests.size() == 3);
        CHECK(answering.requests[0].body == "{}");
        CHECK(answering.requests[1].body == "{}");
        CHECK(answering.requests[2].path == "/");
        CHECK_FALSE(absl::StrContains(caller->received(), " 101 "));
        CHECK(answering.reasons.empty());
        CHECK_FALSE(caller->isEnded());
    }
}

TEST_CASE("a chunk far larger than what arrives at once is read as it is")
{
    AnsweringServer answering;
    const std::string data(300'000, 'x');
    auto caller = answering.send(chunked("493e0\r\n" + data + "\r\n493e0\r\n" + data + "\r\n0\r\n\r\n") + getRequest, 50'001);
    REQUIRE(runUntil(answering.loop, [&] { return answering.requests.size() == 2; }));
    CHECK(answering.requests[0].body == data + data);
}

TEST_CASE("an upgrade to HTTP/2 is passed over")
{
    AnsweringServer answering;
    auto caller = answering.send("GET / HTTP/1.1\r\nhost: a\r\nconnection: upgrade, http2-settings\r\nupgrade: h2c\r\n"
                                 "http2-settings: AAMAAABkAARAAAAAAAIAAAAA\r\n\r\n",
        100'000);
    REQUIRE(caller->receiveUntil(answering.loop, "served"));
    CHECK(absl::StartsWith(caller->received(), "HTTP/1.1 200 "));
}
