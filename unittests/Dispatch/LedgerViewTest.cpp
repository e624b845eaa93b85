#include "catkinwing/Dispatch/LedgerView.h"

#include "LedgerFaults.h"
#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

static ClaimRecord claimOf(std::uint64_t number)
{
    return { { number, number }, number, { "entry-" + std::to_string(number % 3), 1, number } };
}

static LedgerLayout layoutOf(unsigned slots)
{
    LedgerLayout layout;
    layout.shards = 1;
    layout.slots = slots;
    layout.retention = 1h;
    layout.retentionMargin = 1min;
    return layout;
}

static StoredValue stored(const LedgerLayout& layout, const LedgerGeneration& generation, unsigned slot)
{
    return { slotKey(layout, 0, slot), encodeGeneration(generation, layout.slots), 5 };
}

static LedgerView emptyView(const LedgerLayout& layout, TimePoint now)
{
    return *LedgerView::fromListing(layout, 0, {}, now);
}

TEST_CASE("a generation is read back as it was written, within the size estimate")
{
    LedgerGeneration generation;
    generation.number = 9;
    generation.isSealed = true;
    generation.age = 5s;
    generation.openedAtAge = 2s;
    for (std::uint64_t number = 0; number < 100; ++number)
        generation.add(claimOf(number * 0x9e3779b97f4a7c15u));
    std::string bytes = encodeGeneration(generation, 8);
    CHECK(bytes.size() <= maxEncodedBytes(generation));
    auto decoded = decodeGeneration(bytes, 8);
    REQUIRE(decoded.ok());
    CHECK(decoded->number == 9);
    CHECK(decoded->isSealed);
    CHECK(decoded->age == 5s);
    CHECK(decoded->openedAtAge == 2s);
    for (std::size_t index = 0; index < generation.claims.size(); ++index)
        CHECK(decoded->recordAt(index).id == generation.recordAt(index).id);
    CHECK(decodeGeneration(bytes, 4).status().code() == absl::StatusCode::kFailedPrecondition);
    for (std::size_t size = 0; size < bytes.size(); ++size)
        CHECK_FALSE(decodeGeneration(absl::string_view(bytes).substr(0, size), 8).ok());
}

TEST_CASE("a deeply nested document is no generation")
{
    constexpr char arrayOfOne = '\x81';
    std::string bytes(LedgerLayout().maxDocumentBytes, arrayOfOne);
    CHECK(absl::IsDataLoss(decodeGeneration(bytes, 8).status()));
}

TEST_CASE("a shard that wasn't written by the rules is refused")
{
    LedgerLayout layout = layoutOf(3);
    LedgerGeneration open;
    LedgerGeneration next;
    next.number = 1;
    TimePoint now {};
    CHECK(LedgerView::fromListing(layout, 0, { { stored(layout, open, 0) }, 5 }, now).ok());
    CHECK_FALSE(LedgerView::fromListing(layout, 0, { { stored(layout, open, 1) }, 5 }, now).ok());
    CHECK_FALSE(LedgerView::fromListing(layout, 0, { { stored(layout, next, 1) }, 5 }, now).ok());
    CHECK_FALSE(LedgerView::fromListing(layout, 0, { { stored(layout, open, 0), stored(layout, next, 1) }, 5 }, now).ok());
    open.isSealed = true;
    CHECK(LedgerView::fromListing(layout, 0, { { stored(layout, open, 0), stored(layout, next, 1) }, 5 }, now).ok());
    CHECK_FALSE(LedgerView::fromListing(layout, 0, { { { slotKey(layout, 0, 0), "text", 5 } }, 5 }, now).ok());
}

// One claim a minute for ten hours, each by a swap of its own.
TEST_CASE("claims are kept for the retention and dropped within a generation after it")
{
    LedgerLayout layout = layoutOf(4);
    TimePoint now {};
    LedgerView view = emptyView(layout, now);
    std::uint64_t oldest = 0;
    for (std::uint64_t minute = 0; minute < 600; ++minute, now += 1min) {
        auto swap = view.plan({ claimOf(minute) }, now, {});
        REQUIRE(swap);
        REQUIRE(swap->addsClaims);
        view.commit(*std::move(swap), StoreRevision(static_cast<std::int64_t>(minute) + 1), now);
        while (!view.find(claimOf(oldest).key))
            ++oldest;
        std::uint64_t kept = minute - oldest;
        CHECK((minute < 61 || kept >= 61));
        CHECK(kept <= 61 + 4 * 21);
        for (std::uint64_t number = oldest; number <= minute; ++number)
            REQUIRE(view.find(claimOf(number).key));
    }
    CHECK(oldest > 0);
}

TEST_CASE("age counts only the time that a writer saw pass")
{
    LedgerLayout layout = layoutOf(2);
    TimePoint now {};
    LedgerView view = emptyView(layout, now);
    auto swap = view.plan({ claimOf(1) }, now, {});
    std::string written = encodeGeneration(swap->generation, layout.slots);
    // Another entry reads it hours later: that time was seen by no writer.
    now += 5h;
    auto later = LedgerView::fromListing(layout, 0, { { { slotKey(layout, 0, 0), written, 1 } }, 1 }, now);
    REQUIRE(later.ok());
    CHECK(later->plan({ claimOf(2) }, now, {})->generation.age == 0ms);
    CHECK(later->plan({ claimOf(2) }, now + 3s, {})->generation.age == 3s);
}

TEST_CASE("a full shard refuses claims until its oldest generation may be dropped")
{
    LedgerLayout layout = layoutOf(2);
    layout.targetDocumentBytes = 1'000;
    layout.maxDocumentBytes = 2'000;
    TimePoint now {};
    LedgerView view = emptyView(layout, now);
    StoreRevision revision = 0;
    std::uint64_t number = 0;
    auto fill = [&] {
        while (auto swap = view.plan({ claimOf(number) }, now, {})) {
            number += swap->addsClaims ? 1 : 0;
            REQUIRE(encodeGeneration(swap->generation, layout.slots).size() <= layout.maxDocumentBytes);
            revision = revision.next();
            view.commit(*std::move(swap), revision, now);
        }
    };
    fill();
    CHECK(number > 20);
    std::uint64_t full = number;
    CHECK(view.timeUntilRoom(now) == 61min);
    now += view.timeUntilRoom(now) - 1ms;
    fill();
    CHECK(number == full);
    now += 1ms;
    fill();
    CHECK(number > full);
    CHECK_FALSE(view.find(claimOf(0).key));
}
