#include "catkinwing/PeerProtocol/RegionReport.h"

#include "catkinwing/PeerProtocol/LoadReport.h"
#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

TEST_CASE("a region report reads back as it was written, in about 25 bytes a service")
{
    RegionReport report { "north", "entry-1.abcd", 77, {} };
    std::size_t empty = encodeRegionReport(report).size();
    for (std::uint32_t i = 0; i < 16; ++i)
        report.services.push_back({ serviceHash("s-" + std::to_string(i)), 500, 250ms, 20'000us, 60'000us });
    std::string bytes = encodeRegionReport(report);
    CHECK(bytes.size() - empty <= std::size_t { 16 } * 25);
    absl::StatusOr<RegionReport> read = decodeRegionReport(bytes);
    REQUIRE(read.ok());
    CHECK(read->region == "north");
    CHECK(read->entry == report.entry);
    CHECK(read->sequence == 77);
    REQUIRE(read->services.size() == 16);
    CHECK(read->services[15].wait == 250ms);
    CHECK(read->services[15].perKilotoken == 20'000us);
    CHECK(read->services[15].perEvent == 60'000us);
    CHECK(read->services[15].endpoints == 500);
    for (std::size_t size = 0; size < bytes.size(); ++size)
        CHECK_FALSE(decodeRegionReport(absl::string_view(bytes).substr(0, size)).ok());
}

TEST_CASE("neither report is read as the other")
{
    CHECK_FALSE(decodeLoadReport(encodeRegionReport({ "north", "e", 1, {} })).ok());
    CHECK_FALSE(decodeRegionReport(encodeLoadReport({ "e", 1, {} })).ok());
}

TEST_CASE("numbers that are no counts are refused")
{
    CHECK_FALSE(decodeRegionReport("\x84\x61\x61\x61\x62\x01\x85\x01\x01\x01\x01\x20").ok());
    CHECK_FALSE(decodeRegionReport(std::string("\x84\x61\x61\x61\x62\x01\x85\x01\x01\x01\x01\x1b\x00\x00\x00\x01\x00\x00\x00\x00", 20)).ok());
    CHECK(decodeRegionReport("\x84\x61\x61\x61\x62\x01\x85\x01\x01\x01\x01\x02").ok());
}
