#include "platform/PlatformDialect.h"

#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace catkinwing::platform;
using namespace std::chrono_literals;

static HttpRequest request(HttpHeaders headers)
{
    HttpRequest request;
    request.method = "POST";
    request.path = "/x/1";
    request.headers = std::move(headers);
    return request;
}

TEST_CASE("readRequest reads the headers of a request into typed fields")
{
    Dialect dialect = platformDialect();
    RequestFacts facts = dialect.readRequest(request({ { "host", "a.example" }, { "attempt-id", "9c41" }, { "deadline-ms", "4000" },
        { "token-count", "1460,80" }, { "prefix-hash", "5c1e07a2:800,91bd3f06:410" }, { "last-event-id", "12" } }));
    CHECK(facts.host == "a.example");
    CHECK(facts.attemptId == "9c41");
    CHECK(facts.timeLeft == 4s);
    CHECK(facts.promptTokens == 1460);
    CHECK(facts.maxOutputTokens == 80);
    REQUIRE(facts.prompt.size() == 2);
    CHECK(facts.prompt[0].id == "5c1e07a2");
    CHECK(facts.prompt[1].tokens == 410);
    CHECK(facts.resumeAfter == 12u);
}

TEST_CASE("readRequest does not forward hop-by-hop headers and headers reserved for the gateway")
{
    Dialect dialect = platformDialect();
    RequestFacts facts = dialect.readRequest(request({ { "Host", "h" }, { "Attempt-Id", "1" }, { "Connection", "close, X-Hop" }, { "X-Hop", "1" },
        { "Expect-Instance", "i" }, { "Hold", "1" }, { "Pin-Ms", "4" }, { "Kv-Backup", "a" }, { "Kv-From", "b" }, { "Kv-Fetch", "c" }, { "Deadline-Ms", "5" },
        { "Request-Priority", "0" }, { "Catkinwing-Attempts-Left", "9" }, { "Model", "m" }, { "Length-Hint", "7" }, { "X-Other", "kept" } }));
    std::vector<std::string> names;
    for (const HttpHeader& field : facts.forwardedHeaders.fields())
        names.push_back(field.name);
    CHECK(names == std::vector<std::string> { "Host", "Attempt-Id", "Model", "Length-Hint", "X-Other" });
}

TEST_CASE("writeAttempt sends the expected incarnation and the remaining time")
{
    Dialect dialect = platformDialect();
    AttemptFacts facts;
    facts.incarnation = "i-1";
    facts.timeLeft = 250ms;
    facts.resumeAfter = 3;
    HttpHeaders headers;
    dialect.writeAttempt(facts, headers);
    CHECK(*headers.find("expect-instance") == "i-1");
    CHECK(*headers.find("deadline-ms") == "250");
    CHECK(*headers.find("last-event-id") == "3");
    CHECK_FALSE(headers.find("request-priority"));
}

TEST_CASE("readAnswer takes only a sealed response without content encoding for an endpoint's response")
{
    Dialect dialect = platformDialect();
    CHECK(dialect.readResponse({ 200, { { "reply-seal", "x" }, { "attempt-id", "1" } } }).isEndpointAnswer);
    CHECK_FALSE(dialect.readResponse({ 200, { { "attempt-id", "1" } } }).isEndpointAnswer);
    CHECK_FALSE(dialect.readResponse({ 200, { { "reply-seal", "x" }, { "content-encoding", "gzip" } } }).isEndpointAnswer);
    CHECK(dialect.readResponse({ 503, { { "not-executed", "1" } } }).wasNotExecuted);
    CHECK_FALSE(dialect.readResponse({ 503, {} }).wasNotExecuted);
    ResponseFacts other = dialect.readResponse({ 421, {} });
    CHECK(other.isOtherIncarnation);
    CHECK(other.wasNotExecuted);
}

TEST_CASE("directory queries are read and directory answers are written")
{
    Dialect dialect = platformDialect();
    HttpRequest question;
    question.method = "GET";
    question.path = "/resolve";
    question.query = "name=a.example&region=n%20rth&zone=z";
    std::optional<EntryDirectoryQuery> read = dialect.readDirectoryQuery(question);
    REQUIRE(read);
    CHECK(read->host == "a.example");
    CHECK(read->region == "n rth");
    CHECK(read->availabilityZone == "z");
    CHECK(dialect.writeDirectoryResponse({ { "10.1.0.35", 8144 } }, 1500ms) == R"({"addrs":["10.1.0.35:8144"],"ttl_s":1.5})");
    question.path = "/other";
    CHECK_FALSE(dialect.readDirectoryQuery(question));
}

TEST_CASE("readAnswer reads the leaving flag and the retry-after time")
{
    Dialect dialect = platformDialect();
    ResponseFacts plain = dialect.readResponse({ 200, { { "Attempt-Id", "1" }, { "Reply-Seal", "s" } } });
    CHECK_FALSE(plain.isLeaving);
    CHECK_FALSE(plain.pause);
    CHECK(dialect.readResponse({ 200, { { "Reply-Seal", "s" }, { "server-leaving", "1" } } }).isLeaving);
    CHECK_FALSE(dialect.readResponse({ 200, { { "Server-Leaving", "0" } } }).isLeaving);
    auto pauseOf = [&](int status, const char* value) { return dialect.readResponse({ status, { { "Not-Executed", "1" }, { "Retry-After", value } } }).pause; };
    CHECK(pauseOf(503, "6") == 6s);
    CHECK(pauseOf(503, "0.25") == 250ms);
    CHECK_FALSE(pauseOf(429, "6"));
    for (const char* value : { "", "-1", "0", "nan", "inf", "1e30", "Thu, 03 Dec 2026 08:00:00 GMT" })
        CHECK_FALSE(pauseOf(503, value));
}

// Guards against an answer that is taken for another request's since a client puts space behind its
// ID, which endpoints may leave out when they repeat it.
TEST_CASE("space around an attempt's ID isn't part of it")
{
    Dialect dialect = platformDialect();
    RequestFacts facts = dialect.readRequest(request({ { "Host", "h" }, { "Attempt-Id", "a2 " }, { "resumes", "a1\t" } }));
    CHECK(facts.attemptId == "a2");
    CHECK(facts.resumedAttemptId == "a1");
    CHECK(dialect.readResponse({ 200, { { "Attempt-Id", " a2\t" } } }).attemptId == "a2");
}

TEST_CASE("readAnswer reads the request limit that an endpoint names")
{
    Dialect dialect = platformDialect();
    auto read = [&](HttpHeaders headers) { return dialect.readResponse({ 200, std::move(headers) }); };
    CHECK_FALSE(read({ { "Reply-Seal", "s" } }).requestLimit);
    CHECK(read({ { "server-limit", "3.7" } }).requestLimit == 3.7);
    CHECK(read({ { "Server-Limit", "0" } }).requestLimit == 0.0);
    CHECK(read({ { "Server-Limit", " 1e300 " } }).requestLimit == 1e300);
    for (const char* value : { "", "-1", "nan", "inf", "-inf", "many", "3,x", "1 2", "0x10g" })
        CHECK(read({ { "Server-Limit", value } }).isRequestLimitInvalid);
    CHECK_FALSE(read({ { "Server-Limit", "-1" } }).requestLimit);
    ResponseFacts twice = read({ { "Server-Limit", "4" }, { "Server-Limit", "2.5" } });
    CHECK(twice.requestLimit == 2.5);
    CHECK_FALSE(twice.isRequestLimitInvalid);
}

TEST_CASE("readAnswer reads how many requests a brittle endpoint may reject")
{
    Dialect dialect = platformDialect();
    auto read = [&](HttpHeaders headers) { return dialect.readResponse({ 503, std::move(headers) }); };
    CHECK_FALSE(read({ { "Reply-Seal", "s" }, { "Server-Limit", "2" } }).rejectionLimit);
    CHECK(read({ { "server-brittle", "5" } }).rejectionLimit == 5.0);
    CHECK(read({ { "Server-Brittle", "0" } }).rejectionLimit == 0.0);
    CHECK(read({ { "Server-Brittle", "7" }, { "Server-Brittle", "3" } }).rejectionLimit == 3.0);
    for (const char* value : { "", "-1", "nan", "inf", "some" }) {
        CHECK_FALSE(read({ { "Server-Brittle", value } }).rejectionLimit);
        CHECK(read({ { "Server-Brittle", value } }).isRejectionLimitInvalid);
    }
}

TEST_CASE("limits of endpoints that a client states aren't forwarded")
{
    Dialect dialect = platformDialect();
    RequestFacts facts = dialect.readRequest(request({ { "Host", "h" }, { "Server-Limit", "1" }, { "Server-Brittle", "1" } }));
    CHECK_FALSE(facts.forwardedHeaders.find("server-limit"));
    CHECK_FALSE(facts.forwardedHeaders.find("server-brittle"));
}

TEST_CASE("the key of a caller is read and never forwarded, nor is a workspace that the client states")
{
    Dialect dialect = platformDialect();
    RequestFacts facts = dialect.readRequest(request({ { "Host", "h" }, { "KEY", "secret" }, { "tenant", "other" }, { "X-Other", "kept" } }));
    CHECK(facts.workspaceKey == "secret");
    REQUIRE(facts.forwardedHeaders.fields().size() == 2);
    CHECK_FALSE(facts.forwardedHeaders.find("key"));
    CHECK_FALSE(facts.forwardedHeaders.find("tenant"));
    AttemptFacts attempt;
    attempt.workspace = "fitters";
    dialect.writeAttempt(attempt, facts.forwardedHeaders);
    CHECK(*facts.forwardedHeaders.find("tenant") == "fitters");
}

TEST_CASE("a request with two keys has none")
{
    Dialect dialect = platformDialect();
    CHECK(dialect.readRequest(request({ { "Key", "a" }, { "key", "b" } })).workspaceKey.empty());
    CHECK(dialect.readRequest(request({ { "Key", "a" }, { "key", "a" } })).workspaceKey.empty());
}

TEST_CASE("readRequest tells whether a request states its numbers of tokens")
{
    Dialect dialect = platformDialect();
    CHECK(dialect.readRequest(request({ { "Token-Count", "10,20" } })).hasTokenCounts);
    CHECK_FALSE(dialect.readRequest(request({})).hasTokenCounts);
}

TEST_CASE("the attempt that began a resumed stream is read and forwarded, and two of them name none")
{
    HttpRequest resuming = request({ { "Host", "h" }, { "Attempt-Id", "a2" }, { "resumes", "a1" }, { "Last-Event-Id", "12" }, { "Catkinwing-Stream-Build", "1" } });
    RequestFacts facts = platformDialect().readRequest(resuming);
    CHECK(facts.resumedAttemptId == "a1");
    CHECK(facts.resumeAfter == 12);
    CHECK(facts.forwardedHeaders.find("resumes"));
    CHECK_FALSE(facts.forwardedHeaders.find("catkinwing-stream-build"));
    resuming.headers.add("Resumes", "a0");
    CHECK(platformDialect().readRequest(resuming).resumedAttemptId.empty());
}
