#include "Coordination/FakeHttpClient.h"
#include "catkinwing/Replay/Replayer.h"
#include "catkinwing/Support/ManualScheduler.h"

#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

static const char* const twoLines = R"({"at_ms":0,"region":"north","key":"k","class":"short","path":"/p","body":{"a":1}}
{"at_ms":500,"region":"north","key":"k","class":"short","path":"/p","idempotency_key":"i"}
)";

TEST_CASE("a trace is sent at its own times, whatever the answers are")
{
    ManualScheduler scheduler;
    FakeHttpClient client(scheduler);
    client.handler = [](const HttpClientRequest&) {
        FakeHttpAnswer answer = FakeHttpAnswer::ok("x");
        answer.delay = 2s;
        return answer;
    };
    Replayer replayer(scheduler, client, { { "north", { { "127.0.0.1", 1 }, { "127.0.0.1", 2 } } } }, 1);
    std::vector<ReplayResult> results;
    replayer.run(*parseTrace(twoLines), [&](std::vector<ReplayResult> done) { results = std::move(done); });
    scheduler.advance(400ms);
    CHECK(client.requests.size() == 1);
    scheduler.advance(200ms);
    REQUIRE(client.requests.size() == 2);
    CHECK(client.requests[0].server != client.requests[1].server);
    CHECK(*client.requests[1].headers.find("Idempotency-Key") == "i");
    scheduler.advance(5s);
    REQUIRE(results.size() == 2);
    CHECK(results[0].isWhole);
    CHECK(*results[0].timeToFirstByte == 2s);
}

TEST_CASE("a stream without its end is not whole")
{
    ManualScheduler scheduler;
    FakeHttpClient client(scheduler);
    std::string text = "data: x\n\n";
    client.handler = [&](const HttpClientRequest&) {
        FakeHttpAnswer answer = FakeHttpAnswer::ok(text);
        answer.headers = { { "Content-Type", "text/event-stream" } };
        return answer;
    };
    auto isWhole = [&] {
        Replayer replayer(scheduler, client, { { "north", { { "127.0.0.1", 1 } } } }, 1);
        bool whole = false;
        replayer.run({ { 0ms, "north", "k", "short", "POST", "/p", "", "" } }, [&](const std::vector<ReplayResult>& done) { whole = done[0].isWhole; });
        scheduler.advance(1s);
        return whole;
    };
    CHECK_FALSE(isWhole());
    text += "data: [DONE]\n\n";
    CHECK(isWhole());
}

TEST_CASE("traces that can't be read name the line")
{
    CHECK(parseTrace("{}").status().message().find("line 1") == 0);
    // Numbers beyond the range of a time have no value as one.
    for (const char* at : { "1.6e+60", "-1e300", "1e16" })
        CHECK(parseTrace(std::string(R"({"at_ms":)") + at + R"(,"region":"n","key":"k","class":"c","path":"/"})").status().message().find("line 1: at_ms") == 0);
    CHECK_FALSE(parseTrace(std::string(twoLines) + R"({"at_ms":1,"region":"n","key":"k","class":"c","path":"/"})").ok());
}

TEST_CASE("stated times beyond the range of a time are refused")
{
    CHECK(parseStatedOutcomes(R"({"c":{"p99_time_to_first_byte_ms":250}})").ok());
    CHECK_FALSE(parseStatedOutcomes(R"({"c":{"p99_time_to_first_byte_ms":1e40}})").ok());
    CHECK_FALSE(parseStatedOutcomes(R"({"c":{"median_time_to_first_byte_ms":-1e40}})").ok());
}

TEST_CASE("stated outcomes that are missed are named")
{
    std::vector<ReplayResult> results(10, { "short", 200, true, "", 10ms, 20ms });
    results[0] = { "short", 502, true, "unknown", std::nullopt, 20ms };
    results[1] = { "short", 503, true, "not-run", std::nullopt, 20ms };
    auto figures = summarize(results);
    CHECK(figures["short"].answered == 8);
    CHECK(figures["short"].unknown == 1);
    auto missedOf = [&](const char* stated) { return findMissed(figures, *parseStatedOutcomes(stated)).size(); };
    CHECK(missedOf(R"({"short":{"answered":0.8,"unknown":0.1,"p99_time_to_first_byte_ms":10}})") == 0);
    CHECK(missedOf(R"({"short":{"answered":0.9,"unknown":0,"p99_time_to_first_byte_ms":9}})") == 3);
    CHECK(missedOf(R"({"long":{}})") == 1);
    CHECK_FALSE(parseStatedOutcomes("[1]").ok());
}
