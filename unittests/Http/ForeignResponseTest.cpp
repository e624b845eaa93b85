#include "ForeignResponseFilter.h"

#include "ScriptedServer.h"
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

using namespace catkinwing;
using namespace std::chrono_literals;

static std::string refusalOf(const std::string& id)
{
    return absl::StrCat("HTTP/1.1 503 Full\r\nRequest-Id: ", id, "\r\ncontent-length: 4\r\n\r\nfull");
}

static std::string answerTo(const std::string& id)
{
    return absl::StrCat("HTTP/1.1 200 OK\r\nrequest-id: ", id, "\r\ncontent-length: 6\r\n\r\nfor-", id, "!");
}

static HttpClientRequest requestWithId(const ScriptedServer& scripted, const std::string& id)
{
    HttpClientRequest request = requestFor(scripted.server.address());
    request.headers.add("request-id", id);
    request.echoedField = "Request-ID";
    return request;
}

namespace {

/// A client whose first request, "a", was refused on a connection that is kept.
struct RefusedRequest : ScriptedServer {
    RefusedRequest()
    {
        auto refused = send(requestWithId(*this, "a"));
        connection = serve();
        connection->send(refusalOf("a"));
        waitForEnd(refused);
        CHECK(refused->head.status == 503);
        connection->clear();
    }

    /// Sends \p request and waits until the server has it on the kept connection.
    std::shared_ptr<Recorded> sendOnSame(HttpClientRequest request)
    {
        auto recorded = send(std::move(request));
        REQUIRE(connection->receiveUntil(loop, "\r\n\r\n"));
        return recorded;
    }

    std::unique_ptr<RawConnection> connection;
};

} // namespace

// Guards against a copied refusal that is taken for the answer to another attempt of the same
// request, which runs.
TEST_CASE("a request that was refused doesn't go out again on the connection on which that happened")
{
    RefusedRequest refused;
    auto again = refused.send(requestWithId(refused, "a"));
    auto other = refused.serve();
    refused.connection->send(refusalOf("a"));
    other->send(answerTo("a"));
    refused.waitForEnd(again);
    CHECK(again->head.status == 200);
    CHECK(again->body == "for-a!");
    CHECK(refused.connection->received().empty());
}

// Guards against a new connection for each request after a refusal.
TEST_CASE("a connection on which a request was refused carries other requests, and never one of the earlier ones")
{
    RefusedRequest refused;
    for (std::string id : { "b", "c", "d" }) {
        auto next = refused.sendOnSame(requestWithId(refused, id));
        refused.connection->send(answerTo(id));
        refused.waitForEnd(next);
        CHECK(next->head.status == 200);
        refused.connection->clear();
    }
    for (std::string id : { "a", "b", "c" }) {
        auto again = refused.send(requestWithId(refused, id));
        auto other = refused.serve();
        other->send("HTTP/1.1 200 OK\r\nrequest-id: " + id + "\r\nconnection: close\r\ncontent-length: 0\r\n\r\n");
        refused.waitForEnd(again);
        CHECK(again->head.status == 200);
    }
}

// Guards against a request that has run and whose caller is told nothing of it, since the copy of
// another one's refusal came first.
TEST_CASE("the answer that is due is taken when answers to earlier requests come before it")
{
    std::string copy = GENERATE(as<std::string>(),
        "HTTP/1.1 503 Full\r\nRequest-Id: a\r\ncontent-length: 4\r\n\r\nfull",
        "HTTP/1.1 421 Moved\r\nrequest-id:a\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 503 Full\r\nrequest-id: a\r\ntransfer-encoding: chunked\r\n\r\n4;x=y\r\nfull\r\n0\r\nt: v\r\n\r\n",
        "HTTP/1.1 204 No Content\r\nrequest-id: a\r\n\r\n",
        "HTTP/1.1 102 Wait\r\n\r\nHTTP/1.1 429 Slow\r\nrequest-id: a\r\ncontent-length: 1\r\n\r\n!",
        "HTTP/1.1 200 OK\r\nrequest-id: a\r\nrequest-id: b\r\ncontent-length: 2\r\n\r\nno");
    int copies = GENERATE(1, 3);
    bool isAtOnce = GENERATE(true, false);
    INFO(copy << (isAtOnce ? " at once" : " byte by byte"));
    RefusedRequest refused;
    auto next = refused.sendOnSame(requestWithId(refused, "b"));
    std::string bytes;
    for (int i = 0; i < copies; ++i)
        bytes += copy;
    bytes += answerTo("b");
    if (isAtOnce) {
        refused.connection->send(bytes);
    } else {
        for (char byte : bytes) {
            refused.connection->send({ &byte, 1 });
            refused.loop.runOnce(0ms);
        }
    }
    refused.waitForEnd(next);
    CHECK(next->result.end == HttpEnd::Complete);
    CHECK(next->result.passedOverResponses == static_cast<unsigned>(copies));
    CHECK(next->heads == 1);
    CHECK(next->head.status == 200);
    CHECK(next->body == "for-b!");
    // A server that has once sent too much may do so again.
    auto last = refused.send(requestWithId(refused, "c"));
    refused.serve()->send(answerTo("c"));
    refused.waitForEnd(last);
    CHECK(last->body == "for-c!");
}

// Guards against bytes of one answer that are read as another's.
TEST_CASE("an answer to another request whose end isn't certain ends the exchange")
{
    std::string copy = GENERATE(as<std::string>(),
        "HTTP/1.1 503 Full\r\nrequest-id: a\r\n\r\n",
        "HTTP/1.1 503 Full\r\nrequest-id: a\r\ncontent-length: 4\r\ncontent-length: 5\r\n\r\n",
        "HTTP/1.1 503 Full\r\nrequest-id: a\r\ncontent-length: -4\r\n\r\n",
        "HTTP/1.1 503 Full\r\nrequest-id: a\r\ncontent-length: +4\r\n\r\nfull",
        "HTTP/1.1 503 Full\r\nrequest-id: a\r\ncontent-length : 4\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 204 No Content\r\nrequest-id: a\r\ncontent-length: 4\r\n\r\nfull",
        "HTTP/1.1 503 Full\r\nrequest-id: a\r\ntransfer-encoding: gzip\r\n\r\n",
        "HTTP/1.1 503 Full\r\nrequest-id: a\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
        "HTTP/1.1 503 Full\r\nrequest-id: a\r\ncontent-length: 9\r\ntransfer-encoding: chunked\r\n\r\n",
        "HTTP/1.1 101 Switching\r\nrequest-id: a\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 000 Status\r\nrequest-id: a\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 600 Status\r\nrequest-id: a\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 503 Full\r\nrequest-id: a\r\ncontent-length: 2000000\r\n\r\n" + std::string(1'500'000, 'x'));
    INFO(copy.substr(0, 120));
    RefusedRequest refused;
    auto next = refused.sendOnSame(requestWithId(refused, "b"));
    std::size_t sent = 0;
    copy += answerTo("b");
    REQUIRE(runUntil(refused.loop, [&] {
        sent += refused.connection->sendSome(absl::string_view(copy).substr(sent));
        return next->hasEnded();
    }));
    CHECK(next->result.end == HttpEnd::Malformed);
    CHECK(next->result.mayHaveReachedServer);
    CHECK(next->heads == 0);
}

// Guards against a server that sends answers without end.
TEST_CASE("an exchange ends when too many answers to other requests come")
{
    RefusedRequest refused;
    auto next = refused.sendOnSame(requestWithId(refused, "b"));
    for (int i = 0; i < 40 && !next->hasEnded(); ++i) {
        refused.connection->sendSome(refusalOf("a"));
        runFor(refused.loop, 1ms);
    }
    CHECK(next->result.end == HttpEnd::Malformed);
}

// Guards against a length that stands for no body: the answer to a HEAD request has one.
TEST_CASE("answers to other requests aren't passed over on a connection that carried a HEAD request")
{
    RefusedRequest refused;
    HttpClientRequest head = requestWithId(refused, "h");
    head.method = "HEAD";
    auto first = refused.sendOnSame(head);
    std::string answer = "HTTP/1.1 200 OK\r\nrequest-id: h\r\ncontent-length: 60\r\n\r\n";
    refused.connection->send(answer);
    refused.waitForEnd(first);
    refused.connection->clear();
    auto next = refused.sendOnSame(requestWithId(refused, "b"));
    refused.connection->send(answer + answerTo("b"));
    refused.waitForEnd(next);
    CHECK(next->result.end == HttpEnd::Malformed);
}

// Guards against an answer that nothing tells apart from a late one.
TEST_CASE("a request with no value or with two gets a connection of its own")
{
    RefusedRequest refused;
    HttpClientRequest request = requestFor(refused.server.address());
    request.echoedField = "request-id";
    if (GENERATE(true, false)) {
        request.headers.add("request-id", "b");
        request.headers.add("Request-Id", "c");
    }
    auto next = refused.send(request);
    refused.serve()->send(okEmpty);
    refused.waitForEnd(next);
    CHECK(next->head.status == 200);
    CHECK(refused.connection->received().empty());
}

// Guards against values that a busy connection remembers without end.
TEST_CASE("a connection ends after a thousand values")
{
    ScriptedServer scripted;
    unsigned connections = 0;
    std::unique_ptr<RawConnection> connection;
    for (int i = 0; i < 1'100; ++i) {
        std::string id = absl::StrCat("r", i);
        auto next = scripted.send(requestWithId(scripted, id));
        bool isNew = false;
        REQUIRE(runUntil(scripted.loop, [&] {
            if (auto accepted = scripted.server.accept()) {
                connection = std::move(accepted);
                isNew = true;
            }
            if (connection)
                connection->receive();
            return connection && absl::StrContains(connection->received(), "\r\n\r\n");
        }));
        connections += isNew ? 1 : 0;
        connection->clear();
        connection->send(absl::StrCat("HTTP/1.1 200 OK\r\nrequest-id: ", id, "\r\ncontent-length: 0\r\n\r\n"));
        scripted.waitForEnd(next);
    }
    CHECK(connections == 2);
}

// Guards against a judgement that depends on how the bytes come in.
TEST_CASE("what is passed over doesn't depend on how the input is divided")
{
    std::string input = refusalOf("a") + "HTTP/1.1 503 Full\r\nrequest-id: x\r\ntransfer-encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n" + answerTo("b");
    std::size_t expected = input.size() - answerTo("b").size();
    for (std::size_t part = 0; part <= input.size(); ++part) {
        ForeignResponseFilter filter("request-id", "b", true);
        std::size_t first = 0;
        std::size_t second = 0;
        CHECK(filter.read(absl::string_view(input).substr(0, part), first) != ForeignResponseFilter::Verdict::Unreadable);
        CHECK(filter.read(absl::string_view(input).substr(first), second) == ForeignResponseFilter::Verdict::Pass);
        CHECK(first + second == expected);
        CHECK(filter.responses() == 2);
    }
}

// Guards against a request that waits until its deadline, since space behind its value, which isn't
// part of it, makes its own answer look like another's.
TEST_CASE("space around a value doesn't make a response another request's")
{
    std::string sent = GENERATE(as<std::string>(), "b ", "b\t", "b");
    std::string repeated = GENERATE(as<std::string>(), "b", "b ", " b");
    RefusedRequest refused;
    auto next = refused.sendOnSame(requestWithId(refused, sent));
    refused.connection->send(answerTo(repeated));
    refused.waitForEnd(next);
    CHECK(next->head.status == 200);
    CHECK(next->result.passedOverResponses == 0);
    auto again = refused.send(requestWithId(refused, "b"));
    refused.serve()->send(answerTo("b"));
    refused.waitForEnd(again);
    CHECK(again->head.status == 200);
}

// Guards against a request that waits until its deadline for an answer that has come without a value.
TEST_CASE("a response with an empty value isn't passed over")
{
    RefusedRequest refused;
    auto next = refused.sendOnSame(requestWithId(refused, "b"));
    refused.connection->send("HTTP/1.1 503 Full\r\nrequest-id:\r\ncontent-length: 4\r\n\r\nfull");
    refused.waitForEnd(next);
    CHECK(next->head.status == 503);
    CHECK(next->result.passedOverResponses == 0);
}

// Guards against an answer that is lost together with another request's interim head.
TEST_CASE("the value in an interim head doesn't make the response behind it another request's")
{
    bool isAtOnce = GENERATE(true, false);
    RefusedRequest refused;
    auto next = refused.sendOnSame(requestWithId(refused, "b"));
    std::string interim = "HTTP/1.1 102 Processing\r\nrequest-id: a\r\n\r\n";
    if (isAtOnce) {
        refused.connection->send(interim + answerTo("b"));
    } else {
        refused.connection->send(interim);
        runFor(refused.loop, 5ms);
        refused.connection->send(answerTo("b"));
    }
    refused.waitForEnd(next);
    CHECK(next->head.status == 200);
    CHECK(next->body == "for-b!");
}

// Guards against a copied refusal of a request with two values, or with none, that is taken for the
// answer to a later request on its connection.
TEST_CASE("the connection of a request with no value or with two carries no other request")
{
    RefusedRequest refused;
    HttpClientRequest request = requestFor(refused.server.address());
    request.echoedField = "request-id";
    std::string repeated;
    if (GENERATE(true, false)) {
        request.headers.add("request-id", "b");
        request.headers.add("Request-Id", "c");
        repeated = "request-id: b\r\n";
    }
    std::string refusal = "HTTP/1.1 503 Full\r\n" + repeated + "content-length: 4\r\n\r\nfull";
    auto first = refused.send(request);
    auto own = refused.serve();
    own->send(refusal);
    refused.waitForEnd(first);
    CHECK(first->head.status == 503);
    own->clear();
    refused.connection->close();
    auto later = refused.send(requestWithId(refused, "b"));
    auto other = refused.serve();
    other->send(answerTo("b"));
    refused.waitForEnd(later);
    CHECK(later->head.status == 200);
    CHECK(own->received().empty());
}
