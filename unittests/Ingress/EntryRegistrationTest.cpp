#include "catkinwing/Ingress/EntryRegistration.h"

#include "Coordination/FakeStore.h"
#include "catkinwing/Support/ManualScheduler.h"
#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

namespace {

struct RegistrationWorld {
    bool isThere() const { return store.peek("entries/a").revision != 0; }

    ManualScheduler scheduler;
    FakeStore store { scheduler };
    EntryRegistration registration { store, scheduler, { "entries/a", "value", 4s, 1s, 400ms } };
};

} // namespace

TEST_CASE("the key exists while the registration runs and is deleted when it stops")
{
    RegistrationWorld world;
    world.registration.start();
    world.scheduler.advance(30s);
    CHECK(world.isThere());
    CHECK(world.store.peek("entries/a").value == "value");
    world.registration.stop();
    world.scheduler.advance(100ms);
    CHECK_FALSE(world.isThere());
    world.scheduler.advance(30s);
    CHECK_FALSE(world.isThere());
}

TEST_CASE("an established registration calls the store only to renew its lease")
{
    RegistrationWorld world;
    world.registration.start();
    world.scheduler.advance(20s);
    CHECK(world.store.calls(StoreCallGroup::Read) == 0);
    CHECK(world.store.calls(StoreCallGroup::Write) == 1);
    CHECK(world.store.calls(StoreCallGroup::Lease) <= 21);
}

TEST_CASE("a registration that expired during an outage is written again soon after the outage")
{
    RegistrationWorld world;
    world.registration.start();
    world.scheduler.advance(2s);
    world.store.setDown(true);
    world.scheduler.advance(10s);
    world.store.setDown(false);
    world.scheduler.advance(2s);
    CHECK(world.isThere());
}

TEST_CASE("a key that was deleted although its lease is valid is written again after noteVanished()")
{
    RegistrationWorld world;
    world.registration.start();
    world.scheduler.advance(2s);
    world.store.erase("entries/a");
    world.registration.noteVanished();
    world.scheduler.advance(1s);
    CHECK(world.isThere());
}

TEST_CASE("an entry registers despite lost requests, lost responses and late writes")
{
    for (StoreFault fault : { StoreFault::NotSent, StoreFault::LostRequest, StoreFault::LostAnswer, StoreFault::AppliedLate }) {
        for (StoreCallGroup group : { StoreCallGroup::Write, StoreCallGroup::Lease }) {
            RegistrationWorld world;
            world.store.failNext(group, fault, 2);
            world.registration.start();
            world.scheduler.advance(15s);
            CAPTURE(static_cast<int>(fault), static_cast<int>(group));
            CHECK(world.isThere());
        }
    }
}
