#include "../Http/ScriptedServer.h"
#include "BrokerFixture.h"
#include "RedirectingClient.h"
#include "catkinwing/Gateway/AttemptRequest.h"
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

using namespace catkinwing;
using namespace std::chrono_literals;

namespace {

/// A broker that calls one engine, or one service, over real connections.
struct CalledEndpoint {
    CalledEndpoint() { fixture.configureWithout("engine-2"); }

    /// Waits for a request on \p kept, or on a new connection, which becomes \p kept.
    void awaitRequest(std::unique_ptr<RawConnection>& kept)
    {
        REQUIRE(runUntil(scripted.loop, [&] {
            fixture.scheduler.advance(1ms);
            if (auto accepted = scripted.server.accept()) {
                kept = std::move(accepted);
                ++connections;
            }
            if (kept)
                kept->receive();
            return kept && absl::StrContains(kept->received(), "\r\n\r\n");
        }));
        kept->clear();
    }

    void awaitEnd(const std::shared_ptr<FakeResponder>& responder)
    {
        REQUIRE(runUntil(scripted.loop, [&] {
            fixture.scheduler.advance(1ms);
            return responder->isFinished;
        }));
    }

    ScriptedServer scripted;
    RedirectingClient client { *scripted.client, scripted.server.address() };
    BrokerFixture fixture { &client };
    int connections { 0 };
};

} // namespace

static HttpRequest readItems()
{
    HttpRequest request = BrokerFixture::book();
    request.method = "GET";
    return request;
}

static const std::string refusal = "HTTP/1.1 503 Full\r\nCatkinwing-Executed: false\r\nRetry-After: 7\r\ncontent-length: 4\r\n\r\nfull";
static const std::string success = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";

// Guards against the copy of a refusal that is taken for the answer to the next request on its
// connection: the caller is told that a request hasn't run, and it runs.
TEST_CASE("a copy of a refusal isn't taken for the answer to a later request")
{
    CalledEndpoint endpoint;
    bool isModelCall = GENERATE(true, false);
    bool isFirstRepeatable = isModelCall || GENERATE(true, false);
    HttpRequest request = isModelCall ? BrokerFixture::chat(false) : readItems();
    std::unique_ptr<RawConnection> connection;
    auto refused = endpoint.fixture.run(isFirstRepeatable ? request : BrokerFixture::book());
    endpoint.awaitRequest(connection);
    const RawConnection* first = connection.get();
    connection->send(refusal);
    endpoint.awaitEnd(refused);
    CHECK(refused->status() == 503);
    CHECK(refused->outcome() == "not-run");
    auto next = endpoint.fixture.run(request);
    endpoint.awaitRequest(connection);
    // The copy comes where the answer to the next request on that connection is due.
    connection->send(connection.get() == first ? refusal + success : success);
    endpoint.awaitEnd(next);
    CHECK(next->status() == 200);
    CHECK(next->outcome().empty());
    CHECK(endpoint.connections == 2);
}

// Guards against an endpoint in trouble whose callers get what isn't an answer in HTTP.
TEST_CASE("an answer with an invalid status reaches no caller")
{
    CalledEndpoint endpoint;
    std::string status = GENERATE(as<std::string>(), "000", "099", "600", "999");
    HttpRequest request = GENERATE(true, false) ? BrokerFixture::chat(false) : BrokerFixture::book();
    std::unique_ptr<RawConnection> connection;
    auto responder = endpoint.fixture.run(request);
    endpoint.awaitRequest(connection);
    connection->send(absl::StrCat("HTTP/1.1 ", status, " Status\r\ncontent-length: 2\r\n\r\n{}"));
    endpoint.awaitEnd(responder);
    CHECK(responder->status() == 502);
    CHECK(responder->outcome() == "unknown");
}

// Guards against a connection for each request: only failures cost one.
TEST_CASE("requests that succeed share a connection")
{
    CalledEndpoint endpoint;
    std::unique_ptr<RawConnection> connection;
    for (int i = 0; i < 20; ++i) {
        auto responder = endpoint.fixture.run(BrokerFixture::chat(false));
        endpoint.awaitRequest(connection);
        connection->send(success);
        endpoint.awaitEnd(responder);
        CHECK(responder->status() == 200);
    }
    CHECK(endpoint.connections == 1);
}

// Guards against an entry's answer to another request that is taken for the answer to this one.
TEST_CASE("a forward names the ID that entries repeat in their answers")
{
    AcceptedRequest request;
    request.id = "r1";
    HttpClientRequest forward = forwardRequest(request, {}, { 0, 0, 1s, { "entry", { 1, 2 } }, "north-a", {} });
    const std::string* id = forward.headers.find(forward.echoedField);
    REQUIRE(id);
    CHECK(*id == "r1");
}
