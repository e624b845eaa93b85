// Tests the store's client with responses that come twice or aren't valid.
#include "Http/ScriptedServer.h"
#include "platform/PlatformStore.h"
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <optional>

using namespace catkinwing;
using namespace catkinwing::platform;
using namespace std::chrono_literals;

static std::string responseOf(int status, const std::string& body)
{
    return absl::StrCat("HTTP/1.1 ", status, " Status\r\ncontent-length: ", body.size(), "\r\n\r\n", body);
}

namespace {

/// A store whose responses a test writes, and its client.
struct ScriptedStore : ScriptedServer {
    std::optional<SwapResult>& swap(const std::string& key)
    {
        swapped.reset();
        store.compareAndSwap(key, 0, "v", 1, [this](SwapResult result) { swapped = result; });
        return swapped;
    }
    std::optional<absl::StatusOr<StoredValue>>& read(const std::string& key)
    {
        got.reset();
        store.get(key, [this](const absl::StatusOr<StoredValue>& value) { got = value; });
        return got;
    }
    /// Waits for a call and responds; on a connection that was used before, \p copy comes first.
    template <typename Result>
    void respond(const std::optional<Result>& result, const std::string& response, const std::string& copy = {})
    {
        std::size_t used = connections.size();
        std::size_t called = 0;
        REQUIRE(runUntil(loop, [&] {
            if (auto accepted = server.accept())
                connections.push_back(std::move(accepted));
            for (called = 0; called < connections.size(); ++called) {
                connections[called]->receive();
                if (absl::StrContains(connections[called]->received(), "\r\n\r\n"))
                    return true;
            }
            return false;
        }));
        connections[called]->clear();
        connections[called]->send(called < used ? copy + response : response);
        REQUIRE(runUntil(loop, [&] { return result.has_value(); }));
    }

    PlatformStore store { *client, loop, { server.address() }, [](const char*) {} };
    std::vector<std::unique_ptr<RawConnection>> connections;
    std::optional<SwapResult> swapped;
    std::optional<absl::StatusOr<StoredValue>> got;
};

} // namespace

// Guards against a write that is taken as refused although the store has made it.
TEST_CASE("a copy of a refused write isn't taken for the response to the next write")
{
    ScriptedStore scripted;
    std::string refusal = responseOf(GENERATE(503, 429, 412, 404), R"({"items":[]})");
    scripted.respond(scripted.swap("a"), refusal);
    CHECK(scripted.swapped->outcome != SwapOutcome::Committed);
    scripted.respond(scripted.swap("b"), responseOf(200, R"({"revision":9})"), refusal);
    CHECK(scripted.swapped->outcome == SwapOutcome::Committed);
    CHECK(scripted.swapped->revision == 9);
}

// Guards against a key that is taken as absent although the store has it.
TEST_CASE("a copy of a response that a key is absent isn't taken for the response for another key")
{
    ScriptedStore scripted;
    std::string absent = responseOf(404, "{}");
    scripted.respond(scripted.read("a"), absent);
    scripted.respond(scripted.read("b"), responseOf(200, R"({"key":"b","value":"dg==","revision":7})"), absent);
    REQUIRE(scripted.got->ok());
    CHECK((*scripted.got)->revision == 7);
}

// Guards against a write that is taken as made although the store has refused it.
TEST_CASE("a copy of the response to a write isn't taken for the response to the next write")
{
    ScriptedStore scripted;
    std::string success = responseOf(200, R"({"revision":9})");
    scripted.respond(scripted.swap("a"), success);
    CHECK(scripted.swapped->outcome == SwapOutcome::Committed);
    scripted.respond(scripted.swap("b"), responseOf(412, R"({"items":[]})"), success);
    CHECK(scripted.swapped->outcome == SwapOutcome::Unknown);
}

// Guards against one key's value that is taken for another's.
TEST_CASE("a copy of one key's value isn't taken for the value of another key")
{
    ScriptedStore scripted;
    std::string value = responseOf(200, R"({"key":"a","value":"dg==","revision":7})");
    scripted.respond(scripted.read("a"), value);
    REQUIRE(scripted.got->ok());
    scripted.respond(scripted.read("b"), responseOf(200, R"({"key":"b","value":"dw==","revision":8})"), value);
    CHECK_FALSE(scripted.got->ok());
}

// Guards against a store in trouble whose response is taken for a refusal, or for what it states.
TEST_CASE("a response of the store with an invalid status states nothing")
{
    ScriptedStore scripted;
    std::string status = GENERATE(as<std::string>(), "000", "099", "600", "999");
    std::string broken = absl::StrCat("HTTP/1.1 ", status, " Status\r\nstore-era: 99\r\ncontent-length: 2\r\n\r\n{}");
    scripted.respond(scripted.swap("a"), broken);
    CHECK(scripted.swapped->outcome == SwapOutcome::Unknown);
    // A read is tried twice.
    std::optional<absl::StatusOr<StoredValue>>& got = scripted.read("a");
    for (int i = 0; i < 2; ++i) {
        auto connection = scripted.serve();
        connection->send(broken);
        runFor(scripted.loop, 20ms);
    }
    REQUIRE(runUntil(scripted.loop, [&] { return got.has_value(); }));
    CHECK_FALSE(got->ok());
    scripted.respond(scripted.read("a"), responseOf(200, R"({"key":"a","value":"dg==","revision":7})"));
    REQUIRE(scripted.got->ok());
    CHECK((*scripted.got)->revision.era == 0);
}
