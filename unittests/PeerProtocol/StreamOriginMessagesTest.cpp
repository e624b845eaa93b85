#include "catkinwing/PeerProtocol/StreamOriginMessages.h"

#include <catch2/catch.hpp>

using namespace catkinwing;

static RequestFingerprint fingerprint(unsigned char number)
{
    RequestFingerprint result;
    result.bytes.fill(number);
    return result;
}

TEST_CASE("a stream origin message comes back as it was encoded")
{
    StreamOriginMessage message { StreamOriginKind::Reply, 0xfedcba98, 0x12345678, true, UINT64_MAX, { { fingerprint(200), 0xfedcba9876543210, 7 } } };
    absl::StatusOr<StreamOriginMessage> decoded = decodeStreamOriginMessage(encodeStreamOriginMessage(message));
    REQUIRE(decoded.ok());
    CHECK(decoded->kind == StreamOriginKind::Reply);
    CHECK(decoded->id == 0xfedcba98);
    CHECK(decoded->service == 0x12345678);
    CHECK(decoded->isKnown);
    CHECK(decoded->soleBuild == UINT64_MAX);
    REQUIRE(decoded->rows.size() == 1);
    CHECK(decoded->rows[0].stream == fingerprint(200));
    CHECK(decoded->rows[0].build == 0xfedcba9876543210);
    CHECK(decoded->rows[0].sequence == 7);
}

TEST_CASE("bytes that are no stream origin message are refused")
{
    std::string bytes = encodeStreamOriginMessage({ StreamOriginKind::Ask, 1, 2, false, 0, { { fingerprint(1), 0, 0 } } });
    for (std::size_t length = 0; length < bytes.size(); ++length)
        CHECK_FALSE(decodeStreamOriginMessage(bytes.substr(0, length)).ok());
    CHECK_FALSE(decodeStreamOriginMessage(bytes + "x").ok());
    CHECK_FALSE(decodeStreamOriginMessage("x" + bytes).ok());
    StreamOriginMessage tooLong;
    tooLong.rows.resize(maxStreamOriginRows + 1);
    CHECK_FALSE(decodeStreamOriginMessage(encodeStreamOriginMessage(tooLong)).ok());
    StreamOriginMessage unknown;
    unknown.kind = static_cast<StreamOriginKind>(9);
    CHECK_FALSE(decodeStreamOriginMessage(encodeStreamOriginMessage(unknown)).ok());
}

TEST_CASE("an ask and a reply that knows a version name one stream")
{
    StreamOriginMessage message;
    for (StreamOriginKind kind : { StreamOriginKind::Ask, StreamOriginKind::Reply }) {
        message.kind = kind;
        message.isKnown = true;
        message.rows.clear();
        CHECK_FALSE(decodeStreamOriginMessage(encodeStreamOriginMessage(message)).ok());
        message.rows.resize(2);
        CHECK_FALSE(decodeStreamOriginMessage(encodeStreamOriginMessage(message)).ok());
    }
}

TEST_CASE("a stream origin message with all rows fits into a datagram")
{
    StreamOriginMessage message { StreamOriginKind::Statement, UINT32_MAX, UINT32_MAX, true, UINT64_MAX, {} };
    message.rows.assign(maxStreamOriginRows, { fingerprint(255), UINT64_MAX, UINT32_MAX });
    CHECK(encodeStreamOriginMessage(message).size() <= 1'400);
}
