// Tests what the gateway's readers make of answers that aren't valid HTTP or aren't whole.
#include "../Http/HttpFixture.h"
#include "../Http/ScriptedEndpoint.h"
#include "BrokerFixture.h"
#include "RedirectingClient.h"
#include "catkinwing/Coordination/DirectoryClient.h"
#include "catkinwing/Coordination/EtcdStore.h"
#include "catkinwing/Coordination/InstanceList.h"
#include "catkinwing/Gateway/EndpointPoller.h"
#include "catkinwing/Gateway/PeerLink.h"
#include "catkinwing/PeerProtocol/PeerCodec.h"
#include "catkinwing/Placement/HttpEndpointAdmin.h"

using namespace catkinwing;
using namespace std::chrono_literals;

namespace {

/// A client, and the server that all calls go to.
struct BrokenServer {
    /// Waits until a callback has set \p result.
    template <typename Result>
    Result wait(const std::optional<Result>& result)
    {
        REQUIRE(runUntil(loop, [&] { return result.has_value(); }));
        return *result;
    }
    /// Waits until the server has answered \p count more requests and the answers have been read.
    void waitForRequests(int count)
    {
        int before = server.requests();
        REQUIRE(runUntil(loop, [&] { return server.requests() >= before + count; }));
        runFor(loop, 20ms);
    }

    SystemClock clock;
    EventLoop loop { clock };
    std::unique_ptr<HttpClient> client { makeHttpClient(loop, {}) };
    ScriptedEndpoint server { loop };
};

} // namespace

static ScriptedAnswer answerWith(const std::string& statusLine, const std::string& fields, const std::string& body)
{
    return { absl::StrCat(statusLine, "\r\n", fields, "Content-Length: ", body.size(), "\r\n\r\n", body) };
}

static ScriptedAnswer validAnswer(const std::string& body)
{
    return answerWith("HTTP/1.1 200 OK", "X-Consul-Index: 5\r\n", body);
}

/// Returns broken answers that a reader which overlooks the fault takes for \p body.
static std::vector<ScriptedAnswer> brokenAnswers(const std::string& body)
{
    std::vector<ScriptedAnswer> answers;
    for (const char* status : { "000", "099", "600", "999" })
        answers.push_back(answerWith(absl::StrCat("HTTP/1.1 ", status, " Status"), "", body));
    answers.push_back(answerWith("HTTP/1.1 200 OK", "x y: z\r\n", body));
    answers.push_back(answerWith("HTTP/1.1 200 OK", "x\x01: z\r\n", body));
    answers.push_back({ "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nx: ", ConnectionEnd::Closed });
    return answers;
}

TEST_CASE("a broken answer of the directory doesn't confirm an instance, and a valid one does")
{
    BrokenServer broken;
    DirectoryClientOptions options;
    options.servers = { broken.server.address() };
    options.retryDelay = 10ms;
    DirectoryClient directory(*broken.client, broken.loop, options);
    broken.server.answer = validAnswer("true");
    directory.announce({});
    REQUIRE(runUntil(broken.loop, [&] { return directory.isAnnounced(); }));
    for (const ScriptedAnswer& answer : brokenAnswers("true")) {
        INFO(answer.bytes);
        broken.server.answer = answer;
        directory.announce({});
        broken.waitForRequests(3);
        CHECK_FALSE(directory.isAnnounced());
    }
    broken.server.answer = validAnswer("true");
    CHECK(runUntil(broken.loop, [&] { return directory.isAnnounced(); }));
}

TEST_CASE("a broken answer of the directory doesn't empty the list of instances")
{
    BrokenServer broken;
    Random random(1);
    InstanceListOptions options;
    options.servers = { broken.server.address() };
    options.shortestPause = 5ms;
    options.retryDelay = 5ms;
    options.longestRetryDelay = 20ms;
    InstanceList list(*broken.client, broken.loop, random, options, nullptr);
    const std::string listed = R"([{"Node":{"Address":"127.0.0.1"},"Service":{"ID":"engine-1","Address":"127.0.0.1","Port":80}}])";
    broken.server.answer = validAnswer(listed);
    list.start();
    REQUIRE(runUntil(broken.loop, [&] { return list.instances().size() == 1; }));
    for (const ScriptedAnswer& answer : brokenAnswers("[]")) {
        INFO(answer.bytes);
        broken.server.answer = answer;
        broken.waitForRequests(3);
        CHECK(list.instances().size() == 1);
    }
    broken.server.answer = validAnswer("[]");
    CHECK(runUntil(broken.loop, [&] { return list.instances().empty(); }));
}

TEST_CASE("a broken answer of the configuration's store states nothing")
{
    BrokenServer broken;
    EtcdStoreOptions options;
    options.servers = { broken.server.address() };
    EtcdStore store(*broken.client, broken.loop, options);
    const std::string body = R"({"header":{"revision":"7"},"succeeded":true,"ID":"1","TTL":"9","result":{"ID":"1","TTL":"9"}})";
    auto swap = [&] {
        std::optional<SwapResult> swapped;
        store.compareAndSwap("k", 5, "v", 0, [&](SwapResult result) { swapped = result; });
        return broken.wait(swapped).outcome;
    };
    auto get = [&] {
        std::optional<absl::StatusOr<StoredValue>> got;
        store.get("k", [&](absl::StatusOr<StoredValue> value) { got = std::move(value); });
        return broken.wait(got).status();
    };
    auto renew = [&] {
        std::optional<absl::StatusOr<std::chrono::milliseconds>> renewed;
        store.keepAlive(1, [&](const absl::StatusOr<std::chrono::milliseconds>& left) { renewed = left; });
        return broken.wait(renewed).status();
    };
    for (const ScriptedAnswer& answer : brokenAnswers(body)) {
        INFO(answer.bytes);
        broken.server.answer = answer;
        CHECK(swap() == SwapOutcome::Unknown);
        CHECK(absl::IsUnavailable(get()));
        CHECK(absl::IsUnavailable(renew()));
        std::optional<absl::Status> ended;
        StoreWatchCallbacks callbacks;
        callbacks.onEvents = [](const std::vector<StoreEvent>&) { FAIL_CHECK("an event"); };
        callbacks.onEnd = [&](const absl::Status& status) { ended = status; };
        std::unique_ptr<StoreWatch> watch = store.watch("k", 5, std::move(callbacks));
        CHECK(absl::IsUnavailable(broken.wait(ended)));
    }
    broken.server.answer = validAnswer(body);
    CHECK(swap() == SwapOutcome::Committed);
    CHECK(get().ok());
    CHECK(renew().ok());
}

TEST_CASE("a broken answer to an order leaves its outcome unknown, and one to a query states nothing")
{
    BrokenServer broken;
    HttpEndpointAdmin admin(*broken.client, broken.loop, { "entry-1", "secret" });
    OrderedEndpoint endpoint { "e", broken.server.address(), true, true };
    auto order = [&] {
        std::optional<OrderOutcome> outcome;
        admin.sendOrder(endpoint, { 7, { { "m@1" }, { "a" }, "decode" } }, [&](OrderOutcome given) { outcome = given; });
        return broken.wait(outcome);
    };
    auto read = [&] {
        std::optional<absl::StatusOr<ReportedState>> state;
        admin.readState(endpoint, [&](absl::StatusOr<ReportedState> given) { state = std::move(given); });
        return broken.wait(state).status();
    };
    const std::string body = R"({"models":["m@1"]})";
    for (const ScriptedAnswer& answer : brokenAnswers(body)) {
        INFO(answer.bytes);
        broken.server.answer = answer;
        CHECK(order() == OrderOutcome::Unknown);
        CHECK_FALSE(read().ok());
    }
    broken.server.answer = validAnswer(body);
    CHECK(order() == OrderOutcome::Accepted);
    CHECK(read().ok());
}

TEST_CASE("a broken answer of another entry is no reply to a control message")
{
    BrokenServer broken;
    PeerLink link(*broken.client, "entry");
    auto send = [&] {
        std::optional<absl::Status> status;
        link.send(broken.server.address(), { EndpointLeaving {} }, [&](const absl::StatusOr<std::vector<PeerReply>>& replies) { status = replies.status(); });
        return broken.wait(status);
    };
    const std::string body = encodeReplies({ Acknowledgement {} });
    for (const ScriptedAnswer& answer : brokenAnswers(body)) {
        INFO(answer.bytes);
        broken.server.answer = answer;
        CHECK(absl::IsUnavailable(send()));
    }
    broken.server.answer = validAnswer(body);
    CHECK(send() == absl::OkStatus());
}

TEST_CASE("a broken load page doesn't take an endpoint out of use")
{
    BrokenServer broken;
    BrokerFixture fixture;
    RedirectingClient redirecting(*broken.client, broken.server.address());
    auto isLeaving = [&] {
        const LifecycleStatus* status = fixture.endpoints.lifecycle("engine-1");
        return status && status->leaving;
    };
    const std::string body = R"({"incarnation":"i","state":"leaving","running":1,"waiting":0})";
    for (const ScriptedAnswer& answer : brokenAnswers(body)) {
        INFO(answer.bytes);
        broken.server.answer = answer;
        EndpointPoller poller("entry", fixture.endpoints, redirecting, broken.loop);
        poller.start();
        broken.waitForRequests(2);
        CHECK_FALSE(isLeaving());
        CHECK(fixture.endpoints.lifecycle("engine-1") == nullptr);
    }
    broken.server.answer = validAnswer(body);
    EndpointPoller poller("entry", fixture.endpoints, redirecting, broken.loop);
    poller.start();
    CHECK(runUntil(broken.loop, isLeaving));
}

// Guards against a part of a body that is taken as whole, and against a head that never ended.
TEST_CASE("a caller gets no broken answer to a long upload")
{
    BrokenServer broken;
    RedirectingClient redirecting(*broken.client, broken.server.address());
    BrokerFixture fixture(&redirecting);
    HttpRequest request = BrokerFixture::book();
    request.body = std::string(900'000, 'x');
    auto run = [&](const ScriptedAnswer& answer) {
        broken.server.answer = answer;
        int before = broken.server.requests();
        auto responder = fixture.run(request);
        REQUIRE(runUntil(broken.loop, [&] {
            fixture.scheduler.advance(1ms);
            return responder->isFinished || responder->isAborted;
        }));
        CHECK(broken.server.requests() == before + 1);
        return responder;
    };
    const std::string part = "HTTP/1.1 200 OK\r\n\r\npart of a body";
    std::vector<ScriptedAnswer> answers = brokenAnswers("{}");
    for (Duration delay : { Duration(0ms), Duration(20ms) }) {
        for (ConnectionEnd end : { ConnectionEnd::Closed, ConnectionEnd::Reset, ConnectionEnd::EndedThenReset })
            answers.push_back({ part, end, true, delay });
    }
    for (const ScriptedAnswer& answer : answers) {
        INFO(answer.bytes << " end " << static_cast<int>(answer.end));
        auto responder = run(answer);
        // A body may be passed on as it comes; its caller then sees the connection cut.
        if (responder->isAborted)
            continue;
        CHECK(responder->status() == 502);
        CHECK(responder->outcome() == "unknown");
    }
    auto responder = run(validAnswer("{}"));
    CHECK(responder->status() == 200);
    CHECK(responder->body == "{}");
}

// Guards against a part of a body that looks whole since a status other than 200 had no frame.
TEST_CASE("an answer of a plain service that is cut looks cut to the caller, whatever its status")
{
    BrokenServer broken;
    RedirectingClient redirecting(*broken.client, broken.server.address());
    BrokerFixture fixture(&redirecting);
    auto gateway = startServer(broken.loop, [&](HttpRequest request, const std::shared_ptr<HttpResponder>& responder) { fixture.run(std::move(request), responder); });
    bool isChunked = GENERATE(true, false);
    std::string version = GENERATE("1.1", "1.0");
    for (int status : { 200, 201, 203, 206, 299, 404 }) {
        INFO(status << " HTTP/" << version << (isChunked ? " in chunks" : " until the end"));
        broken.server.answer = { absl::StrCat("HTTP/1.1 ", status, " Status\r\n", isChunked ? "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n" : "\r\npart"), ConnectionEnd::Reset, false, 20ms };
        auto caller = RawConnection::connect(gateway->address());
        caller->send(absl::StrCat("POST /services/bookings/items HTTP/", version, "\r\nHost: a\r\nAuthorization: Bearer secret\r\nContent-Length: 0\r\n\r\n"));
        REQUIRE(runUntil(broken.loop, [&] {
            fixture.scheduler.advance(1ms);
            caller->receive();
            return caller->isEnded();
        }));
        CHECK(absl::StrContains(caller->received(), absl::StrCat("HTTP/1.1 ", status)));
        CHECK(absl::StrContains(caller->received(), "part"));
        CHECK(absl::StrContains(caller->received(), "4\r\npart") == (version == "1.1"));
        CHECK_FALSE(absl::StrContains(caller->received(), "0\r\n\r\n"));
        CHECK(caller->wasReset() == (version == "1.0"));
    }
}
