#include "catkinwing/Admission/ForecastError.h"

#include "catkinwing/Support/Random.h"
#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

TEST_CASE("the margin covers four of five responses that are late by chance")
{
    for (unsigned seed = 1; seed <= 4; ++seed) {
        Random random(seed);
        ForecastError error;
        int covered = 0;
        constexpr int samples = 4'000;
        for (int i = 0; i < samples; ++i) {
            auto actual = std::chrono::duration_cast<Duration>(random.unit() * 300ms);
            covered += actual <= error.margin ? 1 : 0;
            addForecastSample(error, 0ms, actual, 1s);
        }
        CAPTURE(seed, covered);
        CHECK(covered > samples * 3 / 4);
        CHECK(covered < samples * 17 / 20);
    }
}

TEST_CASE("the margin falls back when a burst has passed, and stays within its bounds")
{
    ForecastError error;
    for (int i = 0; i < 500; ++i)
        addForecastSample(error, 0ms, 5s, 250ms);
    CHECK(error.margin == 250ms);
    for (int i = 0; i < 500; ++i)
        addForecastSample(error, 100ms, 10ms, 250ms);
    CHECK(error.margin == 0ms);
    addForecastSample(error, 0ms, 5s, -1s);
    CHECK(error.margin == 0ms);
}
