// Tests an entry that serves clients over real HTTP, with stand-ins (test servers) in place
// of the platform's store and endpoints.
#include "EntryFixture.h"
#include "Http/RawSocket.h"
#include <absl/strings/str_cat.h>

using namespace catkinwing;
using namespace catkinwing::platform;
using namespace std::chrono_literals;

TEST_CASE("a request returns the endpoint's response and its seal")
{
    EntryFixture fixture;
    auto answer = fixture.sendAndWait("/once/order", "attempt-9");
    CHECK(answer->head.status == 200);
    REQUIRE(answer->head.headers.find("Reply-Seal"));
    CHECK(absl::StartsWith(*answer->head.headers.find("Reply-Seal"), "attempt-9.plain-"));
    CHECK(nlohmann::json::parse(answer->body).at("path") == "/once/order");
    CHECK(fixture.sendAndWait("/unknown/x")->head.status == 404);
}

TEST_CASE("a non-idempotent request is executed once when its response is lost")
{
    EntryFixture fixture;
    for (std::size_t endpoint : { 0, 1 })
        fixture.setFaults(endpoint, { { "loseAnswer", true } });
    std::int64_t before = fixture.executions(0) + fixture.executions(1);
    auto answer = fixture.sendAndWait("/once/order");
    CHECK(answer->head.status >= 500);
    CHECK_FALSE(answer->head.headers.find("Not-Executed"));
    CHECK(fixture.executions(0) + fixture.executions(1) == before + 1);
}

TEST_CASE("an idempotent request is retried on the other endpoint when its response is lost")
{
    EntryFixture fixture;
    fixture.setFaults(0, { { "loseAnswer", true } });
    for (int number = 0; number < 6; ++number)
        CHECK(fixture.sendAndWait("/often/read")->head.status == 200);
}

TEST_CASE("a non-idempotent request that an endpoint refused as not executed runs on the other endpoint")
{
    EntryFixture fixture;
    fixture.setFaults(0, { { "refuse", true } });
    for (int number = 0; number < 6; ++number)
        CHECK(fixture.sendAndWait("/once/order")->head.status == 200);
}

// Guards against a limit that is named on the wire and not obeyed.
TEST_CASE("an endpoint that names a limit in its answers gets no more requests than that, and the others serve the rest")
{
    EntryFixture fixture;
    fixture.addEndpoint("plain", "limited", 0, false, "0.5");
    fixture.waitForStoreChanges();
    for (int number = 0; number < 60; ++number)
        CHECK(fixture.sendAndWait("/often/read", "a-" + std::to_string(number))->head.status == 200);
    std::int64_t received = fixture.executions(fixture.endpoints.size() - 1);
    CHECK(received >= 1);
    CHECK(received <= 3);
}

TEST_CASE("an interrupted stream resumes on the other endpoint without lost or duplicate events")
{
    EntryFixture fixture;
    std::string whole = fixture.sendAndWait("/stream/read")->body;
    fixture.setFaults(2, { { "cutAfterEvents", 2 } });
    for (int number = 0; number < 6; ++number) {
        auto answer = fixture.sendAndWait("/stream/read");
        CHECK(answer->result.end == HttpEnd::Complete);
        CHECK(answer->body == whole);
    }
}

TEST_CASE("another incarnation at a reused address executes no request meant for the previous one")
{
    EntryFixture fixture;
    SocketAddress reused = fixture.endpoints[0]->address();
    fixture.endpoints[0].reset();
    auto successor = standin::StandinServer::start(fixture.platform.loop, { "taker", reused, "", 1 },
        [](Scheduler& scheduler, standin::ExecutionLog& log) { return makeEndpointStandin(scheduler, log, { "taker", 0ms, 0, 0ms, false, {}, {}, {} }); });
    REQUIRE(successor.ok());
    for (int number = 0; number < 6; ++number) {
        auto answer = fixture.sendAndWait("/once/order");
        CHECK(answer->head.status == 200);
        CHECK(nlohmann::json::parse(answer->body).at("endpoint") == "plain-2");
    }
}

TEST_CASE("an entry continues to serve requests while the store is unavailable")
{
    EntryFixture fixture;
    fixture.platform.setFaults(*fixture.platform.storeServer, { { "down", true } });
    for (int number = 0; number < 3; ++number)
        CHECK(fixture.sendAndWait("/once/order")->head.status == 200);
}

TEST_CASE("an endpoint that drained and restarted under the same name receives requests again")
{
    EntryFixture fixture;
    nlohmann::json plain = fixture.registration("plain", 0);
    plain["born"] = 1'000;
    fixture.rewriteRegistration("plain-1", plain.dump());
    plain["state"] = "draining";
    fixture.rewriteRegistration("plain-1", plain.dump());
    auto answeredBy = [&](const std::string& name) {
        return nlohmann::json::parse(fixture.sendAndWait("/once/order")->body).at("endpoint") == name;
    };
    CHECK(runUntil(fixture.platform.loop, [&] { return answeredBy("plain-2") && answeredBy("plain-2") && answeredBy("plain-2") && answeredBy("plain-2"); }));
    plain["state"] = "ready";
    plain["born"] = 2'000;
    fixture.rewriteRegistration("plain-1", plain.dump());
    CHECK(runUntil(fixture.platform.loop, [&] { return answeredBy("plain-1"); }));
}

TEST_CASE("malformed registrations are ignored and do not affect other endpoints")
{
    EntryFixture fixture;
    fixture.platform.compareAndSwap("servers/stranger", 0, R"({"service":"plain","addr":7})");
    fixture.platform.compareAndSwap("servers/bytes", 0, "\x01\x02{");
    fixture.rewriteRegistration("plain-1", R"({"service":"plain","addr":"127.0.0.1:1","state":"asleep"})");
    auto isAnsweredBySecondOnly = [&] {
        for (int number = 0; number < 8; ++number) {
            auto answer = fixture.sendAndWait("/once/order");
            if (answer->head.status != 200 || nlohmann::json::parse(answer->body).at("endpoint") != "plain-2")
                return false;
        }
        return true;
    };
    CHECK(runUntil(fixture.platform.loop, isAnsweredBySecondOnly));
    fixture.rewriteRegistration("plain-1", fixture.registration("plain", 0).dump());
    CHECK(runUntil(fixture.platform.loop, [&] { return nlohmann::json::parse(fixture.sendAndWait("/once/order")->body).at("endpoint") == "plain-1"; }));
}

// Guards against requests to an endpoint that has announced in a response that it is
// leaving, while its registration in the store still says that it is ready.
TEST_CASE("an endpoint that announces in a response that it is leaving receives no more requests, whatever its registration says")
{
    EntryFixture fixture;
    fixture.addEndpoint("plain", "plain-3", 0, true);
    REQUIRE(runUntil(fixture.platform.loop, [&] { return fixture.sendAndWait("/once/order") && fixture.executions(4) > 0; }));
    for (int number = 0; number < 40; ++number)
        CHECK(fixture.sendAndWait("/once/order")->head.status == 200);
    CHECK(fixture.executions(4) == 1);
    // The registration is removed and written again unchanged.
    std::string key = "servers/plain-3";
    std::string registered = fixture.platform.get(key).value;
    fixture.removeKey(key);
    fixture.waitForStoreChanges();
    fixture.platform.compareAndSwap(key, 0, registered);
    fixture.waitForStoreChanges();
    for (int number = 0; number < 40; ++number)
        CHECK(fixture.sendAndWait("/once/order")->head.status == 200);
    CHECK(fixture.executions(4) == 1);
}

// Guards against requests to an endpoint before the retry-after time of its refusal.
TEST_CASE("an endpoint that refuses with a retry-after time receives no requests before that time")
{
    EntryFixture fixture;
    fixture.setFaults(0, { { "refuse", true } });
    std::int64_t before = fixture.receivedRequests(0);
    TimePoint began = fixture.platform.clock.now();
    for (int number = 0; number < 40; ++number)
        CHECK(fixture.sendAndWait("/once/order")->head.status == 200);
    // The stand-in sends a retry-after time of one second, so each further second
    // allows at most one more request.
    std::int64_t seconds = std::chrono::duration_cast<std::chrono::seconds>(fixture.platform.clock.now() - began).count();
    CHECK(fixture.receivedRequests(0) <= before + 1 + seconds);
    fixture.setFaults(0, nlohmann::json::object());
    CHECK(runUntil(fixture.platform.loop, [&] { return nlohmann::json::parse(fixture.sendAndWait("/once/order")->body).at("endpoint") == "plain-1"; }));
}

// Guards against a stand-in that crashes by a request's own part, or by a part that is named only in part.
TEST_CASE("the stand-in for an endpoint crashes when it begins to answer a prompt with the crashing shared part")
{
    PlatformFixture platform;
    int crashes = 0;
    EndpointStandinSettings settings { "i-1", 0ms, 0, 0ms, false, {}, "dd01", [&crashes] { ++crashes; } };
    auto endpoint = platform.startEndpoint(settings);
    auto ask = [&](const std::string& prompt) {
        return platform.sendAndWait(endpoint->address(), "POST", "/p", "", { { "Attempt-Id", "a" }, { "Prefix-Hash", prompt } });
    };
    ask("aa01:100,dd0:5,dd011:7,dd01:300");
    CHECK(crashes == 0);
    CHECK(ask("aa01:100,dd01:300,ee01:20")->result.end == HttpEnd::NoResponse);
    CHECK(crashes == 1);
}

TEST_CASE("the limit of request bodies changes together with the routes of a configuration")
{
    EntryFixture fixture;
    int sent = 0;
    auto configure = [&](int version, const char* prefix, std::size_t maxBytes) {
        nlohmann::json document = nlohmann::json::parse(configuration());
        document["version"] = version;
        document["limits"] = { { "max_body_bytes", maxBytes } };
        document["routes"].push_back(routeOf(prefix, "non_idempotent", "plain", 1, false));
        fixture.platform.compareAndSwap("op/config", fixture.platform.get("op/config").revision, document.dump());
    };
    auto statusOf = [&](const char* target, std::size_t bytes) {
        std::string id = absl::StrCat("a-", ++sent);
        return fixture.platform.sendAndWait(fixture.settings.listen.callers, "POST", target, std::string(bytes, 'x'), { { "Host", "path.example" }, { "Attempt-Id", id } })
            ->head.status;
    };
    configure(8, "/raised/", 16u << 20);
    REQUIRE(runUntil(fixture.platform.loop, [&] { return statusOf("/raised/1", 1) == 200; }));
    CHECK(statusOf("/raised/1", 6u << 20) == 200);
    configure(9, "/lowered/", 1'000);
    REQUIRE(runUntil(fixture.platform.loop, [&] { return statusOf("/lowered/1", 1) == 200; }));
    CHECK(statusOf("/lowered/1", 2'000) == 413);
}

// Guards against a planned stop that cuts answers which endpoints have finished and slow clients
// still read.
TEST_CASE("an entry that drains ends when its clients have read their answers, and not before")
{
    EntryFixture fixture;
    EventLoop& loop = fixture.platform.loop;
    const std::string body(24 << 20, 'x');
    nlohmann::json document = nlohmann::json::parse(configuration());
    document["version"] = 8;
    document["limits"] = { { "max_body_bytes", 2 * body.size() } };
    fixture.platform.compareAndSwap("op/config", fixture.platform.get("op/config").revision, document.dump());
    auto endpoint = startServer(loop, [&](const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
        HttpResponseHead head = headOf(200);
        head.headers.add("Attempt-Id", *request.headers.find("attempt-id"));
        head.headers.add("Reply-Seal", "seal");
        responder->send(head, body);
    });
    nlohmann::json registration = fixture.registration("plain", 0);
    registration["addr"] = endpoint->address().toString();
    for (std::size_t other : { 0, 1 }) {
        nlohmann::json leaving = fixture.registration("plain", other);
        leaving["state"] = "draining";
        fixture.rewriteRegistration("plain-" + std::to_string(other + 1), leaving.dump());
    }
    fixture.platform.compareAndSwap("servers/large", 0, registration.dump());
    fixture.waitForStoreChanges();
    auto client = RawConnection::connect(fixture.settings.listen.callers);
    client->send("POST /once/1 HTTP/1.1\r\nHost: path.example\r\nAttempt-Id: a-1\r\nDeadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n");
    runFor(loop, 500ms);
    bool hasDrained = false;
    fixture.entry->drain([&] { hasDrained = true; });
    runFor(loop, 4s);
    CHECK_FALSE(hasDrained);
    REQUIRE(runUntil(loop, [&] {
        client->receive();
        return client->received().size() >= body.size() || client->isEnded();
    }));
    INFO(client->received().size() << " " << client->received().substr(0, 400));
    CHECK(absl::EndsWith(client->received(), "\r\n\r\n" + body));
    CHECK(runUntil(
        loop, [&] { return hasDrained; }, 1s));
}

// Guards against a listener that takes what follows a request whose end is in doubt for another
// request.
TEST_CASE("every listener of an entry refuses requests whose end is in doubt and serves sound ones")
{
    const std::string hidden = "GET /readyz HTTP/1.1\r\nHost: path.example\r\n\r\n";
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    const std::string doubtful[] = {
        "Content-Length: 2\r\nContent-Length: 60\r\n\r\n{}",
        "Content-Length: 2, 60\r\n\r\n{}",
        "Content-Length : 2\r\n\r\n{}",
        "Content-Length: 2\r\n 300\r\n\r\n{}",
        chunked + "Content-Length: 2\r\n\r\n0\r\n\r\n",
        chunked + chunked + "\r\n0\r\n\r\n",
        "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        chunked + "\r\n0x2\r\n{}\r\n0\r\n\r\n",
    };
    EntryFixture fixture;
    EventLoop& loop = fixture.platform.loop;
    const ListenerAddresses& listen = fixture.settings.listen;
    for (const SocketAddress& listener : { listen.callers, listen.peers, listen.operators, fixture.settings.ingress->readiness, fixture.settings.ingress->directory }) {
        for (const std::string& form : doubtful) {
            auto client = RawConnection::connect(listener);
            REQUIRE(client);
            client->send(absl::StrCat("POST /once/1 HTTP/1.1\r\nHost: path.example\r\n", form, hidden));
            INFO(listener.toString() << " " << form);
            REQUIRE(client->receiveToEnd(loop));
            CHECK(absl::StartsWith(client->received(), "HTTP/1.1 400 "));
            CHECK(client->received().rfind("HTTP/1.1 ") == 0);
        }
        auto client = RawConnection::connect(listener);
        client->send(hidden);
        REQUIRE(client->receiveUntil(loop, "\r\n\r\n"));
        CHECK_FALSE(absl::StartsWith(client->received(), "HTTP/1.1 400 "));
        CHECK_FALSE(client->isEnded());
    }
    auto metrics = fixture.platform.sendAndWait(listen.operators, "GET", "/metrics");
    CHECK(absl::StrContains(metrics->body, "{event=\"requests_refused_content_lengths_differ\"} 10"));
    CHECK(absl::StrContains(metrics->body, "{event=\"requests_refused_chunk_line\"} 5"));
}
