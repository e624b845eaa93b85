#include "catkinwing/Routing/StreamLength.h"

#include <catch2/catch.hpp>

using namespace catkinwing;

TEST_CASE("the number of events is predicted from the maximum output tokens of the request")
{
    StreamLength length;
    for (int i = 0; i < 100; ++i)
        addEventSample(length, 100 + i, static_cast<std::size_t>((100 + i) / 5));
    CHECK(predictEvents(length, 1'000) == Approx(200).epsilon(0.02));
    CHECK(predictEvents(length, 50) == Approx(10).epsilon(0.02));
}

TEST_CASE("without a stated maximum the prediction is the average of earlier streams")
{
    StreamLength length;
    CHECK(predictEvents(length, 0) > 1);
    for (int i = 0; i < 500; ++i)
        addEventSample(length, 0, 70);
    CHECK(predictEvents(length, 0) == Approx(70).epsilon(0.01));
}
