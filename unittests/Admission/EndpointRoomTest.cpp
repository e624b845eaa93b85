#include "catkinwing/Admission/EndpointRoom.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

static constexpr TimePoint start { 100s };

TEST_CASE("an endpoint gets no more requests than it has slots")
{
    EndpointRoom room;
    CHECK(hasRoom(room, { 5, 2 }, 1, start));
    CHECK_FALSE(hasRoom(room, { 5, 2 }, 2, start));
    CHECK(hasRoom(room, { 5, 0 }, 100, start));
}

// The endpoint is full all the time, though the entry believes that it runs nothing.
TEST_CASE("an endpoint whose load is unknown never rejects more in a second than it may")
{
    for (double allowed : { 1.0, 2.0, 5.0, 20.0 }) {
        EndpointRoom room;
        std::vector<TimePoint> rejections;
        std::vector<TimePoint> sent;
        for (TimePoint now = start; now < start + 20s; now += 1ms) {
            while (!sent.empty() && now - sent.front() >= 3ms) {
                sent.erase(sent.begin());
                rejections.push_back(now);
                recordRoomRejection(room, { allowed, 64 }, now);
            }
            while (hasRoom(room, { allowed, 64 }, 0, now)) {
                recordRoomAttempt(room, now);
                sent.push_back(now);
            }
        }
        REQUIRE_FALSE(rejections.empty());
        std::ptrdiff_t max = 0;
        for (auto first = rejections.begin(); first != rejections.end(); ++first)
            max = std::max(max, std::lower_bound(first, rejections.end(), *first + 1s) - first);
        INFO(allowed << " a second");
        CHECK(static_cast<double>(max) <= allowed);
    }
}

TEST_CASE("an endpoint that accepts gets many requests a second")
{
    EndpointRoom room;
    int attempts = 0;
    for (TimePoint now = start; now < start + 1s; now += 1ms) {
        if (!hasRoom(room, { 5, 64 }, 0, now))
            continue;
        recordRoomAttempt(room, now);
        ++attempts;
    }
    CHECK(attempts >= 60);
}
