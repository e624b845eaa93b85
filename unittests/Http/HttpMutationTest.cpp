// Damaged messages, the same ones in every run: whatever arrives must neither
// stop the process nor leave an exchange without its end.
#include "HttpFixture.h"
#include "RawSocket.h"
#include "catkinwing/Support/Random.h"
#include <array>

using namespace catkinwing;
using namespace std::chrono_literals;

namespace {

constexpr int rounds = 1500;

/// Changes a few bytes of \p message, drops some or says some twice.
std::string damage(std::string message, Random& random)
{
    static const std::string telling = "\r\n\t :;,-0123456789abcdefgXZ\x01\x7f\x80\xff";
    std::uint64_t changes = 1 + random.below(4);
    for (std::uint64_t i = 0; i < changes && !message.empty(); ++i) {
        std::size_t at = random.below(message.size());
        std::size_t length = 1 + random.below(8);
        char byte = telling[random.below(telling.size())];
        switch (random.below(5)) {
        case 0:
            message[at] = byte;
            break;
        case 1:
            message.erase(at, length);
            break;
        case 2:
            message.insert(at, message.substr(at, length * 4));
            break;
        case 3:
            message.insert(at, 1, byte);
            break;
        default:
            message.resize(at);
            break;
        }
    }
    return message;
}

} // namespace

TEST_CASE("damaged requests leave the server serving")
{
    static const std::array<std::string, 6> requests {
        "GET /path?query HTTP/1.1\r\nhost: a\r\nx-field: value\r\n\r\n",
        "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\n0123456789",
        "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n5\r\nabcde\r\n3;x=y\r\nfgh\r\n0\r\nt: 1\r\n\r\n",
        "GET / HTTP/1.1\r\nhost: a\r\n\r\nGET /2 HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\n\r\n",
        "GET / HTTP/1.1\r\nhost: a\r\nconnection: upgrade, http2-settings\r\nupgrade: h2c\r\nhttp2-settings: AAMAAABkAARAAAAAAAIAAAAA\r\n\r\n",
        std::string("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\4\0\0\0\0\0\0\0\6\1\5\0\0\0\1\x82\x86\x84\1\1a\0\0\4\10\0\0\0\0\0\0\0\1\0", 61),
    };
    SystemClock clock;
    EventLoop loop(clock);
    auto server = startServer(loop, [](const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
        responder->send(headOf(200), request.body);
    });
    Random random(20240501);
    for (int i = 0; i < rounds; ++i) {
        auto caller = RawConnection::connect(server->address());
        REQUIRE(caller);
        caller->sendSome(damage(requests[random.below(requests.size())], random));
        caller->shutdownSend();
        REQUIRE(caller->receiveToEnd(loop));
    }
    REQUIRE(runUntil(loop, [&] { return server->openConnections() == 0; }));
    auto client = makeHttpClient(loop, {});
    auto recorded = sendRecorded(*client, requestFor(server->address()));
    REQUIRE(runUntil(loop, [&] { return recorded->hasEnded(); }));
    CHECK(recorded->result.end == HttpEnd::Complete);
}

TEST_CASE("damaged responses end each exchange once")
{
    static const std::array<std::string, 5> responses {
        "HTTP/1.1 200 OK\r\ncontent-length: 10\r\nx-field: value\r\n\r\n0123456789",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nabcde\r\n3;x=y\r\nfgh\r\n0\r\nt: 1\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\nconnection: keep-alive\r\n\r\n",
        "HTTP/1.0 200 OK\r\ncontent-type: text/plain\r\n\r\nuntil the end",
        "HTTP/1.1 304 Not Modified\r\ncontent-length: 5\r\nconnection: close\r\n\r\n",
    };
    SystemClock clock;
    EventLoop loop(clock);
    auto client = makeHttpClient(loop, {});
    RawServer server;
    Random random(20240502);
    for (int i = 0; i < rounds; ++i) {
        HttpClientRequest request = requestFor(server.address());
        request.freshConnection = true;
        request.method = random.below(8) == 0 ? "HEAD" : "GET";
        auto recorded = sendRecorded(*client, request);
        auto connection = server.waitForConnection(loop);
        REQUIRE(connection);
        std::string response = damage(responses[random.below(responses.size())], random);
        INFO(response);
        std::size_t cut = random.below(response.size() + 1);
        connection->sendSome(response.substr(0, cut));
        loop.runOnce(1ms);
        connection->sendSome(response.substr(cut));
        loop.runOnce(1ms);
        connection->close();
        REQUIRE(runUntil(loop, [&] { return recorded->hasEnded(); }));
        loop.runOnce(0ms);
        REQUIRE(recorded->ends == 1);
        bool hasAnswer = recorded->result.end == HttpEnd::Complete || recorded->result.end == HttpEnd::Truncated;
        if (hasAnswer)
            REQUIRE(recorded->heads == 1);
    }
}
