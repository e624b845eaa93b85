#include "catkinwing/Ingress/PeerLoads.h"

#include <catch2/catch.hpp>

using namespace catkinwing;
using namespace std::chrono_literals;

TEST_CASE("loads of entries add up, a later report replaces an earlier one, and stale reports expire")
{
    PeerLoads loads;
    TimePoint now { 10s };
    loads.update({ "a", 1, { { 7, 3, 2, 0 }, { 8, 1, 0, 0 } } }, now);
    loads.update({ "b", 5, { { 7, 2, 0, 0 } } }, now);
    CHECK(loads.sumFor(7).requests == 5);
    CHECK(loads.sumFor(7).unreadKilotokens == 2);
    loads.update({ "a", 3, { { 7, 1, 0, 0 } } }, now + 200ms);
    CHECK(loads.sumFor(7).requests == 3);
    CHECK(loads.sumFor(8).requests == 0);
    loads.update({ "a", 2, { { 7, 50, 0, 0 } } }, now + 200ms);
    CHECK(loads.sumFor(7).requests == 3);
    loads.expire(now + 1'100ms);
    CHECK(loads.sumFor(7).requests == 1);
    loads.expire(now + 2s);
    CHECK(loads.sumFor(7).requests == 0);
    CHECK(loads.entryCount() == 0);
}

TEST_CASE("sums stay correct over many reports of many entries")
{
    PeerLoads loads;
    TimePoint now { 10s };
    std::vector<LoadReport> last(40);
    for (std::uint64_t round = 1; round <= 50; ++round) {
        for (std::size_t entry = 0; entry < last.size(); ++entry) {
            LoadReport report { "entry-" + std::to_string(entry), round, {} };
            for (std::uint32_t endpoint = 0; endpoint < 30; ++endpoint) {
                auto requests = static_cast<std::uint32_t>((entry + round * endpoint) % 4);
                if (requests > 0)
                    report.loads.push_back({ endpoint, requests, requests / 2, 0 });
            }
            last[entry] = report;
            loads.update(std::move(report), now);
        }
        for (std::uint32_t endpoint = 0; endpoint < 30; ++endpoint) {
            std::uint32_t sum = 0;
            for (const LoadReport& report : last) {
                for (const EndpointWorkload& load : report.loads)
                    sum += load.endpoint == endpoint ? load.requests : 0;
            }
            CHECK(loads.sumFor(endpoint).requests == sum);
        }
    }
}
