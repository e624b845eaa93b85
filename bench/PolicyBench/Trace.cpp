#include "Trace.h"

#include "catkinwing/Support/Hash.h"
#include "catkinwing/Support/Random.h"
#include <absl/container/flat_hash_set.h>
#include <algorithm>
#include <cmath>
#include <istream>
#include <nlohmann/json.hpp>
#include <ostream>

namespace catkinwing::bench {

using Seconds = std::chrono::duration<double>;

static double rateAt(const LoadPlan& load, double second)
{
    for (const RatePhase& phase : load.phases) {
        if (second >= Seconds(phase.from).count() && second < Seconds(phase.until).count())
            return phase.perSecond;
    }
    return load.perSecond;
}

/// Draws from \p mean times one half to one and a half.
static unsigned around(double mean, Random& random)
{
    return static_cast<unsigned>(std::max(1.0, std::round(mean * (0.5 + random.unit()))));
}

static TraceRequest makeRequest(const Scenario& scenario, const LoadPlan& load, double second, Random& random)
{
    TraceRequest request;
    request.at = std::chrono::duration_cast<std::chrono::microseconds>(Seconds(second));
    request.zone = load.zone;
    request.team = load.team;
    request.requestClass = load.requestClass;
    request.teamBlocks = load.teamBlocks;
    request.sessionBlocks = static_cast<unsigned>(load.sessionBlocks);
    const ZonePlan& zone = *std::find_if(scenario.zones.begin(), scenario.zones.end(), [&](const ZonePlan& plan) { return plan.name == load.zone; });
    if (load.sessions > 0) {
        // Squaring makes some sessions more frequent than others.
        double draw = random.unit();
        auto session = static_cast<std::size_t>(draw * draw * static_cast<double>(load.sessions));
        request.session = load.team + "-" + zone.region + "-" + load.requestClass + "-" + std::to_string(session);
    }
    if (random.unit() < load.homePart)
        request.home = zone.region;
    request.tailTokens = around(load.tailTokens, random);
    request.outputTokens = around(load.outputTokens, random);
    request.idempotent = random.unit() >= load.nonIdempotentPart;
    return request;
}

std::vector<TraceRequest> generateTrace(const Scenario& scenario, std::uint64_t seed)
{
    std::vector<TraceRequest> trace;
    double end = Seconds(scenario.length).count();
    for (std::size_t i = 0; i < scenario.loads.size(); ++i) {
        const LoadPlan& load = scenario.loads[i];
        Random random(seed * 1000 + i);
        double highest = load.perSecond;
        for (const RatePhase& phase : load.phases)
            highest = std::max(highest, phase.perSecond);
        // A Poisson process by thinning one of the highest rate.
        double second = 0;
        while (highest > 0) {
            second -= std::log(1 - random.unit()) / highest;
            if (second >= end)
                break;
            if (random.unit() * highest < rateAt(load, second))
                trace.push_back(makeRequest(scenario, load, second, random));
        }
    }
    std::stable_sort(trace.begin(), trace.end(), [](const TraceRequest& a, const TraceRequest& b) { return a.at < b.at; });
    return trace;
}

void writeTrace(std::ostream& out, const std::vector<TraceRequest>& trace)
{
    for (const TraceRequest& request : trace) {
        nlohmann::json line = { { "atMicroseconds", request.at.count() }, { "zone", request.zone }, { "team", request.team },
            { "class", request.requestClass }, { "session", request.session }, { "home", request.home },
            { "teamBlocks", request.teamBlocks }, { "sessionBlocks", request.sessionBlocks }, { "tailTokens", request.tailTokens },
            { "outputTokens", request.outputTokens }, { "idempotent", request.idempotent } };
        out << line.dump() << '\n';
    }
}

std::vector<TraceRequest> readTrace(std::istream& in)
{
    std::vector<TraceRequest> trace;
    std::string line;
    while (std::getline(in, line)) {
        if (line.empty())
            continue;
        nlohmann::json json = nlohmann::json::parse(line);
        TraceRequest request;
        request.at = std::chrono::microseconds(json.at("atMicroseconds").get<std::int64_t>());
        request.zone = json.at("zone");
        request.team = json.at("team");
        request.requestClass = json.at("class");
        request.session = json.value("session", "");
        request.home = json.value("home", "");
        request.teamBlocks = json.value("teamBlocks", 0U);
        request.sessionBlocks = json.value("sessionBlocks", 0U);
        request.tailTokens = json.at("tailTokens");
        request.outputTokens = json.at("outputTokens");
        request.idempotent = json.value("idempotent", true);
        trace.push_back(std::move(request));
    }
    return trace;
}

std::vector<std::uint64_t> blockHashes(const TraceRequest& traced)
{
    std::vector<std::uint64_t> hashes;
    std::uint64_t chain = stableHash(traced.team);
    for (unsigned i = 0; i < traced.teamBlocks; ++i)
        hashes.push_back(chain = stableHash("team", chain));
    chain = stableHash(traced.session, chain);
    for (unsigned i = 0; i < traced.sessionBlocks; ++i)
        hashes.push_back(chain = stableHash("session", chain));
    return hashes;
}

double promptTokens(const TraceRequest& traced, double tokensPerBlock)
{
    return (traced.teamBlocks + traced.sessionBlocks) * tokensPerBlock + traced.tailTokens;
}

double idealHitRatio(const Scenario& scenario, const std::vector<TraceRequest>& trace)
{
    std::map<std::string, absl::flat_hash_set<std::uint64_t>> seenByRegion;
    double hits = 0;
    double all = 0;
    for (const TraceRequest& traced : trace) {
        const ZonePlan& zone = *std::find_if(scenario.zones.begin(), scenario.zones.end(), [&](const ZonePlan& plan) { return plan.name == traced.zone; });
        absl::flat_hash_set<std::uint64_t>& seen = seenByRegion[zone.region];
        all += promptTokens(traced, scenario.engine.tokensPerBlock);
        for (std::uint64_t hash : blockHashes(traced))
            hits += seen.insert(hash).second ? 0 : scenario.engine.tokensPerBlock;
    }
    return all > 0 ? hits / all : 0;
}

} // namespace catkinwing::bench
