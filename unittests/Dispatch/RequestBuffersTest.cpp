#include "catkinwing/Dispatch/RequestBuffers.h"

#include <catch2/catch.hpp>
#include <memory>

using namespace catkinwing;

TEST_CASE("large bodies are held up to the capacity, and small ones always")
{
    RequestBuffers buffers(1'000'000);
    auto first = std::make_unique<BufferedRequest>(buffers);
    BufferedRequest second(buffers);
    BufferedRequest small(buffers);
    CHECK(first->reserve(700'000));
    CHECK_FALSE(second.reserve(300'001));
    CHECK(second.reserve(300'000));
    CHECK(small.reserve(16'384));
    CHECK(buffers.used() == 1'016'384);
    BufferedRequest late(buffers);
    CHECK_FALSE(late.reserve(16'385));
    first.reset();
    CHECK(late.reserve(16'385));
    CHECK(buffers.used() == 332'769);
}

TEST_CASE("without a capacity every body is held")
{
    RequestBuffers buffers;
    BufferedRequest request(buffers);
    CHECK(request.reserve(8'000'000));
}
