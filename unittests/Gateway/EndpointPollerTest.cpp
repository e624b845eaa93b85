#include "catkinwing/Gateway/EndpointPoller.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

TEST_CASE("a load page is read as the engine gives it")
{
    auto status = parseLoadPage(R"({"incarnation":"i-0a","state":"leaving","running":3,"waiting":2,"queued_prefill_tokens":512.5,"sampled_age_ms":40})");
    REQUIRE(status.ok());
    CHECK(status->isLeaving);
    CHECK(status->running == 3);
    CHECK(status->waiting == 2);
    CHECK(status->queuedPrefillTokens == 512.5);
    CHECK(status->age == 40ms);
}

TEST_CASE("a load page with a figure that can't be is refused")
{
    for (const char* field : { "\"running\":-1", "\"running\":4294967296", "\"running\":1e300", "\"waiting\":-1", "\"waiting\":1e300",
             "\"queued_prefill_tokens\":-1", "\"queued_prefill_tokens\":1e300", "\"sampled_age_ms\":-1", "\"sampled_age_ms\":9223372036854775807", "\"sampled_age_ms\":1e300" }) {
        INFO(field);
        // The last of two members of the same name counts.
        auto status = parseLoadPage(absl::StrCat(R"({"running":3,"waiting":2,)", field, "}"));
        CHECK(absl::IsInvalidArgument(status.status()));
    }
}

TEST_CASE("cache events that are nested deeply are refused")
{
    constexpr std::size_t depth = 120'000;
    std::string nested = std::string(depth, '[') + std::string(depth, ']');
    auto page = parseCacheEvents(absl::StrCat(R"({"next":2,"events":[{"seq":1,"kind":"stored","hashes":)", nested, "}]}"), { "fitting" });
    CHECK(absl::IsInvalidArgument(page.status()));
}

TEST_CASE("cache events give the number of the last")
{
    auto page = parseCacheEvents(R"({"incarnation":"i-0a","next":10,"events":[{"seq":8,"kind":"stored","hashes":["1f","2"]},{"seq":9,"kind":"cleared"}]})", { "fitting" });
    REQUIRE(page.ok());
    CHECK(page->last == 9);
    REQUIRE(page->events.size() == 2);
    CHECK(page->events[0].hashes.size() == 2);
    CHECK(page->events[1].hashes.empty());
    CHECK_FALSE(parseCacheEvents(R"({"events":[]})", { "fitting" }).ok());
}
