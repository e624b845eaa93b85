#include "catkinwing/Dispatch/EventCursor.h"

#include <catch2/catch.hpp>

using namespace catkinwing;

static std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: piece " + std::to_string(id) + "\n\n";
}

TEST_CASE("an event cursor hands on whole events however the bytes are cut")
{
    std::string stream = event(1) + event(2) + "version: 4\n" + event(3);
    for (std::size_t size = 1; size <= stream.size(); ++size) {
        EventCursor cursor;
        std::string out;
        for (std::size_t begin = 0; begin < stream.size(); begin += size)
            out += cursor.feed(absl::string_view(stream).substr(begin, size));
        CHECK(out == stream);
        CHECK(cursor.lastId() == 3u);
        CHECK(cursor.events() == 3);
        CHECK_FALSE(cursor.hasPartial());
    }
}

TEST_CASE("a broken event is dropped and the next attempt goes on after the last whole one")
{
    EventCursor cursor;
    CHECK(cursor.feed(event(1) + "id: 2\nda") == event(1));
    CHECK(cursor.hasPartial());
    cursor.beginAttempt();
    CHECK_FALSE(cursor.hasPartial());
    CHECK(cursor.feed(event(2)) == event(2));
    CHECK_FALSE(cursor.isBroken());
}

TEST_CASE("an event that repeats or leaves a gap breaks the stream and isn't handed on")
{
    EventCursor repeats;
    repeats.feed(event(1) + event(2));
    CHECK(repeats.feed(event(2)).empty());
    CHECK(repeats.isBroken());
    EventCursor skips(5);
    CHECK(skips.feed(event(7)).empty());
    CHECK(skips.isBroken());
    CHECK(skips.lastId() == 5u);
}

TEST_CASE("what never ends an event is not held without bound")
{
    EventCursor cursor;
    std::string piece(64 << 10, 'x');
    for (int i = 0; i < 32 && !cursor.isBroken(); ++i)
        cursor.feed(piece);
    CHECK(cursor.isBroken());
}
