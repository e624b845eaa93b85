#include "catkinwing/Admission/SlotDivision.h"
#include "catkinwing/Admission/SlotReservation.h"
#include "catkinwing/Support/Random.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <numeric>

using namespace catkinwing;
using namespace std::chrono_literals;

static std::size_t sumOf(const std::vector<EntryCredit>& credits)
{
    return std::accumulate(credits.begin(), credits.end(), std::size_t { 0 }, [](std::size_t sum, const EntryCredit& credit) { return sum + credit.slots; });
}

static std::size_t creditOf(const std::vector<EntryCredit>& credits, const std::string& entry)
{
    for (const EntryCredit& credit : credits) {
        if (credit.entry == entry)
            return credit.slots;
    }
    return 0;
}

TEST_CASE("slots above the floor are divided by demand")
{
    std::vector<EntryCredit> credits = divideSlots(32, { { "a", 100 }, { "b", 0 }, { "c", 5 } }, 2);
    CHECK(creditOf(credits, "a") == 25);
    CHECK(creditOf(credits, "b") == 2);
    CHECK(creditOf(credits, "c") == 5);
    // Slots without demand are divided evenly.
    credits = divideSlots(30, { { "a", 2 }, { "b", 0 }, { "c", 1 } }, 1);
    CHECK(creditOf(credits, "a") == 11);
    CHECK(creditOf(credits, "b") == 10);
    CHECK(creditOf(credits, "c") == 9);
    CHECK(divideSlots(8, {}, 1).empty());
}

TEST_CASE("credits sum to the total slots and don't depend on the order of the demands")
{
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        INFO("seed " << seed);
        Random random(seed);
        std::vector<EntryDemand> demands;
        for (std::size_t i = 0, count = 1 + random.below(12); i < count; ++i)
            demands.push_back({ "e" + std::to_string(i), random.below(60) });
        std::size_t total = random.below(100);
        std::size_t floor = random.below(5);
        std::vector<EntryCredit> credits = divideSlots(total, demands, floor);
        CHECK(sumOf(credits) == total);
        if (total >= floor * demands.size()) {
            for (const EntryCredit& credit : credits)
                CHECK(credit.slots >= floor);
        }
        std::reverse(demands.begin(), demands.end());
        std::vector<EntryCredit> again = divideSlots(total, demands, floor);
        for (const EntryCredit& credit : credits)
            CHECK(creditOf(again, credit.entry) == credit.slots);
    }
}

/// Simulates entries that receive a change of demand at different times and delay the
/// growth of their credits.
struct StaleViews {
    std::vector<EntryDemand> before;
    std::vector<EntryDemand> after;
    std::map<std::string, TimePoint> updatedAt;
    std::map<std::string, SlotCredit> credits;

    std::size_t usedSlots(std::size_t total, TimePoint now)
    {
        std::size_t sum = 0;
        for (const auto& [entry, from] : updatedAt)
            sum += credits[entry].update(creditOf(divideSlots(total, now < from ? before : after), entry), now);
        return sum;
    }
};

TEST_CASE("the used slots never exceed the total while entries have different views of the demand")
{
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        INFO("seed " << seed);
        Random random(seed);
        StaleViews views;
        TimePoint start { 1h };
        for (const char* entry : { "a", "b", "c", "d" }) {
            views.before.push_back({ entry, random.below(40) });
            views.after.push_back({ entry, random.below(40) });
            views.updatedAt[entry] = start + 10s + std::chrono::milliseconds(random.below(2000));
        }
        for (Duration at = 0s; at < 20s; at += 100ms)
            REQUIRE(views.usedSlots(32, start + at) <= 32);
        // After the grow delay all slots are in use again.
        CHECK(views.usedSlots(32, start + 20s) == 32);
    }
}

TEST_CASE("the slots of a dead entry are given to the others after the grow delay")
{
    StaleViews views;
    TimePoint start { 1h };
    views.before = { { "a", 40 }, { "b", 40 }, { "dead", 40 } };
    views.after = { { "a", 40 }, { "b", 40 } };
    views.updatedAt = { { "a", start + 3s }, { "b", start + 4s } };
    CHECK(views.usedSlots(30, start) == 20);
    CHECK(views.usedSlots(30, start + 4s) == 20);
    // Requests of the dead entry may still run, so its slots are not given out at once.
    CHECK(views.usedSlots(30, start + 4900ms) == 20);
    CHECK(views.usedSlots(30, start + 6s) == 30);
}

TEST_CASE("long work can't use the reserved slots, short work can use all slots")
{
    CHECK(mayStart(WorkKind::Long, { 10, 0, 6 }, 3));
    CHECK_FALSE(mayStart(WorkKind::Long, { 10, 0, 7 }, 3));
    CHECK(mayStart(WorkKind::Short, { 10, 0, 7 }, 3));
    CHECK(mayStart(WorkKind::Short, { 10, 9, 0 }, 3));
    CHECK_FALSE(mayStart(WorkKind::Short, { 10, 3, 7 }, 3));
    // A pool of one slot reserves none.
    CHECK(reservedSlots(1, 5, {}) == 0);
    CHECK(reservedSlots(2, 0, {}) == 1);
}

TEST_CASE("the reserved slots follow the recent demand of short work")
{
    SlotReservation reservation;
    TimePoint now { 1h };
    SlotUse use { 20, 0, 15 };
    CHECK(reservation.mayStart(WorkKind::Long, use, now));
    reservation.recordShortWorkDemand(2, 3, now);
    CHECK_FALSE(reservation.mayStart(WorkKind::Long, use, now));
    CHECK(reservation.mayStart(WorkKind::Long, { 20, 0, 13 }, now));
    // After some minutes without short work, only the min of 2 in 20 slots is reserved.
    now += 5min;
    CHECK(reservation.mayStart(WorkKind::Long, { 20, 0, 17 }, now));
    CHECK_FALSE(reservation.mayStart(WorkKind::Long, { 20, 0, 18 }, now));
}
