#include "catkinwing/Standin/StoreState.h"

#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace catkinwing::standin;
using namespace std::chrono_literals;

static std::int64_t put(StoreState& state, const std::string& key, const std::string& value, std::int64_t lease = 0)
{
    TransactionRequest request;
    request.success.emplace_back(PutRequest { key, value, lease, false });
    auto result = state.run(request);
    REQUIRE(result.ok());
    return result->revision;
}

static std::vector<KeyValue> read(StoreState& state, const std::string& key, const std::string& end = "")
{
    TransactionRequest request;
    request.success.emplace_back(RangeRequest { { key, end }, 0, false, false });
    auto result = state.run(request);
    REQUIRE(result.ok());
    return std::get<RangeResult>(result->results.at(0)).values;
}

static TransactionRequest swapAt(const std::string& key, std::int64_t modRevision, const std::string& value)
{
    TransactionRequest request;
    Comparison comparison;
    comparison.key = key;
    comparison.target = CompareTarget::ModRevision;
    comparison.number = modRevision;
    request.comparisons.push_back(comparison);
    request.success.emplace_back(PutRequest { key, value, 0, false });
    request.failure.emplace_back(RangeRequest { { key, "" }, 0, false, false });
    return request;
}

TEST_CASE("revisions follow the writes of the whole store")
{
    StoreState state;
    CHECK(put(state, "a", "1") == 2);
    CHECK(put(state, "b", "1") == 3);
    CHECK(put(state, "a", "2") == 4);
    auto values = read(state, "a", "c");
    REQUIRE(values.size() == 2);
    CHECK(values[0].createRevision == 2);
    CHECK(values[0].modRevision == 4);
    CHECK(values[0].version == 2);
    CHECK(values[1].modRevision == 3);
    CHECK(state.revision() == 4);
}

TEST_CASE("a compare-and-swap commits once for each revision")
{
    StoreState state;
    auto first = state.run(swapAt("a", 0, "1"));
    REQUIRE(first.ok());
    CHECK(first->succeeded);
    auto second = state.run(swapAt("a", 0, "2"));
    REQUIRE(second.ok());
    CHECK_FALSE(second->succeeded);
    CHECK(std::get<RangeResult>(second->results.at(0)).values.at(0).value == "1");
    CHECK(second->revision == first->revision);
}

TEST_CASE("comparisons look at each number and at the value")
{
    StoreState state;
    put(state, "a", "x");
    put(state, "a", "y");
    struct Case {
        CompareTarget target;
        CompareResult result;
        std::int64_t number;
        std::string value;
        bool holds;
    };
    auto check = GENERATE(Case { CompareTarget::Version, CompareResult::Equal, 2, "", true },
        Case { CompareTarget::CreateRevision, CompareResult::Less, 3, "", true },
        Case { CompareTarget::ModRevision, CompareResult::Greater, 3, "", false },
        Case { CompareTarget::Value, CompareResult::Equal, 0, "y", true },
        Case { CompareTarget::Value, CompareResult::NotEqual, 0, "y", false },
        Case { CompareTarget::Lease, CompareResult::Equal, 0, "", true });
    TransactionRequest request;
    request.comparisons.push_back({ "a", check.target, check.result, check.number, check.value });
    auto result = state.run(request);
    REQUIRE(result.ok());
    CHECK(result->succeeded == check.holds);
}

TEST_CASE("a transaction that cannot be run whole writes nothing")
{
    StoreState state;
    TransactionRequest request;
    request.success.emplace_back(PutRequest { "a", "1", 0, false });
    SECTION("a key twice") { request.success.emplace_back(PutRequest { "a", "2", 0, false }); }
    SECTION("a key written and deleted") { request.success.emplace_back(DeleteRequest { { "a", "b" }, false }); }
    SECTION("an unknown lease") { request.success.emplace_back(PutRequest { "b", "2", 99, false }); }
    SECTION("a value too large") { request.success.emplace_back(PutRequest { "b", std::string((1u << 20) + 1, 'x'), 0, false }); }
    SECTION("no key") { request.success.emplace_back(PutRequest { "", "2", 0, false }); }
    CHECK_FALSE(state.run(request).ok());
    CHECK(state.revision() == 1);
    CHECK(read(state, "a").empty());
}

TEST_CASE("a value of just the limit is taken")
{
    StoreState state;
    CHECK(put(state, "a", std::string(1u << 20, 'x')) == 2);
}

TEST_CASE("a lapsed lease takes its keys along, a renewed one does not")
{
    StoreState state;
    TimePoint start {};
    auto lease = state.grantLease(0, 10s, start);
    REQUIRE(lease.ok());
    put(state, "held", "1", *lease);
    put(state, "free", "1", *lease);
    put(state, "free", "2");
    state.expireLeases(start + 9s);
    REQUIRE(state.keepAlive(*lease, start + 9s).ok());
    state.expireLeases(start + 18s);
    CHECK(read(state, "held").size() == 1);
    CHECK(state.nextExpiry() == start + 19s);
    state.expireLeases(start + 19s);
    CHECK(read(state, "held").empty());
    CHECK(read(state, "free").size() == 1);
    CHECK(absl::IsNotFound(state.keepAlive(*lease, start + 19s).status()));
}

TEST_CASE("a lease that lapsed cannot be renewed before its keys are gone")
{
    StoreState state;
    auto lease = state.grantLease(7, 5s, TimePoint {});
    REQUIRE(lease.ok());
    CHECK(absl::IsNotFound(state.keepAlive(7, TimePoint {} + 5s).status()));
    CHECK(absl::IsFailedPrecondition(state.grantLease(7, 5s, TimePoint {}).status()));
}

struct Seen {
    std::vector<std::string> keys;
    std::vector<std::int64_t> revisions;

    WatchSink sink()
    {
        return [this](std::int64_t revision, const std::vector<KeyEvent>& events) {
            revisions.push_back(revision);
            for (const KeyEvent& event : events)
                keys.push_back((event.isDeletion ? "-" : "+") + event.current.key);
        };
    }
};

TEST_CASE("a watch begins with the past and goes on with the present")
{
    StoreState state;
    put(state, "a/1", "x");
    std::int64_t second = put(state, "a/2", "x");
    put(state, "b/1", "x");
    Seen seen;
    auto watch = state.watch({ "a/", "a0" }, second, seen.sink());
    REQUIRE(watch.ok());
    CHECK(seen.keys == std::vector<std::string> { "+a/2" });
    TransactionRequest deletion;
    deletion.success.emplace_back(DeleteRequest { { "a/", "a0" }, false });
    REQUIRE(state.run(deletion).ok());
    CHECK(seen.keys == std::vector<std::string> { "+a/2", "-a/1", "-a/2" });
    CHECK(seen.revisions == std::vector<std::int64_t> { 3, 5 });
    state.cancelWatch(*watch);
    put(state, "a/3", "x");
    CHECK(seen.keys.size() == 3);
}

TEST_CASE("a watch from a later revision waits for it")
{
    StoreState state;
    Seen seen;
    REQUIRE(state.watch({ "a", "" }, 3, seen.sink()).ok());
    put(state, "a", "1");
    CHECK(seen.keys.empty());
    put(state, "a", "2");
    CHECK(seen.revisions == std::vector<std::int64_t> { 3 });
}

TEST_CASE("a watch of compacted revisions is refused")
{
    StoreState state(StoreLimits { 1u << 20, 3 });
    for (int i = 0; i < 5; ++i)
        put(state, "a", "x");
    CHECK(state.compactedRevision() == 4);
    Seen seen;
    CHECK(absl::IsOutOfRange(state.watch({ "a", "" }, 3, seen.sink()).status()));
    REQUIRE(state.watch({ "a", "" }, 4, seen.sink()).ok());
    CHECK(seen.revisions == std::vector<std::int64_t> { 4, 5, 6 });
    REQUIRE(state.compact(6).ok());
    CHECK(absl::IsOutOfRange(state.compact(6)));
    CHECK(absl::IsOutOfRange(state.watch({ "a", "" }, 5, seen.sink()).status()));
}
