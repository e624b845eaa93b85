// Guards against entries that take the revisions of the store for a clock that only rises. The
// store may come back from a copy of itself that is some seconds old, and gives revisions out again.
#include "StoreZone.h"

#include "catkinwing/Support/Random.h"
#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

namespace {

/// Time from a change, or from the return of the store, to its effect at each entry.
constexpr Duration effectBound = 3s;
/// Time after which the operator and the endpoints have written again what was lost.
constexpr Duration rewriteTime = 1s;
constexpr Duration checkInterval = 50ms;

/// Entries of one zone whose store can come back from a copy. The first watches the store, the
/// others follow it.
class RestoredZone {
public:
    explicit RestoredZone(std::size_t entries = 4)
        : zone(entries)
    {
        zone.registerEndpoint("stays");
        zone.writeConfiguration(1);
        advance(6s);
    }

    void takeCopy() { m_copy = zone.store().takeCopy(); }

    /// The store is away for \p span and comes back from the copy.
    void restore(Duration span = 500ms)
    {
        zone.store().setDown(true);
        advance(span);
        zone.store().restore(*m_copy);
        zone.store().setDown(false);
    }

    /// Advances the time and checks that no process goes back to an earlier version.
    void advance(Duration span)
    {
        std::vector<std::int64_t> versions(zone.size());
        for (Duration passed {}; passed < span; passed += checkInterval) {
            for (std::size_t entry = 0; entry < zone.size(); ++entry)
                versions[entry] = zone.version(entry);
            zone.advance(checkInterval);
            for (std::size_t entry = 0; entry < zone.size(); ++entry)
                REQUIRE(zone.version(entry) >= versions[entry]);
        }
    }

    template <typename Condition>
    bool isAtAll(Condition condition) const
    {
        for (std::size_t entry = 0; entry < zone.size(); ++entry) {
            if (!condition(entry))
                return false;
        }
        return true;
    }

    template <typename Condition>
    bool isAtNone(Condition condition) const
    {
        return isAtAll([&](std::size_t entry) { return !condition(entry); });
    }

    auto mayUse(const std::string& endpoint) const
    {
        return [this, endpoint](std::size_t entry) { return zone.mayUse(entry, endpoint); };
    }
    auto isZoneOpen() const
    {
        return [this](std::size_t entry) { return zone.isZoneOpen(entry); };
    }
    auto hasVersion(std::int64_t version) const
    {
        return [this, version](std::size_t entry) { return zone.version(entry) == version; };
    }

    /// Advances the time and returns whether the condition held throughout.
    template <typename Condition>
    bool holdsFor(Duration span, Condition condition)
    {
        for (Duration passed {}; passed < span; passed += checkInterval) {
            if (!condition())
                return false;
            advance(checkInterval);
        }
        return condition();
    }

    StoreZone zone;

private:
    std::shared_ptr<const FakeStore::Copy> m_copy;
};

} // namespace

// Guards against configurations at lower revisions than before that are dropped as old ones.
TEST_CASE("a configuration written after the store returned from a copy is in force in time")
{
    for (int lostWrites : { 0, 5, 80 }) {
        RestoredZone restored;
        restored.takeCopy();
        for (int i = 0; i < lostWrites; ++i)
            restored.zone.store().put("other/" + std::to_string(i), "");
        restored.zone.writeConfiguration(4);
        restored.advance(2s);
        REQUIRE(restored.isAtAll(restored.hasVersion(4)));
        restored.restore();
        restored.advance(rewriteTime);
        CHECK(restored.isAtAll(restored.hasVersion(4)));
        for (std::int64_t version = 5; version < 12; ++version) {
            restored.zone.writeConfiguration(version);
            restored.advance(effectBound);
            CAPTURE(lostWrites, version);
            CHECK(restored.isAtAll(restored.hasVersion(version)));
        }
    }
}

TEST_CASE("an endpoint whose leave is missing in the store's copy isn't used again")
{
    RestoredZone restored;
    restored.zone.registerEndpoint("leaves");
    restored.advance(2s);
    restored.takeCopy();
    restored.zone.registerEndpoint("leaves", true);
    restored.advance(2s);
    auto isUnused = [&] { return restored.isAtNone(restored.mayUse("leaves")); };
    restored.restore();
    CHECK(restored.holdsFor(rewriteTime, isUnused));
    restored.zone.registerEndpoint("leaves", true);
    CHECK(restored.holdsFor(10s, isUnused));
}

// Nobody writes the registration again, which is in the store until its lease lapses.
TEST_CASE("an endpoint that had gone isn't used again if the store's copy still has it")
{
    RestoredZone restored;
    restored.zone.registerEndpoint("gone");
    restored.advance(2s);
    restored.takeCopy();
    restored.zone.store().erase("endpoints/gone");
    restored.advance(2s);
    REQUIRE(restored.isAtNone(restored.mayUse("gone")));
    restored.restore();
    CHECK(restored.holdsFor(10s, [&] { return restored.isAtNone(restored.mayUse("gone")); }));
    restored.zone.store().erase("endpoints/gone");
    restored.advance(5s);
    CHECK(restored.isAtNone(restored.mayUse("gone")));
}

TEST_CASE("an endpoint that had gone is used again once it has registered again")
{
    RestoredZone restored;
    restored.zone.registerEndpoint("back");
    restored.advance(2s);
    restored.takeCopy();
    restored.zone.store().erase("endpoints/back");
    restored.advance(2s);
    restored.restore();
    restored.advance(rewriteTime);
    restored.zone.registerEndpoint("back");
    restored.advance(effectBound);
    CHECK(restored.isAtAll(restored.mayUse("back")));
}

TEST_CASE("an endpoint that is missing in the store's copy is used until it registers again, or is gone after the grace period")
{
    RestoredZone restored;
    restored.takeCopy();
    restored.zone.registerEndpoint("new");
    restored.zone.registerEndpoint("dead");
    restored.advance(2s);
    REQUIRE(restored.isAtAll(restored.mayUse("new")));
    restored.restore();
    auto isUsed = [&] { return restored.isAtAll(restored.mayUse("new")); };
    CHECK(restored.holdsFor(rewriteTime, isUsed));
    restored.zone.registerEndpoint("new");
    CHECK(restored.holdsFor(5s, isUsed));
    CHECK(restored.isAtNone(restored.mayUse("dead")));
}

TEST_CASE("an endpoint that registers or leaves after the store returned from a copy is known in time")
{
    RestoredZone restored;
    restored.takeCopy();
    for (int i = 0; i < 40; ++i)
        restored.zone.registerEndpoint("lost-" + std::to_string(i));
    restored.advance(2s);
    restored.restore();
    restored.advance(rewriteTime);
    restored.zone.registerEndpoint("new");
    restored.advance(effectBound);
    CHECK(restored.isAtAll(restored.mayUse("new")));
    restored.zone.registerEndpoint("new", true);
    restored.zone.store().erase("endpoints/stays");
    restored.advance(effectBound);
    CHECK(restored.isAtNone(restored.mayUse("new")));
    CHECK(restored.isAtNone(restored.mayUse("stays")));
}

TEST_CASE("an evacuation that is missing in the store's copy holds until it is written again")
{
    RestoredZone restored;
    restored.takeCopy();
    restored.zone.setEvacuated(true);
    restored.advance(2s);
    REQUIRE(restored.isAtNone(restored.isZoneOpen()));
    auto isClosed = [&] { return restored.isAtNone(restored.isZoneOpen()); };
    restored.restore();
    CHECK(restored.holdsFor(rewriteTime, isClosed));
    restored.zone.setEvacuated(true);
    CHECK(restored.holdsFor(6s, isClosed));
    restored.zone.setEvacuated(false);
    restored.advance(effectBound);
    CHECK(restored.isAtAll(restored.isZoneOpen()));
}

TEST_CASE("an evacuation that nobody writes again ends after the grace period")
{
    RestoredZone restored;
    restored.takeCopy();
    restored.zone.setEvacuated(true);
    restored.advance(2s);
    restored.restore();
    restored.advance(6s);
    CHECK(restored.isAtAll(restored.isZoneOpen()));
}

TEST_CASE("a zone that was taken back stays open though the store's copy has its evacuation")
{
    for (bool isTakenBackAgain : { true, false }) {
        RestoredZone restored;
        restored.zone.setEvacuated(true);
        restored.advance(2s);
        restored.takeCopy();
        restored.zone.setEvacuated(false);
        restored.advance(2s);
        REQUIRE(restored.isAtAll(restored.isZoneOpen()));
        restored.restore();
        CHECK(restored.holdsFor(rewriteTime, [&] { return restored.isAtAll(restored.isZoneOpen()); }));
        if (isTakenBackAgain)
            restored.zone.setEvacuated(false);
        restored.advance(6s);
        CHECK(restored.isAtAll(restored.isZoneOpen()) == isTakenBackAgain);
    }
}

// No watch is out of range by its revision then, so only the era tells that something was missed.
TEST_CASE("nothing is missed if the revisions of the store have passed the old ones before an entry asks")
{
    RestoredZone restored;
    restored.zone.registerEndpoint("leaves");
    restored.advance(2s);
    restored.takeCopy();
    restored.zone.registerEndpoint("lost");
    restored.advance(2s);
    restored.zone.store().setDown(true);
    restored.advance(500ms);
    restored.restore(0ms);
    restored.zone.registerEndpoint("leaves", true);
    restored.zone.registerEndpoint("new");
    restored.zone.writeConfiguration(7);
    for (int i = 0; i < 200; ++i)
        restored.zone.store().put("other", std::to_string(i));
    restored.advance(effectBound);
    CHECK(restored.isAtNone(restored.mayUse("leaves")));
    CHECK(restored.isAtAll(restored.mayUse("new")));
    CHECK(restored.isAtAll(restored.hasVersion(7)));
    CHECK(restored.isAtNone(restored.mayUse("lost")));
}

TEST_CASE("the store may return from copies twice in two seconds, the second time from an older one")
{
    RestoredZone restored;
    restored.takeCopy();
    restored.zone.registerEndpoint("new");
    restored.zone.writeConfiguration(3);
    restored.advance(2s);
    restored.restore(300ms);
    restored.advance(500ms);
    restored.zone.registerEndpoint("new");
    restored.zone.registerEndpoint("stays", true);
    restored.zone.writeConfiguration(5);
    restored.advance(500ms);
    restored.restore(300ms);
    restored.advance(500ms);
    restored.zone.registerEndpoint("new");
    restored.zone.registerEndpoint("stays", true);
    restored.zone.writeConfiguration(8);
    restored.advance(effectBound);
    CHECK(restored.isAtAll(restored.hasVersion(8)));
    CHECK(restored.isAtAll(restored.mayUse("new")));
    CHECK(restored.isAtNone(restored.mayUse("stays")));
}

// Each entry in turn has a fault while the store returns from a copy, once or twice.
TEST_CASE("entries that are paused, cut off or started while the store returns from a copy catch up")
{
    constexpr EntryFault faults[] = { EntryFault::StoreUnresponsive, EntryFault::StoreRefuses, EntryFault::Partitioned, EntryFault::Paused, EntryFault::Killed };
    for (std::size_t faulty = 0; faulty < 3; ++faulty) {
        for (EntryFault fault : faults) {
            for (int returns : { 1, 2 }) {
                RestoredZone restored(3);
                restored.zone.registerEndpoint("leaves");
                restored.zone.registerEndpoint("gone");
                restored.advance(2s);
                restored.takeCopy();
                restored.zone.store().erase("endpoints/gone");
                restored.zone.registerEndpoint("leaves", true);
                restored.zone.registerEndpoint("new");
                restored.advance(2s);
                restored.zone.setFault(faulty, fault);
                for (int i = 0; i < returns; ++i) {
                    restored.restore(300ms);
                    restored.advance(rewriteTime);
                    restored.zone.registerEndpoint("leaves", true);
                    restored.zone.registerEndpoint("new");
                    restored.zone.writeConfiguration(4 + i);
                }
                restored.advance(2s);
                restored.zone.setFault(faulty, EntryFault::None);
                restored.advance(5s);
                CAPTURE(faulty, static_cast<int>(fault), returns);
                CHECK(restored.isAtAll(restored.hasVersion(3 + returns)));
                CHECK(restored.isAtAll(restored.mayUse("new")));
                CHECK(restored.isAtNone(restored.mayUse("leaves")));
                // A process that starts in the new era can't know that the endpoint has gone.
                for (std::size_t entry = 0; entry < 3; ++entry)
                    CHECK((restored.zone.mayUse(entry, "gone") == (fault == EntryFault::Killed && entry == faulty)));
            }
        }
    }
}

// Hundreds of entries notice a new era at once; if each listed the store, the listings would exceed its rate.
TEST_CASE("entries that follow another one hear of a new era without calls to the store")
{
    RestoredZone restored(8);
    restored.takeCopy();
    restored.zone.registerEndpoint("lost");
    restored.advance(4s);
    std::size_t direct = 0;
    for (std::size_t entry = 0; entry < restored.zone.size(); ++entry)
        direct += restored.zone.isDirect(entry) ? 1 : 0;
    REQUIRE(direct <= 2);
    std::size_t callsBefore = restored.zone.store().calls(StoreCallGroup::Read);
    restored.restore(50ms);
    restored.advance(effectBound);
    CHECK(restored.zone.store().calls(StoreCallGroup::Read) - callsBefore <= 4 * direct);
    CHECK(restored.isAtNone(restored.mayUse("lost")));
}

// The writers write everything again after each return; all entries must then agree with the store.
TEST_CASE("over seeded sequences of returns, changes and faults all entries reach the state of the store")
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        Random random(seed);
        RestoredZone restored(3);
        std::int64_t version = 1;
        int endpointCount = 0;
        std::map<std::string, std::string> endpoints { { "stays", "ready" } };
        bool isEvacuated = false;
        auto change = [&] {
            std::string name = "e" + std::to_string(random.below(6));
            switch (random.below(5)) {
            case 0:
                restored.zone.writeConfiguration(++version);
                break;
            case 1:
                name = "n" + std::to_string(++endpointCount);
                endpoints[name] = "ready";
                restored.zone.registerEndpoint(name);
                break;
            case 2:
                if (endpointCount > 0)
                    name = "n" + std::to_string(1 + random.below(static_cast<std::uint64_t>(endpointCount)));
                if (endpoints.count(name) > 0) {
                    endpoints[name] = "leaving";
                    restored.zone.registerEndpoint(name, true);
                }
                break;
            case 3:
                if (endpointCount > 0)
                    name = "n" + std::to_string(1 + random.below(static_cast<std::uint64_t>(endpointCount)));
                if (endpoints.erase(name) > 0)
                    restored.zone.store().erase("endpoints/" + name);
                break;
            case 4:
                isEvacuated = !isEvacuated;
                restored.zone.setEvacuated(isEvacuated);
                break;
            }
        };
        for (int round = 0; round < 3; ++round) {
            for (int i = 0; i < 4; ++i) {
                change();
                restored.advance(std::chrono::milliseconds(random.below(400)));
            }
            restored.takeCopy();
            for (int i = 0; i < 6; ++i) {
                change();
                restored.advance(std::chrono::milliseconds(random.below(500)));
            }
            std::size_t faulty = random.below(3);
            bool hasFault = random.below(2) == 0;
            if (hasFault)
                restored.zone.setFault(faulty, random.below(2) == 0 ? EntryFault::Paused : EntryFault::Partitioned);
            restored.restore(std::chrono::milliseconds(300 + random.below(900)));
            restored.advance(std::chrono::milliseconds(random.below(900)));
            restored.zone.writeConfiguration(version);
            for (const auto& [name, state] : endpoints)
                restored.zone.registerEndpoint(name, state == "leaving");
            restored.zone.setEvacuated(isEvacuated);
            // The leases of registrations that nobody writes again lapse.
            for (int i = 1; i <= endpointCount; ++i) {
                if (endpoints.count("n" + std::to_string(i)) == 0)
                    restored.zone.store().erase("endpoints/n" + std::to_string(i));
            }
            if (hasFault)
                restored.zone.setFault(faulty, EntryFault::None);
        }
        restored.advance(8s);
        CAPTURE(seed);
        CHECK(restored.isAtAll(restored.hasVersion(version)));
        CHECK(restored.isAtAll([&](std::size_t entry) { return restored.zone.isZoneOpen(entry) != isEvacuated; }));
        for (int i = 1; i <= endpointCount; ++i) {
            std::string name = "n" + std::to_string(i);
            auto known = endpoints.find(name);
            bool isReady = known != endpoints.end() && known->second == "ready";
            CAPTURE(name, isReady);
            CHECK(restored.isAtAll([&](std::size_t entry) { return restored.zone.mayUse(entry, name) == isReady; }));
        }
    }
}
