#include "catkinwing/Support/Cbor.h"

#include <catch2/catch.hpp>
#include <string>

using namespace catkinwing;

TEST_CASE("an item reads back, and a part of one doesn't")
{
    nlohmann::json item = { { "list", { 1, -2, 3.5, nullptr, true } }, { "text", "a" } };
    std::string bytes;
    nlohmann::json::to_cbor(item, bytes);
    CHECK(parseCbor(bytes) == item);
    for (std::size_t size = 0; size < bytes.size(); ++size)
        CHECK(parseCbor(absl::string_view(bytes).substr(0, size)).is_discarded());
    CHECK(parseCbor(bytes + "x").is_discarded());
}

TEST_CASE("an array that announces more than there is harms nothing")
{
    // Eight bytes of length, then next to nothing.
    CHECK(parseCbor(std::string("\x9b\xfe\x01\x61\x09\x00\x00\x00\x99", 9)).is_discarded());
    CHECK(parseCbor(std::string("\xbb\xfe\x01\x61\x09\x00\x00\x00\x99", 9)).is_discarded());
    CHECK(parseCbor(std::string("\x9a\x7f\xff\xff\xff\x01", 6)).is_discarded());
}

TEST_CASE("an item as deep as a datagram is long harms nothing")
{
    CHECK(parseCbor(std::string(64'000, '\x81')).is_discarded());
    CHECK(parseCbor(std::string(1'000'000, '\x9f')).is_discarded());
    CHECK(parseCbor(std::string(10, '\x81') + "\x01").is_array());
}
