#include "catkinwing/Reporting/Metrics.h"

#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

TEST_CASE("metrics are rendered with their labels")
{
    Metrics metrics;
    metrics.countRequest("fitters", "short", "completed");
    metrics.count("retries", 2);
    metrics.set("queue_length", 3);
    metrics.observeFirstToken("short", 300ms);
    metrics.observeStage("attempt", "desk", 40ms);
    std::string text = metrics.render();
    CHECK(text.find("catkinwing_stage_seconds_count{service=\"desk\",stage=\"attempt\"} 1") != std::string::npos);
    CHECK(text.find("catkinwing_requests_total{class=\"short\",outcome=\"completed\",team=\"fitters\"} 1") != std::string::npos);
    CHECK(text.find("catkinwing_events_total{event=\"retries\"} 2") != std::string::npos);
    CHECK(text.find("catkinwing_state{name=\"queue_length\"} 3") != std::string::npos);
    CHECK(text.find("le=\"0.5\"} 1") != std::string::npos);
    CHECK(text.find("le=\"0.25\"} 0") != std::string::npos);
}
