#include "catkinwing/Ingress/EntryRegistration.h"

#include "Coordination/FakeStore.h"
#include "catkinwing/Support/ManualScheduler.h"
#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

namespace {

struct RegistrationFixture {
    bool keyExists() const { return store.peek("entries/a").revision != 0; }

    ManualScheduler scheduler;
    FakeStore store { scheduler };
    EntryRegistration registration { store, scheduler, { "entries/a", "value", 4s, 1s, 400ms } };
};

} // namespace

TEST_CASE("the key exists while the registration runs and is deleted when it stops")
{
    RegistrationFixture fixture;
    fixture.registration.start();
    fixture.scheduler.advance(30s);
    CHECK(fixture.keyExists());
    CHECK(fixture.store.peek("entries/a").value == "value");
    fixture.registration.stop();
    fixture.scheduler.advance(100ms);
    CHECK_FALSE(fixture.keyExists());
    fixture.scheduler.advance(30s);
    CHECK_FALSE(fixture.keyExists());
}

TEST_CASE("an established registration calls the store only to renew its lease")
{
    RegistrationFixture fixture;
    fixture.registration.start();
    fixture.scheduler.advance(20s);
    CHECK(fixture.store.calls(StoreCallGroup::Read) == 0);
    CHECK(fixture.store.calls(StoreCallGroup::Write) == 1);
    CHECK(fixture.store.calls(StoreCallGroup::Lease) <= 21);
}

TEST_CASE("a registration that expired during an outage is written again soon after the outage")
{
    RegistrationFixture fixture;
    fixture.registration.start();
    fixture.scheduler.advance(2s);
    fixture.store.setDown(true);
    fixture.scheduler.advance(10s);
    fixture.store.setDown(false);
    fixture.scheduler.advance(2s);
    CHECK(fixture.keyExists());
}

TEST_CASE("a key that was deleted although its lease is valid is written again after noteVanished()")
{
    RegistrationFixture fixture;
    fixture.registration.start();
    fixture.scheduler.advance(2s);
    fixture.store.erase("entries/a");
    fixture.registration.recordKeyDeleted();
    fixture.scheduler.advance(1s);
    CHECK(fixture.keyExists());
}

TEST_CASE("an entry registers despite lost requests, lost responses and late writes")
{
    for (StoreFault fault : { StoreFault::NotSent, StoreFault::LostRequest, StoreFault::LostAnswer, StoreFault::AppliedLate }) {
        for (StoreCallGroup group : { StoreCallGroup::Write, StoreCallGroup::Lease }) {
            RegistrationFixture fixture;
            fixture.store.failNext(group, fault, 2);
            fixture.registration.start();
            fixture.scheduler.advance(15s);
            CAPTURE(static_cast<int>(fault), static_cast<int>(group));
            CHECK(fixture.keyExists());
        }
    }
}

// Guards against an entry that renews or revokes a lease whose number the store has given out again after it
// came back from a copy, and that can't register because its key is in the copy under a lease of nobody.
TEST_CASE("after the store returned from a copy an entry registers under a lease of its own and leaves other leases alone")
{
    for (bool isKeyInCopy : { false, true }) {
        RegistrationFixture fixture;
        std::shared_ptr<const FakeStore::Copy> copy = fixture.store.takeCopy();
        fixture.registration.start();
        fixture.scheduler.advance(2s);
        if (isKeyInCopy)
            copy = fixture.store.takeCopy();
        StoreLease before = fixture.store.peek("entries/a").lease;
        fixture.store.restore(*copy);
        // Another writer gets the lease numbers that were given out before.
        std::vector<StoreLease> others;
        for (int i = 0; i < 3; ++i)
            fixture.store.grantLease(60s, [&others](const absl::StatusOr<StoreLease>& lease) { others.push_back(*lease); });
        fixture.scheduler.advance(10ms);
        REQUIRE(others.size() == 3);
        CAPTURE(isKeyInCopy);
        if (!isKeyInCopy)
            REQUIRE(others[0].number == before.number);
        for (std::size_t i = 0; i < others.size(); ++i)
            fixture.store.compareAndSwap("others/" + std::to_string(i), 0, "", others[i], [](SwapResult) {});
        fixture.scheduler.advance(3s);
        CHECK(fixture.registration.isRegistered());
        CHECK(fixture.keyExists());
        StoreLease now = fixture.store.peek("entries/a").lease;
        for (const StoreLease& other : others)
            CHECK(other != now);
        fixture.scheduler.advance(30s);
        CHECK(fixture.keyExists());
        for (std::size_t i = 0; i < others.size(); ++i)
            CHECK(fixture.store.peek("others/" + std::to_string(i)).revision != 0);
        fixture.registration.stop();
        fixture.scheduler.advance(100ms);
        CHECK_FALSE(fixture.keyExists());
    }
}
