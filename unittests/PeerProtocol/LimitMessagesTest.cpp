#include "catkinwing/PeerProtocol/LimitMessages.h"

#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

TEST_CASE("a limit message comes back as it was encoded")
{
    LimitMessage message { LimitMessageKind::Raise, 0xfedcba98, 120ms, { { 0x12345678, 3.7, 900ms }, { 1, std::nullopt, 0ms }, { 2, 0.0, 1ms } } };
    absl::StatusOr<LimitMessage> decoded = decodeLimitMessage(encodeLimitMessage(message));
    REQUIRE(decoded.ok());
    CHECK(decoded->kind == LimitMessageKind::Raise);
    CHECK(decoded->id == 0xfedcba98);
    CHECK(decoded->retryAfter == 120ms);
    REQUIRE(decoded->rows.size() == 3);
    CHECK(decoded->rows[0].endpoint == 0x12345678);
    CHECK(*decoded->rows[0].perSecond == Approx(3.7));
    CHECK(decoded->rows[0].age == 900ms);
    CHECK_FALSE(decoded->rows[1].perSecond);
    CHECK(decoded->rows[2].perSecond == 0.0);
}

TEST_CASE("a limit above the range of a message isn't read as no limit")
{
    LimitMessage message;
    message.rows.push_back({ 1, 1e12, 1ms });
    absl::StatusOr<LimitMessage> decoded = decodeLimitMessage(encodeLimitMessage(message));
    REQUIRE(decoded.ok());
    CHECK(decoded->rows[0].perSecond);
}

TEST_CASE("bytes that are no limit message are refused")
{
    std::string bytes = encodeLimitMessage({ LimitMessageKind::Ask, 1, 200ms, { { 1, 2.0, 4ms } } });
    for (std::size_t length = 0; length < bytes.size(); ++length)
        CHECK_FALSE(decodeLimitMessage(bytes.substr(0, length)).ok());
    CHECK_FALSE(decodeLimitMessage(bytes + "x").ok());
    CHECK_FALSE(decodeLimitMessage("x" + bytes).ok());
    LimitMessage tooLong;
    tooLong.rows.resize(maxLimitRows + 1);
    CHECK_FALSE(decodeLimitMessage(encodeLimitMessage(tooLong)).ok());
    LimitMessage unknown;
    unknown.kind = static_cast<LimitMessageKind>(9);
    CHECK_FALSE(decodeLimitMessage(encodeLimitMessage(unknown)).ok());
}

TEST_CASE("a limit message with all rows fits into a datagram")
{
    LimitMessage message { LimitMessageKind::Statement, UINT32_MAX, 1h, {} };
    message.rows.assign(maxLimitRows, { UINT32_MAX, 4'000'000.0, 24h });
    CHECK(encodeLimitMessage(message).size() <= 1'400);
}
