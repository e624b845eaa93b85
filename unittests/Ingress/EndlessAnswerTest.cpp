// Tests that bytes that are no answer and never end are given up within bounded memory, and that
// other requests are served meanwhile.
#include "IngressFixture.h"

#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

/// Sends pieces until the exchange is cancelled, at most 64 MB.
static FakeHttpAnswer withoutEnd(FakeHttpAnswer answer, std::size_t pieceBytes, char byte = 'x')
{
    answer.body.resize(std::min<std::size_t>((64u << 20) / pieceBytes, 20'000), std::string(pieceBytes, byte));
    answer.isLeftOpen = true;
    return answer;
}

static bool isEndless(const HttpClientRequest& request)
{
    const std::string* time = request.headers.find("endless");
    return time != nullptr;
}

TEST_CASE("a plain body without end ends its attempt and holds no memory afterwards")
{
    for (bool isForwarded : { false, true }) {
        IngressFixture fixture;
        fixture.configure(IngressFixture::unaryRoute(RequestKind::NonIdempotent, 1));
        fixture.addEndpoint("e1");
        fixture.answers = { [](const HttpClientRequest& request) {
            return isEndless(request) ? withoutEnd(endpointAnswer(request, 200, ""), 16u << 10) : endpointAnswer(request, 200, "ok");
        } };
        auto endless = fixture.start({ { "endless", "1" } }, isForwarded);
        auto other = fixture.start({}, isForwarded);
        fixture.scheduler.advance(100ms);
        CAPTURE(isForwarded);
        CHECK(other->status() == 200);
        CHECK(endless->status() == 502);
        CHECK(fixture.parts.answerBuffers.used() == 0);
        CHECK(fixture.endpointClient.exchanges.front()->isCancelled);
    }
}

TEST_CASE("an event without end after the first events of a stream breaks the stream off")
{
    IngressFixture fixture;
    fixture.configure(IngressFixture::streamRoute(false));
    fixture.addEndpoint("e1");
    fixture.answers = { [](const HttpClientRequest& request) {
        FakeHttpAnswer answer = streamAnswer(request, { 1, 2 });
        if (!isEndless(request))
            return answer;
        FakeHttpAnswer endless = withoutEnd(answer, 1u << 10);
        endless.body.insert(endless.body.begin(), answer.body.begin(), answer.body.end());
        return endless;
    } };
    auto endless = fixture.start({ { "endless", "1" } });
    auto other = fixture.start();
    fixture.scheduler.advance(100ms);
    CHECK(other->status() == 200);
    CHECK(endless->body == eventText(1) + eventText(2));
    CHECK(endless->isAborted);
    CHECK(fixture.parts.answerBuffers.used() == 0);
}

TEST_CASE("many bodies without end at once don't fill an entry's memory")
{
    IngressFixture fixture;
    fixture.configure(IngressFixture::unaryRoute(RequestKind::NonIdempotent, 1));
    for (int i = 0; i < 4; ++i)
        fixture.addEndpoint("e" + std::to_string(i));
    // Each sends 2 MB and then nothing more, so that they are open together.
    fixture.answers = { [](const HttpClientRequest& request) {
        FakeHttpAnswer answer = endpointAnswer(request, 200, isEndless(request) ? std::string(2u << 20, 'x') : "ok");
        answer.isLeftOpen = isEndless(request);
        return answer;
    } };
    std::vector<std::shared_ptr<FakeResponder>> endless;
    endless.reserve(60);
    for (int i = 0; i < 60; ++i)
        endless.push_back(fixture.start({ { "endless", "1" } }));
    fixture.scheduler.advance(50ms);
    CHECK(fixture.parts.answerBuffers.used() < 28u << 20);
    auto other = fixture.start();
    fixture.scheduler.advance(50ms);
    CHECK(other->status() == 200);
    fixture.scheduler.advance(20s);
    CHECK(fixture.parts.answerBuffers.used() == 0);
}

// Guards against answers of many endpoints that are short enough one by one and fill the memory
// together.
TEST_CASE("many answers of some 300 KiB that don't end don't fill an entry's memory")
{
    for (bool isForwarded : { false, true }) {
        IngressFixture fixture;
        fixture.configure(IngressFixture::unaryRoute(RequestKind::NonIdempotent, 1));
        for (int i = 0; i < 40; ++i)
            fixture.addEndpoint("e" + std::to_string(i));
        fixture.answers = { [](const HttpClientRequest& request) {
            FakeHttpAnswer answer = endpointAnswer(request, 200, isEndless(request) ? std::string(300u << 10, 'x') : "ok");
            answer.isLeftOpen = isEndless(request);
            return answer;
        } };
        for (int i = 0; i < 400; ++i)
            fixture.start({ { "endless", "1" } }, isForwarded);
        fixture.scheduler.advance(50ms);
        CAPTURE(isForwarded);
        CHECK(fixture.endpointClient.requests.size() == 400);
        CHECK(fixture.parts.answerBuffers.used() < 40u << 20);
        auto other = fixture.start({}, isForwarded);
        fixture.scheduler.advance(50ms);
        CHECK(other->status() == 200);
        fixture.scheduler.advance(20s);
        CHECK(fixture.parts.answerBuffers.used() == 0);
    }
}
