#include "catkinwing/Gateway/ConfigWriter.h"

#include "Coordination/FakeStore.h"
#include "catkinwing/Support/ManualScheduler.h"
#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

namespace {

struct WriterFixture {
    WriteResult apply(std::int64_t expected, const std::string& writeId, const std::string& text)
    {
        std::optional<WriteResult> result;
        writer.apply({ { DocumentKind::Global, "" }, expected, writeId, text }, [&](WriteResult done) { result = std::move(done); });
        scheduler.advance(30s);
        REQUIRE(result);
        return *result;
    }
    std::string inForce() const
    {
        auto entry = keeper.tree().find({ DocumentKind::Global, "" });
        return entry && entry->text ? *entry->text : "";
    }

    ManualScheduler scheduler;
    Random random { 3 };
    FakeStore store { scheduler };
    ConfigKeeper keeper { store, scheduler, random, {} };
    ConfigWriter writer { store, scheduler, keeper };
};

const char* const first = R"({"retryBudgetFraction":0.1})";
const char* const second = R"({"retryBudgetFraction":0.2})";

} // namespace

TEST_CASE("of two operators that read the same revision one is told of the change")
{
    WriterFixture fixture;
    WriteResult one = fixture.apply(0, "a", first);
    WriteResult other = fixture.apply(0, "b", second);
    CHECK(one.outcome == WriteOutcome::Accepted);
    CHECK(other.outcome == WriteOutcome::Changed);
    CHECK(other.current == std::string(first));
    CHECK(fixture.apply(one.revision, "c", second).outcome == WriteOutcome::Accepted);
    CHECK(fixture.inForce() == second);
}

TEST_CASE("a write whose answer is lost is accepted once, also when sent again")
{
    for (StoreFault fault : { StoreFault::LostAnswer, StoreFault::LostRequest, StoreFault::AppliedLate }) {
        WriterFixture fixture;
        fixture.store.failNext(StoreCallGroup::Write, fault);
        WriteResult result = fixture.apply(0, "a", first);
        CHECK(result.outcome == WriteOutcome::Accepted);
        CHECK(fixture.apply(0, "a", first).outcome == WriteOutcome::Accepted);
        CHECK(fixture.inForce() == first);
    }
}

TEST_CASE("a write is not accepted while the store is away")
{
    WriterFixture fixture;
    fixture.store.setDown(true);
    CHECK(fixture.apply(0, "a", first).outcome == WriteOutcome::NotWritten);
    CHECK(fixture.inForce().empty());
}

TEST_CASE("an invalid document is refused with its faults and never written")
{
    WriterFixture fixture;
    WriteResult result = fixture.apply(0, "a", R"({"retryBudgetFraction":7,"colour":1})");
    CHECK(result.outcome == WriteOutcome::Invalid);
    CHECK(result.faults.size() == 2);
    CHECK(fixture.inForce().empty());
}

TEST_CASE("a stored value that an operator wrote by hand is read as a document")
{
    CHECK(decodeStoredDocument(R"({"share":1})").text == R"({"share":1})");
    StoredDocument document { "id", R"({"share":2})" };
    CHECK(decodeStoredDocument(encodeStoredDocument(document)).writeId == "id");
    CHECK(decodeStoredDocument(encodeStoredDocument(document)).text == document.text);
}
