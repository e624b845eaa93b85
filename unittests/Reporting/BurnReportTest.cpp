#include "catkinwing/Reporting/BurnReport.h"

#include <catch2/catch.hpp>

using namespace catkinwing;

static ServiceLevelLine line(const std::string& team, std::uint64_t good, std::uint64_t bad)
{
    ServiceLevelLine result { { team, "short" }, 0.9, {} };
    result.windows.fill({ good, bad });
    return result;
}

static BurnReport twoOfThree()
{
    return makeBurnReport({
        { "entry-1", absl::OkStatus(), { line("a", 9, 1), line("<b>", 1, 1) } },
        { "entry-2", absl::OkStatus(), { line("a", 7, 3) } },
        { "entry-3", absl::UnavailableError("connection refused"), {} },
    });
}

TEST_CASE("a report adds up the entries and names the missing ones")
{
    BurnReport report = twoOfThree();
    REQUIRE(report.lines.size() == 2);
    CHECK(report.lines[1].windows[0].total() == 20);
    CHECK(report.lines[1].windows[0].bad == 4);
    REQUIRE(report.missing.size() == 1);
    CHECK(report.missing[0].entry == "entry-3");
}

TEST_CASE("every form of the report shows burn and the missing entry")
{
    BurnReport report = twoOfThree();
    std::string table = renderBurnTable(report);
    CHECK(table.find("2.00") != std::string::npos);
    CHECK(table.find("entry-3 did not answer: connection refused") != std::string::npos);
    nlohmann::json json = renderBurnJson(report);
    CHECK(json["serviceLevels"][1]["windows"][0]["burnRate"] == Approx(2.0));
    CHECK(json["missing"][0]["entry"] == "entry-3");
    std::string html = renderBurnHtml(report);
    CHECK(html.find("entry-3 did not answer") != std::string::npos);
    CHECK(html.find("&lt;b&gt;") != std::string::npos);
    CHECK(html.find("<td><b>") == std::string::npos);
    CHECK(html.find("http") == std::string::npos);
}
