#include "catkinwing/Gateway/OpenRequests.h"

#include "FakeResponder.h"
#include <catch2/catch.hpp>

using namespace catkinwing;

TEST_CASE("a request counts until its answer has gone out")
{
    OpenRequests open;
    auto waiting = std::make_shared<FakeResponder>();
    auto slow = std::make_shared<FakeResponder>();
    auto left = std::make_shared<FakeResponder>();
    for (const auto& responder : { waiting, slow, left })
        open.add(responder);
    slow->pending = 10;
    slow->finish();
    left->leave();
    CHECK(open.count() == 2);
    slow->pending = 0;
    CHECK(open.count() == 1);
    waiting->finish();
    CHECK(open.count() == 0);
}

TEST_CASE("answered requests are forgotten as new ones come")
{
    OpenRequests open;
    std::weak_ptr<FakeResponder> first;
    for (int i = 0; i < 1000; ++i) {
        auto responder = std::make_shared<FakeResponder>();
        responder->finish();
        if (i == 0)
            first = responder;
        open.add(responder);
    }
    CHECK(first.expired());
}
