#include "HttpFixture.h"

using namespace catkinwing;
using namespace std::chrono_literals;

TEST_CASE("a request and its answer arrive whole")
{
    SystemClock clock;
    EventLoop loop(clock);
    HttpRequest seen;
    auto server = startServer(loop, [&](HttpRequest request, const std::shared_ptr<HttpResponder>& responder) {
        seen = std::move(request);
        HttpResponseHead head = headOf(201);
        head.headers.add("X-Answer", "yes");
        responder->send(head, "made");
    });
    auto client = makeHttpClient(loop, {});
    HttpClientRequest request = requestFor(server->address(), "/a%20b?c=d&e");
    request.method = "POST";
    request.headers.add("X-Question", "well?");
    request.body = std::string(200'000, 'q');
    auto recorded = sendRecorded(*client, request);
    CHECK_FALSE(recorded->hasEnded());
    REQUIRE(runUntil(loop, [&] { return recorded->hasEnded(); }));
    CHECK(recorded->result.end == HttpEnd::Complete);
    CHECK(recorded->result.mayHaveReachedServer);
    CHECK(recorded->heads == 1);
    CHECK(recorded->head.status == 201);
    REQUIRE(recorded->head.headers.find("x-answer"));
    CHECK(*recorded->head.headers.find("x-answer") == "yes");
    CHECK(recorded->body == "made");
    CHECK(seen.method == "POST");
    CHECK(seen.path == "/a%20b");
    CHECK(seen.query == "c=d&e");
    CHECK(seen.body == request.body);
    CHECK(seen.caller.host == "127.0.0.1");
    CHECK(seen.caller.port != 0);
    REQUIRE(seen.headers.find("x-question"));
    CHECK(*seen.headers.find("x-question") == "well?");
    REQUIRE(seen.headers.find("host"));
    CHECK(*seen.headers.find("host") == server->address().toString());
}

TEST_CASE("an answer streams piece by piece")
{
    SystemClock clock;
    EventLoop loop(clock);
    std::shared_ptr<HttpResponder> held;
    auto server = startServer(loop, [&](const HttpRequest&, std::shared_ptr<HttpResponder> responder) {
        responder->sendHead(headOf(200));
        held = std::move(responder);
    });
    auto client = makeHttpClient(loop, {});
    auto recorded = sendRecorded(*client, requestFor(server->address()));
    REQUIRE(runUntil(loop, [&] { return recorded->heads == 1; }));
    CHECK(recorded->body.empty());
    held->write("one ");
    REQUIRE(runUntil(loop, [&] { return recorded->body == "one "; }));
    held->write("two ");
    held->write("three");
    REQUIRE(runUntil(loop, [&] { return recorded->body == "one two three"; }));
    CHECK_FALSE(recorded->hasEnded());
    held->finish();
    CHECK_FALSE(held->isOpen());
    REQUIRE(runUntil(loop, [&] { return recorded->hasEnded(); }));
    CHECK(recorded->result.end == HttpEnd::Complete);
}

TEST_CASE("connections are used again")
{
    SystemClock clock;
    EventLoop loop(clock);
    std::vector<std::uint16_t> ports;
    auto server = startServer(loop, [&](const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
        ports.push_back(request.caller.port);
        responder->send(headOf(200), "x");
    });
    auto client = makeHttpClient(loop, {});
    for (int i = 0; i < 3; ++i) {
        HttpClientRequest request = requestFor(server->address());
        request.freshConnection = i == 2;
        auto recorded = sendRecorded(*client, request);
        REQUIRE(runUntil(loop, [&] { return recorded->hasEnded(); }));
        CHECK(recorded->result.end == HttpEnd::Complete);
    }
    REQUIRE(ports.size() == 3);
    CHECK(ports[0] == ports[1]);
    CHECK(ports[2] != ports[1]);
}

TEST_CASE("sendForWhole gathers the body up to its limit")
{
    SystemClock clock;
    EventLoop loop(clock);
    auto server = startServer(loop, [](const HttpRequest&, const std::shared_ptr<HttpResponder>& responder) {
        responder->send(headOf(200), std::string(1000, 'x'));
    });
    auto client = makeHttpClient(loop, {});
    for (std::size_t limit : { 1000u, 999u }) {
        int calls = 0;
        HttpResult result;
        std::string body;
        auto done = [&](const HttpResult& ended, const HttpResponseHead& head, std::string whole) {
            ++calls;
            result = ended;
            body = std::move(whole);
            CHECK(head.status == 200);
        };
        auto exchange = sendForWhole(*client, requestFor(server->address()), limit, done);
        REQUIRE(runUntil(loop, [&] { return calls > 0; }));
        runFor(loop, 10ms);
        CHECK(calls == 1);
        CHECK(result.end == (limit == 1000 ? HttpEnd::Complete : HttpEnd::Malformed));
        CHECK(body.size() == (limit == 1000 ? 1000 : 0));
    }
}
