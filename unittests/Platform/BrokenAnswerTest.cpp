// Tests what clients get when an endpoint's answer isn't valid HTTP or isn't whole.
#include "EntryFixture.h"
#include "Http/ScriptedEndpoint.h"
#include "catkinwing/Ingress/EntryTable.h"
#include <absl/strings/ascii.h>
#include <algorithm>

using namespace catkinwing;
using namespace catkinwing::platform;
using namespace std::chrono_literals;

namespace {

std::vector<std::string> statusesIn(const std::string& responses)
{
    const std::string version = "HTTP/1.1 ";
    std::vector<std::string> statuses;
    for (std::size_t at = responses.find(version); at != std::string::npos; at = responses.find(version, at + 1))
        statuses.push_back(responses.substr(at + version.size(), 3));
    return statuses;
}

/// What a client gets of an answer.
struct RawAnswer {
    std::string head;
    std::string body;
    bool wasReset { false };

    /// Returns whether the answer is whole (RFC 9112, section 8).
    bool isWhole() const
    {
        if (absl::StrContains(head, "transfer-encoding: chunked"))
            return absl::EndsWith(body, "\r\n0\r\n\r\n");
        std::size_t length = head.find("content-length: ");
        if (length != std::string::npos)
            return std::to_string(body.size()) == head.substr(length + 16, head.find("\r\n", length) - length - 16);
        return !head.empty() && !wasReset;
    }
};

/// Whether the entry that the client calls sends requests to the endpoints itself.
enum class Path {
    Direct,
    /// Through an entry of the endpoints' region.
    Forwarded,
};

/// An entry whose clients reach a scripted endpoint alone, under /alone/ and /events/, and
/// beside a sound one, under /paired/.
class BrokenPath : public EntryFixture {
public:
    explicit BrokenPath(Path path)
        : m_zone(path == Path::Direct ? "north-a" : "south-a")
    {
        if (path == Path::Forwarded) {
            DaemonSettings other = settings;
            other.name = "other";
            other.region = "south";
            other.availabilityZone = "south-a";
            m_other = startEntry(other);
        }
        addScripted("alone");
        addScripted("events");
        addScripted("paired");
        addSound("paired");
        addSound("sound");
        nlohmann::json document = nlohmann::json::parse(configuration());
        document["version"] = 8;
        document["limits"] = { { "max_body_bytes", 16 << 20 } };
        for (const char* service : { "alone", "events", "paired", "sound" })
            document["services"].push_back({ { "name", service }, { "max_conns", 100 } });
        document["routes"].push_back(routeOf("/alone/", "non_idempotent", "alone", 1, false));
        document["routes"].push_back(routeOf("/events/", "streaming", "events", 1, false));
        document["routes"].push_back(routeOf("/paired/", "idempotent", "paired", 2, false));
        document["routes"].push_back(routeOf("/sound/", "idempotent", "sound", 1, false));
        platform.compareAndSwap("op/config", platform.get("op/config").revision, document.dump());
        // Both entries know the configuration once a body of a size that it allows is taken.
        REQUIRE(runUntil(platform.loop, [this] { return ask("/sound/ready", 6 << 20)->head.status == 200; }));
    }

    // Requests that have just ended are released in the loop's next turn, and refer to their entry.
    ~BrokenPath() { runFor(platform.loop, 20ms); }
    BrokenPath(const BrokenPath&) = delete;
    BrokenPath& operator=(const BrokenPath&) = delete;

    /// Sends a request with an attempt ID and a body of its own, \p bytes long at least.
    std::shared_ptr<Recorded> ask(const std::string& target, std::size_t bytes = 0)
    {
        std::string id = absl::StrCat("a-", ++m_sent);
        return platform.sendAndWait(settings.listen.callers, "POST", target, id + std::string(bytes, 'x'), { { "Host", "path.example" }, { "Attempt-Id", id } });
    }

    /// Sends requests until the scripted endpoint gets one. Entries refuse some of the requests for
    /// endpoints that always fail.
    std::shared_ptr<Recorded> askScripted(const std::string& target, std::size_t bytes = 0)
    {
        int before = endpoint.requests();
        std::shared_ptr<Recorded> got;
        REQUIRE(runUntil(platform.loop, [&] {
            got = ask(target, bytes);
            if (got->head.status != 503)
                return true;
            runFor(platform.loop, 50ms);
            askSound();
            return false;
        }));
        CHECK(endpoint.requests() == before + 1);
        return got;
    }

    /// Sends requests at once on one connection and returns the statuses of their responses, in order.
    std::vector<std::string> askPipelined(std::initializer_list<const char*> targets)
    {
        auto client = RawConnection::connect(settings.listen.callers);
        std::string requests;
        for (const char* target : targets)
            absl::StrAppend(&requests, "POST ", target, " HTTP/1.1\r\nHost: path.example\r\nAttempt-Id: p-", ++m_sent, "\r\nContent-Length: 2\r\n\r\nab");
        client->send(requests);
        std::vector<std::string> statuses;
        bool areAnswered = runUntil(platform.loop, [&] {
            client->receive();
            statuses = statusesIn(client->received());
            return statuses.size() == targets.size() || client->isEnded();
        });
        CAPTURE(client->received());
        CHECK(areAnswered);
        CHECK_FALSE(absl::StrContains(client->received(), "broken"));
        return statuses;
    }

    /// Sends requests at once in \p version of HTTP, such as "1.0", until none is refused, and returns the answers as
    /// their last chunk or the end of the connection leaves them. Entries refuse requests for an entry or endpoint that
    /// has just failed.
    std::vector<RawAnswer> askRaw(const std::vector<std::string>& targets, const std::string& version)
    {
        std::vector<RawAnswer> answers(targets.size());
        auto isDue = [](const RawAnswer& answer) { return answer.head.empty() || absl::StartsWith(answer.head, "http/1.1 503"); };
        REQUIRE(runUntil(platform.loop, [&] {
            std::vector<std::unique_ptr<RawConnection>> clients(targets.size());
            for (std::size_t i = 0; i < targets.size(); ++i) {
                if (isDue(answers[i]))
                    clients[i] = sendRaw(targets[i], version);
            }
            for (std::size_t i = 0; i < targets.size(); ++i) {
                if (clients[i])
                    answers[i] = receiveRaw(*clients[i]);
            }
            if (std::none_of(answers.begin(), answers.end(), isDue))
                return true;
            runFor(platform.loop, 50ms);
            askSound();
            return false;
        }));
        return answers;
    }

    /// Gets an answer of a sound endpoint. Entries that get none for a while, and whose endpoints break
    /// their connections, take themselves for cut off.
    void askSound() { ask("/sound/1"); }

    /// Checks that clients get an answer as it is.
    void checkDelivered(const ScriptedAnswer& answer, int status, const std::string& body)
    {
        endpoint.answer = answer;
        for (const char* target : { "/alone/1", "/events/1" }) {
            INFO(target << " " << answer.bytes);
            auto got = ask(target);
            CHECK(got->result.end == HttpEnd::Complete);
            CHECK(got->head.status == status);
            CHECK(got->body == body);
        }
    }

    /// Checks that no client gets \p answer, and that a request is repeated where it may be.
    void checkWithheld(const ScriptedAnswer& answer)
    {
        endpoint.answer = answer;
        for (const char* target : { "/alone/1", "/events/1" }) {
            INFO(target << " " << answer.bytes);
            auto got = askScripted(target);
            CHECK(got->result.end == HttpEnd::Complete);
            CHECK(got->head.status == 502);
            CHECK_FALSE(got->head.headers.find("Reply-Seal"));
        }
        INFO("/paired/1 " << answer.bytes);
        askSound();
        int before = endpoint.requests();
        auto got = ask("/paired/1");
        m_repeated += endpoint.requests() > before ? 1 : 0;
        CHECK(got->result.end == HttpEnd::Complete);
        INFO(got->body);
        CHECK(got->head.status == 200);
        CHECK(absl::StrContains(got->body, "\"sound-paired\""));
    }

    /// Returns how many requests the sound endpoint got after the scripted one.
    int repeated() const { return m_repeated; }

    ScriptedEndpoint endpoint { platform.loop };

private:
    std::unique_ptr<RawConnection> sendRaw(const std::string& target, const std::string& version)
    {
        auto client = RawConnection::connect(settings.listen.callers);
        std::string id = absl::StrCat("r-", ++m_sent);
        client->send(absl::StrCat("POST ", target, " HTTP/", version, "\r\nHost: path.example\r\nAttempt-Id: ", id, "\r\nContent-Length: ", id.size(), "\r\n\r\n", id));
        return client;
    }
    RawAnswer receiveRaw(RawConnection& client)
    {
        RawAnswer answer;
        REQUIRE(runUntil(platform.loop, [&] {
            client.receive();
            std::size_t end = client.received().find("\r\n\r\n");
            if (end != std::string::npos)
                answer = { absl::AsciiStrToLower(client.received().substr(0, end + 2)), client.received().substr(end + 4), client.wasReset() };
            return client.isEnded() || (absl::StrContains(answer.head, "\r\nconnection: keep-alive") && answer.isWhole());
        }));
        return answer;
    }
    void addScripted(const std::string& service)
    {
        nlohmann::json registration = registrationAt(service, endpoint.address(), m_zone);
        registration["slots"] = 16;
        platform.compareAndSwap("servers/scripted-" + service, 0, registration.dump());
    }
    void addSound(const std::string& service)
    {
        std::string incarnation = "sound-" + service;
        endpoints.push_back(platform.startEndpoint({ incarnation, 0ms, 0, 0ms, false, {}, {}, {} }));
        platform.compareAndSwap("servers/" + incarnation, 0, registrationAt(service, endpoints.back()->address(), m_zone).dump());
    }

    std::string m_zone;
    std::unique_ptr<IngressDaemon> m_other;
    int m_sent { 0 };
    int m_repeated { 0 };
};

} // namespace

/// Fields that mark an answer as the endpoint's.
static const std::string marks = "Attempt-Id: {id}\r\nReply-Seal: seal\r\n";

static std::string answerOf(const std::string& statusLine)
{
    return absl::StrCat(statusLine, "\r\n", marks, "Content-Length: 6\r\n\r\nbroken");
}

static std::string streamOf(const std::string& statusLine)
{
    return absl::StrCat(statusLine, "\r\n", marks, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                                                   "11\r\nid: 1\ndata: one\n\n\r\n0\r\n\r\n");
}

TEST_CASE("an answer with an unusual and valid status line reaches the client")
{
    BrokenPath fixture(GENERATE(Path::Direct, Path::Forwarded));
    for (const char* line : { "HTTP/1.1 200 OK", "HTTP/1.1 200 ", "HTTP/1.0 200 OK", "HTTP/1.9 200 OK", "HTTP/1.1 200 \xc3\xa9t\xe9", "HTTP/1.1 200 a\tb" })
        fixture.checkDelivered({ answerOf(line) }, 200, "broken");
    for (int status : { 201, 299, 400, 499, 500, 599 })
        fixture.checkDelivered({ answerOf(absl::StrCat("HTTP/1.1 ", status, " Status")) }, status, "broken");
}

// Guards against a failed endpoint whose clients get what isn't an answer in HTTP.
TEST_CASE("an answer whose status line isn't valid reaches no client")
{
    BrokenPath fixture(GENERATE(Path::Direct, Path::Forwarded));
    for (const char* status : { "000", "099", "600", "999", "0", "20", "2000", "+20", "-20", "20x", "2 0", "" }) {
        std::string line = absl::StrCat("HTTP/1.1 ", status, " Status");
        fixture.checkWithheld({ answerOf(line) });
        fixture.checkWithheld({ streamOf(line) });
    }
    for (const char* line : { "HTTP/1.1 200", "HTTP/1.1", "HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "HTTP/1.x 200 OK", "HTP/1.1 200 OK", "http/1.1 200 OK", "200 OK", "", "HTTP/1.1\t200 OK" })
        fixture.checkWithheld({ answerOf(line) });
    CHECK(fixture.repeated() > 0);
}

// Guards against a field that is passed on, or that one reader takes for the framing and another doesn't.
TEST_CASE("an answer with an invalid name of a field reaches no client")
{
    BrokenPath fixture(GENERATE(Path::Direct, Path::Forwarded));
    const std::string start = "HTTP/1.1 200 OK\r\n" + marks;
    const std::string control(1, '\0');
    for (const std::string& name : { std::string("x y"), std::string("x "), std::string("x\t"), std::string("x\x01y"), std::string("x\x7f"), "x" + control + "y", std::string("x\ry"),
             std::string("x\xe9"), std::string("x(y)"), std::string("x\"y"), std::string("x@y"), std::string(), std::string("Content-Length "), std::string("Content Length"),
             std::string("Content-Length\x01"), "Content-Length" + control, std::string("Content-Length\r"), std::string("Transfer-Encoding "), std::string("Transfer-Encoding\t") }) {
        std::string value = absl::StartsWith(name, "Transfer") ? ": chunked\r\n" : ": 3\r\n";
        fixture.checkWithheld({ absl::StrCat(start, name, value, "\r\nbroken"), ConnectionEnd::Closed });
        fixture.checkWithheld({ absl::StrCat(start, name, value, "Content-Length: 6\r\n\r\nbroken") });
        fixture.checkWithheld({ absl::StrCat(start, "Content-Length: 6\r\n", name, value, "\r\nbroken") });
    }
    for (const char* line : { "no colon", " leading: blank", "\tleading: tab" })
        fixture.checkWithheld({ absl::StrCat(start, "Content-Length: 6\r\n", line, "\r\n\r\nbroken") });
}

TEST_CASE("an answer with an invalid value of a field reaches no client")
{
    BrokenPath fixture(GENERATE(Path::Direct, Path::Forwarded));
    const std::string start = "HTTP/1.1 200 OK\r\n" + marks;
    const std::string control(1, '\0');
    for (const std::string& field : { "x: a" + control + "b", std::string("x: a\x01"), std::string("x: a\x7f"), std::string("x: a\rb"), std::string("x: a\r\n b"), std::string("Content-Length: 6, 6"),
             std::string("Content-Length: 6\r\nContent-Length: 7"), std::string("Content-Length: +6"), std::string("Content-Length: 0x6"), std::string("Content-Length:"),
             std::string("Content-Length: 99999999999999999999"), std::string("Transfer-Encoding: gzip"), std::string("Transfer-Encoding: chunked, chunked") }) {
        fixture.checkWithheld({ absl::StrCat(start, field, "\r\n\r\nbroken"), ConnectionEnd::Closed });
        if (!absl::StartsWith(field, "Content"))
            fixture.checkWithheld({ absl::StrCat(start, "Content-Length: 6\r\n", field, "\r\n\r\nbroken") });
    }
}

// Guards against a part of a body that is taken as whole since the connection's reset was overlooked.
TEST_CASE("an answer without a length that is reset while a long upload is being sent reaches no client as whole")
{
    BrokenPath fixture(GENERATE(Path::Direct, Path::Forwarded));
    const std::string plain = "HTTP/1.1 200 OK\r\n" + marks + "\r\npart of a body";
    const std::string stream = "HTTP/1.1 200 OK\r\n" + marks + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: one\n\n";
    for (std::size_t bytes : { 100u << 10, 1u << 20, 4u << 20 }) {
        for (Duration delay : { Duration(0ms), Duration(20ms) }) {
            for (ConnectionEnd end : { ConnectionEnd::Closed, ConnectionEnd::Reset, ConnectionEnd::EndedThenReset }) {
                // What the endpoint's kernel has taken in wholly has arrived.
                if (end == ConnectionEnd::EndedThenReset && bytes < (1u << 20))
                    continue;
                INFO(bytes << " bytes, " << std::chrono::duration<double>(delay).count() << " s");
                fixture.endpoint.answer = { plain, end, true, delay };
                auto got = fixture.askScripted("/alone/1", bytes);
                CHECK(got->result.end == HttpEnd::Complete);
                CHECK(got->head.status == 502);
                fixture.endpoint.answer.bytes = stream;
                got = fixture.askScripted("/events/1", bytes);
                CHECK((got->result.end != HttpEnd::Complete || got->head.status == 502));
            }
        }
    }
}

// Guards against an endpoint that is stopped or cut off, whose reset comes late or not at all.
TEST_CASE("an answer without a length whose endpoint reads no more of a long upload reaches no client as whole")
{
    BrokenPath fixture(GENERATE(Path::Direct, Path::Forwarded));
    fixture.endpoint.answer = { "HTTP/1.1 200 OK\r\n" + marks + "\r\npart of a body", ConnectionEnd::EndedThenReset, true, 1'500ms };
    auto got = fixture.askScripted("/alone/1", 2u << 20);
    CHECK(got->result.end == HttpEnd::Complete);
    CHECK(got->head.status == 502);
}

// An endpoint that has answered may close its connection as it likes.
TEST_CASE("an answer without a length that ends with its connection reaches the client")
{
    BrokenPath fixture(GENERATE(Path::Direct, Path::Forwarded));
    fixture.endpoint.answer = { "HTTP/1.1 200 OK\r\n" + marks + "\r\nwhole", ConnectionEnd::Closed };
    for (std::size_t bytes : { 0u, 100u << 10, 4u << 20 }) {
        auto got = fixture.askScripted("/alone/1", bytes);
        CHECK(got->result.end == HttpEnd::Complete);
        CHECK(got->head.status == 200);
        CHECK(got->body == "whole");
    }
}

/// Targets of streams whose status is the last part of their path: all that succeed and have a body.
static const std::vector<std::string> streamTargets { "/events/200", "/events/201", "/events/202", "/events/203", "/events/205", "/events/206", "/events/207", "/events/226", "/events/299" };

static std::string streamHead(bool isChunked)
{
    return absl::StrCat("HTTP/1.1 {name} Status\r\n", marks, "Content-Type: text/event-stream\r\n", isChunked ? "Transfer-Encoding: chunked\r\n" : "", "\r\n");
}

static void checkFirstEvent(const RawAnswer& answer, const std::string& target)
{
    CHECK(absl::StartsWith(answer.head, absl::StrCat("http/1.1 ", target.substr(target.rfind('/') + 1))));
    CHECK(absl::StrContains(answer.body, "id: 1\ndata: one\n\n"));
}

// Guards against a stream whose part looks whole: one with a status other than 200 had no frame, neither
// towards the client nor between two entries.
TEST_CASE("a stream that is cut looks cut to the client, whatever its status and framing")
{
    Path path = GENERATE(Path::Direct, Path::Forwarded);
    std::string version = GENERATE("1.1", "1.0");
    bool isChunked = GENERATE(true, false);
    ConnectionEnd end = GENERATE(ConnectionEnd::Closed, ConnectionEnd::Reset);
    BrokenPath fixture(path);
    // The end of a connection inside an event shows that the stream is cut, and one between two doesn't.
    std::string events = isChunked ? "11\r\nid: 1\ndata: one\n\n\r\n" : "id: 1\ndata: one\n\nid: 2\nda";
    fixture.endpoint.answer = { streamHead(isChunked) + events, end, false, 50ms };
    std::vector<RawAnswer> got = fixture.askRaw(streamTargets, version);
    for (std::size_t i = 0; i < streamTargets.size(); ++i) {
        INFO(streamTargets[i] << " HTTP/" << version << (isChunked ? " in chunks" : " until the end") << (path == Path::Direct ? "" : ", forwarded"));
        checkFirstEvent(got[i], streamTargets[i]);
        CHECK_FALSE(got[i].isWhole());
    }
}

TEST_CASE("a stream that has no end by its route's timeout looks cut to the client")
{
    BrokenPath fixture(GENERATE(Path::Direct, Path::Forwarded));
    std::string version = GENERATE("1.1", "1.0");
    fixture.endpoint.answer = { streamHead(false) + "id: 1\ndata: one\n\n", ConnectionEnd::Kept };
    std::vector<RawAnswer> got = fixture.askRaw({ "/events/200", "/events/206" }, version);
    for (const RawAnswer& answer : got) {
        INFO(answer.head << " to HTTP/" << version);
        CHECK(absl::StrContains(answer.body, "id: 1\ndata: one\n\n"));
        CHECK_FALSE(answer.isWhole());
    }
}

TEST_CASE("a whole stream looks whole to the client, and HTTP/1.1 keeps the connection, whatever its status and framing")
{
    Path path = GENERATE(Path::Direct, Path::Forwarded);
    std::string version = GENERATE("1.1", "1.0");
    bool isChunked = GENERATE(true, false);
    BrokenPath fixture(path);
    std::string events = isChunked ? "11\r\nid: 1\ndata: one\n\n\r\n0\r\n\r\n" : "id: 1\ndata: one\n\n";
    fixture.endpoint.answer = { streamHead(isChunked) + events, isChunked ? ConnectionEnd::Kept : ConnectionEnd::Closed, false, 10ms };
    std::vector<RawAnswer> got = fixture.askRaw(streamTargets, version);
    for (std::size_t i = 0; i < streamTargets.size(); ++i) {
        INFO(streamTargets[i] << " HTTP/" << version << (isChunked ? " in chunks" : " until the end") << (path == Path::Direct ? "" : ", forwarded"));
        checkFirstEvent(got[i], streamTargets[i]);
        CHECK(got[i].isWhole());
        CHECK(absl::StrContains(got[i].head, "\r\nconnection: keep-alive") == (version == "1.1"));
    }
}

// Guards against a body, empty or short, that a head which never ended is taken to announce.
TEST_CASE("an answer whose connection ends in the middle of its head reaches no client")
{
    BrokenPath fixture(GENERATE(Path::Direct, Path::Forwarded));
    const std::string hints = "HTTP/1.1 103 Early Hints\r\nx: y\r\n\r\n";
    const std::string heads[] = {
        "HTTP/1.1 200 OK\r\n" + marks + "Content-Length: 0\r\nx: y\r\n\r\n",
        "HTTP/1.1 200 OK\r\n" + marks + "Transfer-Encoding: chunked\r\n\r\n",
        hints + "HTTP/1.1 200 OK\r\n" + marks + "\r\n",
    };
    for (const std::string& head : heads) {
        // From nothing to all but the last byte of the head; what the mark for the ID stands for is longer.
        for (std::size_t bytes = 0; bytes < head.size(); bytes += bytes + 8 < head.size() ? 7 : 1) {
            ConnectionEnd end = bytes % 2 == 0 ? ConnectionEnd::Closed : ConnectionEnd::Reset;
            fixture.checkWithheld({ head.substr(0, bytes), end });
        }
    }
    CHECK(fixture.repeated() > 0);
}

TEST_CASE("an answer with an unusual and valid head reaches the client")
{
    BrokenPath fixture(GENERATE(Path::Direct, Path::Forwarded));
    const std::string start = "HTTP/1.1 200 OK\r\n" + marks;
    for (const std::string& fields : { std::string("x:\r\nContent-Length: 6\r\n"), std::string("x:\ty\t\r\nContent-Length:6\r\n"), std::string("x: \xe9\r\ncontent-length: 6\r\n"),
             std::string("!#$%&'*+.^_`|~: y\r\nCONTENT-LENGTH:  6\r\n"), std::string("Content-Length: 6\r\nContent-Length: 6\r\n"), "x: " + std::string(8'000, 'y') + "\r\nContent-Length: 6\r\n" })
        fixture.checkDelivered({ absl::StrCat(start, fields, "\r\nbroken") }, 200, "broken");
    fixture.checkDelivered({ "HTTP/1.1 103 Early Hints\r\nx: y\r\n\r\n" + start + "Content-Length: 6\r\n\r\nbroken" }, 200, "broken");
    fixture.checkDelivered({ "HTTP/1.1 200 " + std::string(2'000, 'x') + "\r\n" + marks + "Content-Length: 6\r\n\r\nbroken" }, 200, "broken");
}

// Guards against an order of responses that a broken one changes.
TEST_CASE("pipelined requests get their responses in order, broken answers among them")
{
    BrokenPath fixture(GENERATE(Path::Direct, Path::Forwarded));
    for (const std::string& head : { answerOf("HTTP/1.1 000 Status"), answerOf("HTTP/1.1 200 OK\r\nx y: z"), std::string("HTTP/1.1 200 OK\r\nx: ") }) {
        INFO(head);
        fixture.endpoint.answer = { head, ConnectionEnd::Closed };
        const std::vector<std::string> expected { "502", "200", "502", "200" };
        std::vector<std::string> statuses;
        REQUIRE(runUntil(fixture.platform.loop, [&] {
            fixture.askSound();
            statuses = fixture.askPipelined({ "/alone/1", "/sound/1", "/alone/2", "/sound/2" });
            // Entries refuse some of the requests for endpoints that always fail, and close the connection then.
            if (statuses.empty() || statuses.back() != "503")
                return true;
            statuses.pop_back();
            CHECK(std::equal(statuses.begin(), statuses.end(), expected.begin()));
            runFor(fixture.platform.loop, 50ms);
            return false;
        }));
        CHECK(statuses == expected);
    }
}

namespace {

/// An entry whose requests for the other region go to a sound entry or to a scripted one.
class BrokenEntry : public EntryFixture {
public:
    BrokenEntry()
    {
        DaemonSettings other = settings;
        other.name = "other";
        other.region = "south";
        other.availabilityZone = "south-a";
        m_other = startEntry(other);
        platform.compareAndSwap("catkinwing/entries/scripted", 0, writeEntryRecord({ "south", "south-a", scripted.address(), scripted.address() }));
        nlohmann::json document = nlohmann::json::parse(configuration());
        document["version"] = 8;
        for (const char* service : { "far", "events" }) {
            std::string incarnation = absl::StrCat("sound-", service);
            endpoints.push_back(platform.startEndpoint({ incarnation, 0ms, service == std::string("events") ? 3u : 0u, 0ms, false, {}, {}, {} }));
            platform.compareAndSwap("servers/" + incarnation, 0, registrationAt(service, endpoints.back()->address(), "south-a").dump());
            document["services"].push_back({ { "name", service }, { "max_conns", 100 } });
        }
        document["routes"].push_back(routeOf("/far/", "non_idempotent", "far", 1, false));
        document["routes"].push_back(routeOf("/repeatable/", "idempotent", "far", 2, false));
        document["routes"].push_back(routeOf("/events/", "streaming", "events", 1, false));
        platform.compareAndSwap("op/config", platform.get("op/config").revision, document.dump());
        scripted.answer = { "HTTP/1.1 503 Full\r\nAttempt-Id: {id}\r\nContent-Length: 0\r\n\r\n" };
        REQUIRE(runUntil(platform.loop, [this] { return ask("/far/ready")->head.status == 200; }));
    }

    std::shared_ptr<Recorded> ask(const std::string& target) { return sendAndWait(target, absl::StrCat("a-", ++m_sent)); }

    /// Returns the result of a request that went to the scripted entry; the others must be served. An entry
    /// that has failed gets no requests for a while.
    std::shared_ptr<Recorded> askScripted(const std::string& target)
    {
        int before = scripted.requests();
        std::shared_ptr<Recorded> got;
        REQUIRE(runUntil(platform.loop, [&] {
            got = ask(target);
            if (scripted.requests() > before)
                return true;
            CHECK(got->head.status == 200);
            runFor(platform.loop, 20ms);
            return false;
        }));
        CHECK(scripted.requests() == before + 1);
        return got;
    }

    ScriptedEndpoint scripted { platform.loop };

private:
    std::unique_ptr<IngressDaemon> m_other;
    int m_sent { 0 };
};

} // namespace

// Guards against a part of a stream that an entry of an earlier version ends in an orderly way.
TEST_CASE("an answer of another entry with neither a length nor chunks is never whole")
{
    BrokenEntry fixture;
    for (const char* status : { "200", "206", "299" }) {
        INFO(status);
        std::string start = absl::StrCat("HTTP/1.1 ", status, " Status\r\n", marks);
        fixture.scripted.answer = { start + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: one\n\n", ConnectionEnd::Closed, false, 5ms };
        auto got = fixture.askScripted("/events/1");
        CHECK(got->body == "id: 1\ndata: one\n\n");
        CHECK(got->result.end == HttpEnd::Truncated);
        fixture.scripted.answer = { start + "\r\npart", ConnectionEnd::Closed, false, 5ms };
        got = fixture.askScripted("/far/1");
        CHECK(got->result.end == HttpEnd::Complete);
        CHECK(got->head.status == 502);
    }
}

TEST_CASE("a broken answer of another entry reaches no client")
{
    BrokenEntry fixture;
    const std::string start = "HTTP/1.1 200 OK\r\n" + marks;
    const ScriptedAnswer answers[] = {
        { answerOf("HTTP/1.1 000 Status") },
        { answerOf("HTTP/1.1 600 Status") },
        { answerOf("HTTP/1.1 200 OK\r\nx y: z") },
        { start + "Content-Length: 0\r\nx: ", ConnectionEnd::Closed },
        { start + "\r\npart", ConnectionEnd::Reset, false, 5ms },
    };
    for (const ScriptedAnswer& answer : answers) {
        INFO(answer.bytes);
        fixture.scripted.answer = answer;
        auto got = fixture.askScripted("/far/1");
        CHECK(got->result.end == HttpEnd::Complete);
        CHECK(got->head.status == 502);
        CHECK_FALSE(got->head.headers.find("Reply-Seal"));
        // The other entry may have sent a request as often as its route allows.
        for (const char* target : { "/events/1", "/repeatable/1" }) {
            got = fixture.askScripted(target);
            CHECK(got->result.end == HttpEnd::Complete);
            CHECK(got->head.status == 502);
        }
    }
}
