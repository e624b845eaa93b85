#include "catkinwing/PeerProtocol/CreditMessages.h"

#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

TEST_CASE("a credit message comes back as it was encoded")
{
    CreditMessage message { CreditMessageKind::EntryAsk, 0xfedcba9876543210, 200ms, 85, { { 0x123456789abcdef0, 17'020, 20'000, 900ms }, { 1, 0, UINT32_MAX, 0ms } } };
    absl::StatusOr<CreditMessage> decoded = decodeCreditMessage(encodeCreditMessage(message));
    REQUIRE(decoded.ok());
    CHECK(decoded->kind == CreditMessageKind::EntryAsk);
    CHECK(decoded->id == message.id);
    CHECK(decoded->elapsed == 200ms);
    CHECK(decoded->entries == 85);
    REQUIRE(decoded->rows.size() == 2);
    CHECK(decoded->rows[0].workspace == 0x123456789abcdef0);
    CHECK(decoded->rows[0].amount == 17'020);
    CHECK(decoded->rows[0].maxAmount == 20'000);
    CHECK(decoded->rows[0].time == 900ms);
    CHECK(decoded->rows[1].maxAmount == UINT32_MAX);
}

TEST_CASE("bytes that are no credit message are refused")
{
    std::string bytes = encodeCreditMessage({ CreditMessageKind::Deposit, 1, 200ms, 2, { { 1, 2, 3, 4ms } } });
    for (std::size_t length = 0; length < bytes.size(); ++length)
        CHECK_FALSE(decodeCreditMessage(bytes.substr(0, length)).ok());
    CHECK_FALSE(decodeCreditMessage(bytes + "x").ok());
    CHECK_FALSE(decodeCreditMessage("x" + bytes).ok());
    CreditMessage tooLong;
    tooLong.rows.resize(maxCreditRows + 1);
    CHECK_FALSE(decodeCreditMessage(encodeCreditMessage(tooLong)).ok());
}

TEST_CASE("a message with all rows fits into a datagram")
{
    CreditMessage message { CreditMessageKind::Reply, UINT64_MAX, {}, 0, {} };
    message.rows.assign(maxCreditRows, { UINT64_MAX, UINT32_MAX, UINT32_MAX, 8'000ms });
    CHECK(encodeCreditMessage(message).size() <= 1'400);
}
