#include "catkinwing/PeerProtocol/StoreChanges.h"

#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

TEST_CASE("changes of the store read back as they were written, whatever bytes they hold")
{
    StoreChanges changes;
    changes.revision = 412;
    changes.changes.push_back({ "servers/a", std::string("\0\xff\"{}", 5), 411, false });
    changes.changes.push_back({ "servers/b", "", 412, true });
    absl::StatusOr<StoreChanges> read = decodeStoreChanges(encodeStoreChanges(changes));
    REQUIRE(read.ok());
    CHECK(read->revision == 412);
    REQUIRE(read->changes.size() == 2);
    CHECK(read->changes[0].key == "servers/a");
    CHECK(read->changes[0].value == changes.changes[0].value);
    CHECK(read->changes[0].revision == 411);
    CHECK_FALSE(read->changes[0].isDeletion);
    CHECK(read->changes[1].isDeletion);
    CHECK_FALSE(read->spansListing);
    CHECK(read->age == 0ms);
    changes.spansListing = true;
    changes.age = 1'700ms;
    read = decodeStoreChanges(encodeStoreChanges(changes));
    REQUIRE(read.ok());
    CHECK(read->spansListing);
    CHECK(read->changes.size() == 2);
    CHECK(read->age == 1'700ms);
    changes.age = 30h;
    read = decodeStoreChanges(encodeStoreChanges(changes));
    REQUIRE(read.ok());
    CHECK(read->age == longestStoreAge);
}

TEST_CASE("a change costs its key, its value and a few bytes")
{
    StoreChanges changes;
    std::size_t before = encodeStoreChanges(changes).size();
    changes.changes.push_back({ std::string(20, 'k'), std::string(200, 'v'), 1'000'000, false });
    CHECK(encodeStoreChanges(changes).size() - before <= 220 + 40);
}

TEST_CASE("bytes that are no changes are refused")
{
    StoreChanges changes;
    changes.revision = 5;
    changes.changes.push_back({ "key", "value", 5, false });
    std::string whole = encodeStoreChanges(changes);
    for (std::size_t size = 0; size < whole.size(); ++size)
        CHECK_FALSE(decodeStoreChanges(absl::string_view(whole).substr(0, size)).ok());
    CHECK_FALSE(decodeStoreChanges(whole + "x").ok());
    CHECK_FALSE(decodeStoreChanges("\x84\x01\x81\x82\x01\x02\xf4\x00").ok());
    // Without an age, with a negative one, and with one beyond the longest.
    CHECK(decodeStoreChanges(absl::string_view("\x84\x01\x80\xf4\x00", 5)).ok());
    CHECK_FALSE(decodeStoreChanges("\x83\x01\x80\xf4").ok());
    CHECK_FALSE(decodeStoreChanges("\x84\x01\x80\xf4\x20").ok());
    CHECK_FALSE(decodeStoreChanges("\x84\x01\x80\xf4\x1a\xff\xff\xff\xff").ok());
}

// An entry of an earlier release reads an answer without eras and must not take eras for revisions.
TEST_CASE("revisions keep their eras, and those without an era are written as earlier releases do")
{
    StoreChanges changes;
    changes.revision = { 2, 50 };
    changes.changes = { { "a", "1", { 1, 70 }, false }, { "b", "", { 2, 50 }, true } };
    absl::StatusOr<StoreChanges> read = decodeStoreChanges(encodeStoreChanges(changes));
    REQUIRE(read.ok());
    CHECK((read->revision == StoreRevision { 2, 50 }));
    CHECK((read->changes[0].revision == StoreRevision { 1, 70 }));
    CHECK((read->changes[1].revision == StoreRevision { 2, 50 }));
    StoreChanges without;
    without.revision = 1;
    CHECK(encodeStoreChanges(without) == std::string("\x84\x01\x80\xf4\x00", 5));
    CHECK_FALSE(decodeStoreChanges(absl::string_view("\x84\x81\x01\x80\xf4\x00", 6)).ok());
    CHECK_FALSE(decodeStoreChanges(absl::string_view("\x84\x82\x01\xf4\x80\xf4\x00", 7)).ok());
}

TEST_CASE("a position of a later era is later, whatever its number")
{
    CHECK((StoreRevision { 1, 900 } < StoreRevision { 2, 3 }));
    CHECK((StoreRevision { 2, 3 } < StoreRevision { 2, 4 }));
    CHECK_FALSE((StoreRevision { 2, 3 } == StoreRevision { 1, 3 }));
    CHECK((StoreRevision { 2, 3 }.next() == StoreRevision { 2, 4 }));
    CHECK((StoreLease { 1, 7 } != StoreLease { 2, 7 }));
}
