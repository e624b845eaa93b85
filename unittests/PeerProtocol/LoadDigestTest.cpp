#include "catkinwing/PeerProtocol/LoadDigest.h"

#include <catch2/catch.hpp>

using namespace catkinwing;

TEST_CASE("a load digest reads back as it was written, in about fifteen bytes an endpoint")
{
    LoadDigest digest { "zone/0", "entry-1.abcd", 77, {}, {} };
    std::size_t empty = encodeLoadDigest(digest).size();
    for (std::uint32_t i = 0; i < 200; ++i)
        digest.loads.push_back({ endpointHash("i-" + std::to_string(i)), i, i % 30, i % 2, i % 100 });
    std::string bytes = encodeLoadDigest(digest);
    CHECK(bytes.size() - empty <= std::size_t { 200 } * 15);
    digest.parts.push_back({ 1, 2, 3 });
    bytes = encodeLoadDigest(digest);
    absl::StatusOr<LoadDigest> read = decodeLoadDigest(bytes);
    REQUIRE(read.ok());
    CHECK(read->group == "zone/0");
    CHECK(read->collector == digest.collector);
    CHECK(read->sequence == 77);
    REQUIRE(read->loads.size() == 200);
    CHECK(read->loads[199].requests == 199);
    CHECK(read->loads[199].users == 99);
    REQUIRE(read->parts.size() == 1);
    CHECK(read->parts[0].kilotokens == 3);
    for (std::size_t size = 0; size < bytes.size(); ++size)
        CHECK_FALSE(decodeLoadDigest(absl::string_view(bytes).substr(0, size)).ok());
}

TEST_CASE("a load digest states the memory held at endpoints only where there is some")
{
    LoadDigest digest { "zone/0", "entry-1.abcd", 77, { { 1, 2, 3, 0, 1 }, { 4, 5, 6, 1, 2 } }, { { 1, 2, 3 } } };
    std::string before = encodeLoadDigest(digest);
    digest.loads[0].heldKilotokens = 90;
    std::string bytes = encodeLoadDigest(digest);
    CHECK(bytes.size() <= before.size() + 12);
    absl::StatusOr<LoadDigest> read = decodeLoadDigest(bytes);
    REQUIRE(read.ok());
    CHECK(read->loads[0].heldKilotokens == 90);
    CHECK(read->loads[1].heldKilotokens == 0);
    CHECK(read->parts.size() == 1);
    for (std::size_t size = 0; size < bytes.size(); ++size)
        CHECK_FALSE(decodeLoadDigest(absl::string_view(bytes).substr(0, size)).ok());
}

TEST_CASE("neither a report nor what holds no counts is a digest, nor a digest a report")
{
    CHECK_FALSE(decodeLoadDigest("").ok());
    CHECK_FALSE(decodeLoadDigest(encodeLoadReport({ "entry", 1, { { 1, 2, 3, 0 } }, { { 1, 2, 3 } } })).ok());
    CHECK_FALSE(decodeLoadDigest("\x85\x60\x60\x01\x81\x01\x80").ok());
    CHECK_FALSE(decodeLoadDigest("\x85\x60\x60\x01\x80\x83\x01\x01\x20").ok());
    CHECK(decodeLoadDigest("\x85\x60\x60\x01\x80\x80").ok());
    CHECK_FALSE(decodeLoadReport(encodeLoadDigest({ "", "entry", 1, {}, {} })).ok());
}
