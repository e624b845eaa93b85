#include "catkinwing/PeerProtocol/WorkspaceReport.h"

#include <catch2/catch.hpp>

using namespace catkinwing;

TEST_CASE("a workspace report comes back as it was encoded")
{
    absl::StatusOr<WorkspaceReport> decoded = decodeWorkspaceReport(encodeWorkspaceReport({ "entry", 7, { { 0xfedcba98, 0x123456789abcdef0, 4'000, 1'500, 70 }, { 1, 0, 0, 0, 0 } } }));
    REQUIRE(decoded.ok());
    CHECK(decoded->entry == "entry");
    CHECK(decoded->sequence == 7);
    REQUIRE(decoded->rows.size() == 2);
    CHECK(decoded->rows[0].service == 0xfedcba98);
    CHECK(decoded->rows[0].workspace == 0x123456789abcdef0);
    CHECK(decoded->rows[0].requested == 4'000);
    CHECK(decoded->rows[0].admitted == 1'500);
    CHECK(decoded->rows[0].late == 70);
    CHECK(decoded->rows[1].workspace == 0);
}

// Guards against a wrong report that takes the shares of other workspaces.
TEST_CASE("bytes that are no workspace report, and absurd rates, are refused")
{
    std::string bytes = encodeWorkspaceReport({ "entry", 7, { { 1, 2, 30, 20 } } });
    for (std::size_t length = 0; length < bytes.size(); ++length)
        CHECK_FALSE(decodeWorkspaceReport(bytes.substr(0, length)).ok());
    CHECK_FALSE(decodeWorkspaceReport(bytes + "x").ok());
    CHECK_FALSE(decodeWorkspaceReport("x" + bytes).ok());
    CHECK_FALSE(decodeWorkspaceReport(encodeWorkspaceReport({ "entry", 7, { { 1, 2, 30, 31 } } })).ok());
    CHECK_FALSE(decodeWorkspaceReport(encodeWorkspaceReport({ "entry", 7, { { 1, 2, 4'000'000'000, 0 } } })).ok());
    CHECK_FALSE(decodeWorkspaceReport(encodeWorkspaceReport({ std::string(1'000, 'e'), 7, {} })).ok());
    WorkspaceReport tooLong;
    tooLong.rows.resize(maxWorkspaceRows + 1);
    CHECK_FALSE(decodeWorkspaceReport(encodeWorkspaceReport(tooLong)).ok());
}

TEST_CASE("a workspace report with all rows stays below 600 bytes")
{
    WorkspaceReport report { "cafe01234567/entry-0123456789", UINT64_MAX, {} };
    report.rows.assign(maxWorkspaceRows, { UINT32_MAX, UINT64_MAX, 1'000'000'000, 1'000'000'000, 1'000'000'000 });
    CHECK(encodeWorkspaceReport(report).size() < 600);
}
