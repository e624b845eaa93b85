#include "platform/StoreMessages.h"

#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace catkinwing::platform;
using namespace std::chrono_literals;

TEST_CASE("keys are percent-encoded in request targets")
{
    CHECK(keyTarget("a/b c&d=é") == "/kv-key?key=a/b%20c%26d%3d%c3%a9");
    CHECK(rangeTarget("p/", "") == "/kv-range?prefix=p/");
    CHECK(rangeTarget("p/", "p/9") == "/kv-range?prefix=p/&after=p/9");
    CHECK(watchTarget("", 411, 2500ms) == "/kv-watch?prefix=&after=411&wait_ms=2500");
}

TEST_CASE("the bodies of swaps and deletions contain the expected revision")
{
    CHECK(swapBody("k", 0, "node-1", 7) == R"({"deletes":[],"expect":[{"key":"k","revision":0}],"puts":[{"key":"k","lease":7,"value":"bm9kZS0x"}]})");
    CHECK(deleteBody("k", 3) == R"({"deletes":["k"],"expect":[{"key":"k","revision":3}],"puts":[]})");
}

TEST_CASE("responses of the store are parsed into typed values")
{
    absl::StatusOr<StoredValue> item = readItem(R"({"key":"k","value":"bm9kZS0x","revision":412,"created_rev":400,"lease":1,"current_rev":530})");
    REQUIRE(item.ok());
    CHECK(item->value == "node-1");
    CHECK(item->revision == 412);
    absl::StatusOr<RangePage> page = readRangePage(R"({"items":[{"key":"k","value":"","revision":4}],"truncated":true,"current_rev":9})");
    REQUIRE(page.ok());
    CHECK(page->isTruncated);
    CHECK(page->revision == 9);
    absl::StatusOr<WatchPage> watchPage = readWatchPage(R"({"events":[{"key":"a","value":"","revision":5},{"key":"b","revision":6,"deleted":true}],"current_rev":6})");
    REQUIRE(watchPage.ok());
    REQUIRE(watchPage->events.size() == 2);
    CHECK_FALSE(watchPage->events[0].isDeletion);
    CHECK(watchPage->events[1].isDeletion);
    CHECK(watchPage->events[1].current.key == "b");
    CHECK(readLease(R"({"ttl_ms":3000})")->timeToLive == 3s);
}

TEST_CASE("a response that does not follow the protocol is an error, not an empty result")
{
    for (const char* body : { "", "null", "[]", "{}", "{\"items\":5}", "{\"items\":[5],\"current_rev\":1}", "{\"events\":[],\"current_rev\":\"1\"}", R"({"items":[{"key":"k","value":"%","revision":1}],"current_rev":1})", R"({"events":[{"deleted":true}],"current_rev":1})", R"({"items":[],"truncated":"no","revision":1e300,"ttl_ms":-1e300})", R"({"events":[{"deleted":"x"}],"current_rev":1})" }) {
        CAPTURE(body);
        CHECK_FALSE(readItem(body).ok());
        CHECK_FALSE(readRangePage(body).ok());
        CHECK_FALSE(readWatchPage(body).ok());
        CHECK_FALSE(readSwapRevision(body).ok());
        CHECK_FALSE(readLease(body).ok());
    }
}

// Guards against one key of another writer that keeps an entry from reading all others.
TEST_CASE("a key with half of a surrogate pair doesn't make the other items unreadable")
{
    const std::string keys[][2] = {
        { R"(a\ud800)", "a\xef\xbf\xbd" },
        { R"(\udfffz)", "\xef\xbf\xbdz" },
        { R"(\uD83D\u005a)", "\xef\xbf\xbdZ" },
        { R"(\ud83d\ud83d\udc31)", "\xef\xbf\xbd\xf0\x9f\x90\xb1" },
        { R"(\\ud800\udc00)", "\\ud800\xef\xbf\xbd" },
    };
    for (const auto& [escaped, key] : keys) {
        CAPTURE(escaped);
        std::string item = R"({"value":"dg==","revision":4,"key":")" + escaped + "\"}";
        std::string items = "[" + item + R"(,{"key":"\ud83d\udc31\"","value":"dw==","revision":5}])";
        absl::StatusOr<RangePage> page = readRangePage(R"({"current_rev":9,"items":)" + items + "}");
        REQUIRE(page.ok());
        REQUIRE(page->values.size() == 2);
        CHECK(page->values[0].key == key);
        CHECK(page->values[1].key == "\xf0\x9f\x90\xb1\"");
        absl::StatusOr<WatchPage> watchPage = readWatchPage(R"({"current_rev":9,"events":)" + items + "}");
        REQUIRE(watchPage.ok());
        REQUIRE(watchPage->events.size() == 2);
        CHECK(watchPage->events[0].current.key == key);
        CHECK(readItem(item).ok());
    }
    for (const char* body : { R"({"items":[],"current_rev":1,"x":"\ud8"})", R"({"items":[],"current_rev":1,"x":"\ud800)", R"({"items":[],"current_rev":1,"x":"\)" })
        CHECK_FALSE(readRangePage(body).ok());
}
