#include "catkinwing/PeerProtocol/LoadReport.h"

#include <catch2/catch.hpp>

using namespace catkinwing;

TEST_CASE("a load report reads back as it was written, in about twelve bytes an endpoint")
{
    LoadReport report { "entry-1.abcd", 77, {}, {} };
    std::size_t empty = encodeLoadReport(report).size();
    for (std::uint32_t i = 0; i < 32; ++i)
        report.loads.push_back({ endpointHash("i-" + std::to_string(i)), i, i % 3, i % 2 });
    std::string bytes = encodeLoadReport(report);
    CHECK(bytes.size() - empty <= std::size_t { 32 } * 12);
    absl::StatusOr<LoadReport> read = decodeLoadReport(bytes);
    REQUIRE(read.ok());
    CHECK(read->entry == report.entry);
    CHECK(read->sequence == 77);
    REQUIRE(read->loads.size() == 32);
    CHECK(read->loads[31].requests == 31);
    for (std::size_t size = 0; size < bytes.size(); ++size)
        CHECK_FALSE(decodeLoadReport(absl::string_view(bytes).substr(0, size)).ok());
}

TEST_CASE("a load report tells the parts sent, in about twelve bytes each")
{
    LoadReport report { "entry-1.abcd", 77, { { 1, 2, 3, 0 } }, {} };
    std::size_t before = encodeLoadReport(report).size();
    for (std::uint32_t i = 0; i < 32; ++i)
        report.parts.push_back({ endpointHash("i-" + std::to_string(i)), endpointHash("part-" + std::to_string(i)), i });
    std::string bytes = encodeLoadReport(report);
    CHECK(bytes.size() - before <= std::size_t { 32 } * 13);
    absl::StatusOr<LoadReport> read = decodeLoadReport(bytes);
    REQUIRE(read.ok());
    CHECK(read->loads.size() == 1);
    REQUIRE(read->parts.size() == 32);
    CHECK(read->parts[31].place == endpointHash("i-31"));
    CHECK(read->parts[31].part == endpointHash("part-31"));
    CHECK(read->parts[31].kilotokens == 31);
    for (std::size_t size = 0; size < bytes.size(); ++size)
        CHECK_FALSE(decodeLoadReport(absl::string_view(bytes).substr(0, size)).ok());
}

// Guards against entries of earlier releases that refuse reports: without memory, which only services
// with mixed prompts count, the message is as before.
TEST_CASE("a load report states the memory held at endpoints only where there is some")
{
    LoadReport report { "entry-1.abcd", 77, { { 1, 2, 3, 0 }, { 4, 5, 6, 1 } }, {} };
    std::string before = encodeLoadReport(report);
    CHECK(decodeLoadReport(before)->loads[1].heldKilotokens == 0);
    report.loads[1].heldKilotokens = 250;
    std::string bytes = encodeLoadReport(report);
    CHECK(bytes.size() <= before.size() + 12);
    absl::StatusOr<LoadReport> read = decodeLoadReport(bytes);
    REQUIRE(read.ok());
    CHECK(read->parts.empty());
    CHECK(read->loads[0].heldKilotokens == 0);
    CHECK(read->loads[1].heldKilotokens == 250);
    for (std::size_t size = 0; size < bytes.size(); ++size)
        CHECK_FALSE(decodeLoadReport(absl::string_view(bytes).substr(0, size)).ok());
    // An absurd amount is cut, so that sums stay within their range.
    report.loads[1].heldKilotokens = UINT32_MAX;
    CHECK(decodeLoadReport(encodeLoadReport(report))->loads[1].heldKilotokens <= 1'000'000);
}

TEST_CASE("a report that holds what is no count is refused")
{
    CHECK_FALSE(decodeLoadReport("").ok());
    CHECK_FALSE(decodeLoadReport(std::string("\x9b\xfe\x01\x61\x09\x00\x00\x00\x99", 9)).ok());
    CHECK_FALSE(decodeLoadReport(std::string(64'000, '\x81')).ok());
    CHECK_FALSE(decodeLoadReport("\x83\x61\x61\x01\x84\x01\x01\x01\x20").ok());
    CHECK_FALSE(decodeLoadReport("\x83\x61\x61\x01\x82\x01\x01").ok());
    CHECK(decodeLoadReport("\x83\x61\x61\x01\x84\x01\x01\x01\x02").ok());
    CHECK_FALSE(decodeLoadReport("\x84\x61\x61\x01\x84\x01\x01\x01\x02\x82\x01\x01").ok());
    CHECK(decodeLoadReport("\x84\x61\x61\x01\x84\x01\x01\x01\x02\x83\x01\x01\x01").ok());
}
