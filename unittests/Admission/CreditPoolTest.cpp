#include "catkinwing/Admission/CreditPool.h"

#include <catch2/catch.hpp>
#include <cmath>

using namespace catkinwing;
using namespace std::chrono_literals;

static const SocketAddress depositor { "10.0.0.1", 1 };
static constexpr std::uint64_t workspace = 7;
static constexpr TimePoint start { 100s };

static WorkspaceLimit limit(double perSecond, double burst)
{
    return { LimitUnit::Tokens, perSecond, burst, 200 };
}

static CreditAsk ask(double needed, double wanted = 0)
{
    return { workspace, needed, std::max(needed, wanted), 1'000ms };
}

TEST_CASE("credit is taken in the order of its expiry, and expires unused")
{
    AgedCredit credit;
    credit.add({ 10, start + 2s });
    credit.add({ 5, start + 1s });
    CHECK(credit.available(start) == Approx(15));
    CreditPortion taken = credit.take(7, start);
    CHECK(taken.amount == Approx(7));
    CHECK(taken.expiresAt == start + 1s);
    CHECK(credit.available(start + 1s) == Approx(8));
    CHECK(credit.take(100, start + 1s).amount == Approx(8));
    CHECK(credit.available(start + 1s) == 0);
    credit.add({ 3, start + 2s });
    CHECK(credit.available(start + 2s) == 0);
}

TEST_CASE("credit that lasts long enough is taken without the rest, and only as far as it is of similar age")
{
    AgedCredit credit;
    for (int i = 1; i <= 5; ++i)
        credit.add({ 10, start + i * 200ms });
    CHECK(credit.lastingBeyond(start + 300ms) == Approx(40));
    CreditPortion taken = credit.takeLastingBeyond(start + 300ms, 100, 250ms);
    CHECK(taken.amount == Approx(20));
    CHECK(taken.expiresAt == start + 400ms);
    CHECK(credit.takeLastingBeyond(start + 300ms, 5).expiresAt == start + 800ms);
    CHECK(credit.available(start) == Approx(25));
    CHECK(credit.takeLastingBeyond(start + 1s, 5).amount == 0);
}

TEST_CASE("credit is kept for as long as the tolerance of the limit allows")
{
    // (0.1 x 100 x 8 + 1.1 x 100 + 60) / 100 = 2.5 s, less the half second of stalled deposits.
    CHECK(creditLifetime(limit(100, 100), { 8s, 0.1, 60 }) == 2'000ms);
    // Never longer than the window.
    CHECK(creditLifetime(limit(1, 1), { 8s, 0.1, 1'000 }) == 7'500ms);
    CHECK(creditLifetime(limit(100, 0), { 8s, 0, 0 }) == 300ms);
}

TEST_CASE("a pool grants what was deposited, and refuses what isn't there")
{
    Random random(1);
    CreditPool pool({ 8s, 0.1, 0 });
    WorkspaceLimit hundred = limit(100, 100);
    pool.deposit(depositor, { 500ms, 1 }, start);
    TimePoint now = start + 100ms;
    CHECK(pool.available(workspace, hundred, now) == Approx(50));
    CreditPortion granted = pool.grant(ask(30), hundred, CreditAsker::Entry, now);
    CHECK(granted.amount == Approx(30));
    CHECK(granted.expiresAt <= now + creditLifetime(hundred, { 8s, 0.1, 0 }));
    CHECK(pool.grant(ask(30), hundred, CreditAsker::Entry, now).amount == 0);
    std::chrono::milliseconds retryAfter = pool.bookRetry(ask(30), hundred, now, random);
    CHECK(retryAfter > 0ms);
    CHECK(retryAfter <= 1'000ms);
    CHECK(pool.grant(ask(20), hundred, CreditAsker::Entry, now).amount == Approx(20));
}

TEST_CASE("a request gets a part of what it asks for in advance")
{
    Random random(1);
    CreditPool pool({ 8s, 0.1, 0 });
    WorkspaceLimit hundred = limit(100, 100);
    pool.deposit(depositor, { 500ms, 1 }, start);
    // 10 are needed; of the 40 left a quarter at most is given in advance.
    CHECK(pool.grant(ask(10, 100), hundred, CreditAsker::Entry, start + 100ms).amount == Approx(20));
    CHECK(pool.grant(ask(10, 12), hundred, CreditAsker::Entry, start + 100ms).amount == Approx(12));
}

// Guards against fractions that the receiver of a grant rounds down.
TEST_CASE("a pool grants whole units and keeps the fraction")
{
    CreditPool pool({ 8s, 0.1, 0 });
    WorkspaceLimit forty = limit(40, 40);
    double granted = 0;
    for (int i = 1; i <= 20; ++i) {
        pool.deposit(depositor, { 70ms, 1 }, start + i * 70ms);
        CreditPortion portion = pool.grant({ workspace, 0, 10, 0ms }, forty, CreditAsker::Pool, start + i * 70ms + 60ms);
        CHECK(portion.amount == std::floor(portion.amount));
        granted += portion.amount;
    }
    // All that was deposited but the reserve of a quarter and a fraction.
    CHECK(granted >= 0.75 * 40 * 1.4 - 1);
    CHECK(granted <= 40 * 1.4);
}

TEST_CASE("a deposit counts for no more time than has passed since the one before")
{
    CreditPool pool({ 8s, 0.1, 0 });
    WorkspaceLimit hundred = limit(100, 100);
    pool.deposit(depositor, { 200ms, 2 }, start);
    // Deposits that were held up and are received at once count no more than half a second.
    for (int i = 0; i < 10; ++i)
        pool.deposit(depositor, { 200ms, 2 }, start);
    CHECK(pool.available(workspace, hundred, start + 100ms) == Approx(0.5 / 2 * 100));
    // A claim of a time without bound counts as half a second.
    pool.deposit({ "10.0.0.2", 1 }, { std::chrono::hours(1), 2 }, start + 200ms);
    CHECK(pool.available(workspace, hundred, start + 300ms) == Approx((0.5 + 0.5) / 2 * 100));
    pool.deposit(depositor, { 200ms, 0 }, start + 5s);
    CHECK(pool.available(workspace, hundred, start + 6s) == 0);
}

TEST_CASE("another region gets what this region isn't about to use")
{
    Random random(1);
    CreditPool pool({ 8s, 0.1, 0 });
    WorkspaceLimit thousand = limit(1'000, 1'000);
    pool.deposit(depositor, { 500ms, 1 }, start);
    TimePoint now = start + 100ms;
    // A quarter of the 500 that were deposited is kept in any case.
    CHECK(pool.grant({ workspace, 0, 300, 0ms }, thousand, CreditAsker::Pool, now).amount == Approx(300));
    CHECK(pool.grant({ workspace, 0, 300, 0ms }, thousand, CreditAsker::Pool, now).amount == Approx(75));
    pool.add(workspace, { 375, start + 1s }, now);
    CHECK(pool.grant(ask(100), thousand, CreditAsker::Entry, now).amount == Approx(100));
    CHECK(pool.grant(ask(300), thousand, CreditAsker::Entry, now).amount == Approx(300));
    pool.add(workspace, { 300, start + 1s }, now);
    // 400 are left; half a second of the use of 400 a second is kept.
    CHECK(pool.grant({ workspace, 0, 1'000, 0ms }, thousand, CreditAsker::Pool, now).amount == Approx(200));
}

TEST_CASE("a pool asks other regions for what its region lacks")
{
    Random random(1);
    CreditPool pool({ 8s, 0.1, 0 });
    Workspace known;
    known.name = "w";
    known.limit = limit(1'000, 1'000);
    WorkspaceTable table({ known });
    std::uint64_t hash = workspaceHash("w");
    CHECK(pool.shortages(table, start).empty());
    CHECK(pool.grant({ hash, 300, 300, 1'000ms }, known.limit, CreditAsker::Entry, start).amount == 0);
    std::vector<CreditAsk> asks = pool.shortages(table, start);
    REQUIRE(asks.size() == 1);
    CHECK(asks[0].wanted >= 300);
    pool.add(hash, { asks[0].wanted, start + 1s }, start);
    CHECK(pool.shortages(table, start).empty());
    CHECK(pool.grant({ hash, 300, 300, 1'000ms }, known.limit, CreditAsker::Entry, start).amount == Approx(300));
    // A workspace that nobody asks for any more lacks nothing.
    CHECK(pool.shortages(table, start + 10s).empty());
}

TEST_CASE("deposits that arrive early or late by turns count whole")
{
    CreditPool pool({ 8s, 0.1, 0 });
    WorkspaceLimit hundred = limit(100, 100);
    for (int i = 0; i < 5; ++i)
        pool.deposit(depositor, { 200ms, 1 }, start + i * 200ms + (i % 2 == 0 ? 0ms : 60ms));
    CHECK(pool.available(workspace, hundred, start + 950ms) == Approx(100));
}
