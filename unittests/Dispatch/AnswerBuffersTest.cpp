#include "catkinwing/Dispatch/AnswerBuffers.h"

#include <catch2/catch.hpp>
#include <memory>
#include <vector>

using namespace catkinwing;

TEST_CASE("answers without end are given up while the buffers are full, and ordinary ones are held")
{
    AnswerBuffers buffers(1u << 20);
    std::vector<std::unique_ptr<BufferedBytes>> endless;
    for (int i = 0; i < 3; ++i) {
        endless.push_back(std::make_unique<BufferedBytes>(buffers));
        endless.back()->set(400'000);
    }
    CHECK(buffers.used() == 1'200'000);
    CHECK_FALSE(buffers.mayHold(400'000));
    CHECK(buffers.mayHold(4'000));
    endless.pop_back();
    CHECK(buffers.used() == 800'000);
    CHECK(buffers.mayHold(400'000));
    endless.front()->set(100);
    CHECK(buffers.used() == 400'100);
    endless.clear();
    CHECK(buffers.used() == 0);
}

TEST_CASE("thousands of slow clients: less is held for each once half of the buffers is used")
{
    AnswerBuffers buffers(1u << 20);
    CHECK(buffers.pendingLimit(128u << 10) == 128u << 10);
    std::vector<std::unique_ptr<BufferedBytes>> slow;
    for (int i = 0; i < 4'000; ++i) {
        slow.push_back(std::make_unique<BufferedBytes>(buffers));
        slow.back()->set(buffers.pendingLimit(128u << 10));
    }
    CHECK(buffers.used() <= (1u << 20) + 4'000 * (4u << 10));
    CHECK(buffers.pendingLimit(128u << 10) == 4u << 10);
    CHECK(buffers.pendingLimit(1'000) == 1'000);
}
