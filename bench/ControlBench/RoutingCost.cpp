// Measures what a routing decision costs, by the number of endpoints in the
// cell: time of a choice, time of taking it into the views, and memory of the
// prefix index. The cell is one where every endpoint serves every model, which is
// the dearest case. Hashing the prompt is not included.

#include "catkinwing/Routing/Forwarding.h"
#include "catkinwing/Routing/Placement.h"
#include "catkinwing/Routing/PlacementExplanation.h"
#include "catkinwing/Support/Hash.h"
#include <algorithm>
#include <cstdio>
#include <cxxopts.hpp>
#include <map>
#include <string>

using namespace catkinwing;

namespace {

constexpr std::size_t teamCount = 330;
constexpr std::size_t modelCount = 4;
constexpr std::size_t sessionsPerTeam = 40;
constexpr std::size_t teamBlocks = 8;
constexpr std::size_t longBlocks = 200;
constexpr double tokensPerBlock = 64;
constexpr unsigned slotsPerEndpoint = 16;
constexpr double prefillSpeed = 10000;
/// Prefill work arrives at this part of what the endpoints can do, taking the
/// mean prompt as computed in full.
constexpr double utilisation = 0.8;
constexpr double meanPromptTokens = 2300;
constexpr Duration decodeTime = std::chrono::seconds(2);
constexpr Duration reportInterval = std::chrono::milliseconds(500);

struct Options {
    std::size_t decisions { 0 };
    std::uint64_t seed { 0 };
    RoutingPolicy policy;
};

/// Times of one kind of step.
class Samples {
public:
    explicit Samples(std::size_t expected) { m_nanoseconds.reserve(expected); }
    void add(Duration span) { m_nanoseconds.push_back(std::chrono::duration_cast<std::chrono::nanoseconds>(span).count()); }
    long long quantile(double fraction)
    {
        auto place = static_cast<std::ptrdiff_t>(fraction * static_cast<double>(m_nanoseconds.size() - 1));
        std::nth_element(m_nanoseconds.begin(), m_nanoseconds.begin() + place, m_nanoseconds.end());
        return m_nanoseconds[static_cast<std::size_t>(place)];
    }

private:
    std::vector<long long> m_nanoseconds;
};

struct InFlight {
    EndpointHandle endpoint;
    double prefillTokens;
};

/// A cell under steady load, and the requests of its teams.
class LoadedCell {
public:
    LoadedCell(std::size_t endpoints, const Options& options)
        : m_policy(options.policy)
        , m_cell("region", "zone")
        , m_random(options.seed)
        , m_interval(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(meanPromptTokens / (static_cast<double>(endpoints) * prefillSpeed * utilisation))))
    {
        for (std::size_t i = 0; i < endpoints; ++i)
            m_cell.upsert(makeEndpoint(i));
    }

    RoutingRequest makeRequest();
    void advance();
    /// Takes a report of each endpoint where one is due.
    void reportLoad();
    const CellView& cell() const { return m_cell; }
    const PrefixIndex& prefixes() const { return m_prefixes; }
    const RoutingPolicy& policy() const { return m_policy; }
    Random& random() { return m_random; }
    TimePoint now() const { return m_now; }
    void take(const RoutingRequest& request, const Placement& placement);

private:
    static EndpointView makeEndpoint(std::size_t number);

    RoutingPolicy m_policy;
    CellView m_cell;
    PrefixIndex m_prefixes;
    Random m_random;
    Duration m_interval;
    std::multimap<TimePoint, InFlight> m_firstTokens;
    std::multimap<TimePoint, EndpointHandle> m_endings;
    TimePoint m_nextReport {};
    TimePoint m_now { std::chrono::hours(1) };
};

} // namespace

EndpointView LoadedCell::makeEndpoint(std::size_t number)
{
    EndpointView endpoint;
    endpoint.name = "endpoint-" + std::to_string(number);
    endpoint.zone = "zone";
    endpoint.incarnation = "1";
    for (std::size_t model = 0; model < modelCount; ++model)
        endpoint.models.push_back("model-" + std::to_string(model));
    endpoint.adapters = { "adapter-" + std::to_string(number % modelCount) };
    endpoint.slots = slotsPerEndpoint;
    endpoint.credits = slotsPerEndpoint;
    endpoint.prefillTokensPerSecond = prefillSpeed;
    return endpoint;
}

RoutingRequest LoadedCell::makeRequest()
{
    std::uint64_t team = m_random.below(teamCount);
    std::uint64_t session = m_random.below(sessionsPerTeam);
    bool isLong = session == 0;
    std::size_t blocks = isLong ? longBlocks : teamBlocks + 4 + session;
    RoutingRequest request;
    request.model = "model-" + std::to_string(team % modelCount);
    request.adapter = team % 3 == 0 ? "adapter-" + std::to_string(team % modelCount) : "";
    request.residency = Residency::within({ "region" });
    request.promptTokens = static_cast<double>(blocks) * tokensPerBlock;
    std::vector<std::uint64_t> hashes;
    hashes.reserve(blocks);
    std::uint64_t chain = team;
    for (std::size_t block = 0; block < blocks; ++block) {
        if (block == teamBlocks)
            chain ^= (session + 1) << 32;
        chain = stableHash("block", chain);
        hashes.push_back(chain);
    }
    request.prefixHashes = scopedPrefixHashes(hashes, request.model, request.adapter);
    return request;
}

void LoadedCell::take(const RoutingRequest& request, const Placement& placement)
{
    m_cell.recordDispatch(placement.endpoint, placement.prefillTokens, m_now);
    m_prefixes.recordDispatch(placement.endpoint, request.prefixHashes);
    TimePoint firstToken = m_now + placement.predictedTimeToFirstToken;
    m_firstTokens.emplace(firstToken, InFlight { placement.endpoint, placement.prefillTokens });
    m_endings.emplace(firstToken + decodeTime, placement.endpoint);
}

void LoadedCell::advance()
{
    m_now += m_interval;
    while (!m_firstTokens.empty() && m_firstTokens.begin()->first <= m_now) {
        const InFlight& begun = m_firstTokens.begin()->second;
        m_cell.recordFirstToken(begun.endpoint, begun.prefillTokens);
        m_firstTokens.erase(m_firstTokens.begin());
    }
    while (!m_endings.empty() && m_endings.begin()->first <= m_now) {
        m_cell.recordRequestEnded(m_endings.begin()->second, m_endings.begin()->first);
        m_endings.erase(m_endings.begin());
    }
}

void LoadedCell::reportLoad()
{
    if (m_now < m_nextReport)
        return;
    m_nextReport = m_now + reportInterval;
    for (EndpointHandle handle = 0; handle < m_cell.handleLimit(); ++handle) {
        unsigned running = m_cell.endpoint(handle).ownInFlight;
        m_cell.recordReport(handle, { m_now - reportInterval, running, 0, m_random.unit() * meanPromptTokens });
    }
}

/// Time by which the choice's prediction is above the best of all endpoints.
static Duration regretOf(const LoadedCell& loaded, const RoutingRequest& request, const Placement& placement)
{
    PlacementExplanation all = explainPlacement(request, loaded.cell(), loaded.prefixes(), loaded.policy(), loaded.now());
    return placement.predictedTimeToFirstToken - all.candidates.front().terms.total;
}

static void measure(std::size_t endpoints, const Options& options)
{
    constexpr std::size_t warmUp = 20000;
    constexpr std::size_t stepsPerRegret = 100;
    LoadedCell loaded(endpoints, options);
    Samples choices(options.decisions);
    Samples updates(options.decisions);
    Duration regret { 0 };
    std::size_t regrets = 0;
    double hits = 0;
    double tokens = 0;
    for (std::size_t step = 0; step < warmUp + options.decisions; ++step) {
        loaded.reportLoad();
        RoutingRequest request = loaded.makeRequest();
        TimePoint before = std::chrono::steady_clock::now();
        PlacementResult result = choosePlacement(request, loaded.cell(), loaded.prefixes(), loaded.policy(), loaded.random(), loaded.now());
        TimePoint between = std::chrono::steady_clock::now();
        const auto* placement = std::get_if<Placement>(&result);
        if (placement && step >= warmUp && step % stepsPerRegret == 0) {
            regret += regretOf(loaded, request, *placement);
            regrets += 1;
        }
        TimePoint beforeUpdate = std::chrono::steady_clock::now();
        if (placement)
            loaded.take(request, *placement);
        TimePoint after = std::chrono::steady_clock::now();
        loaded.advance();
        if (step < warmUp)
            continue;
        choices.add(between - before);
        updates.add(after - beforeUpdate);
        hits += placement ? placement->cachedTokens : 0;
        tokens += request.promptTokens;
    }
    const PrefixIndex& prefixes = loaded.prefixes();
    double meanRegret = std::chrono::duration<double, std::milli>(regret).count() / static_cast<double>(std::max<std::size_t>(regrets, 1));
    std::printf("%9zu %10lld %8lld %10lld %8lld %9.2f %6.3f %8zu %11.1f %8.2f\n", endpoints, choices.quantile(0.5), choices.quantile(0.99),
        updates.quantile(0.5), updates.quantile(0.99), meanRegret, hits / tokens, prefixes.size(),
        static_cast<double>(prefixes.memoryBytes()) / static_cast<double>(prefixes.size()), static_cast<double>(prefixes.memoryBytes()) / 1e6);
}

static void measureForward(std::size_t cellCount, const Options& options)
{
    Random random(options.seed);
    TimePoint now { std::chrono::hours(1) };
    std::vector<RemoteCellView> cells(cellCount);
    for (std::size_t i = 0; i < cellCount; ++i) {
        cells[i].zone = "zone-" + std::to_string(i);
        cells[i].region = "region-" + std::to_string(i / 3);
        cells[i].digestAt = now;
        for (std::size_t model = 0; model < modelCount; ++model)
            cells[i].models["model-" + std::to_string(model)] = { 20, std::chrono::milliseconds(random.below(900)), 10000, 0 };
    }
    ForwardPolicy policy;
    ForwardState state;
    RoutingRequest request;
    request.model = "model-1";
    request.residency = Residency::unrestricted();
    Samples samples(options.decisions);
    for (std::size_t step = 0; step < options.decisions; ++step) {
        TimePoint before = std::chrono::steady_clock::now();
        decideForward({ request, "zone-0", "region-0", std::chrono::milliseconds(random.below(2000)), cells, policy, now }, state, random);
        samples.add(std::chrono::steady_clock::now() - before);
    }
    std::printf("forward decision with %zu cells: %lld ns median, %lld ns p99\n", cellCount, samples.quantile(0.5), samples.quantile(0.99));
}

static int run(int argc, char** argv)
{
    RoutingPolicy defaults;
    cxxopts::Options arguments("RoutingCost", "Measures the cost of routing decisions");
    auto sizeOption = [](std::size_t value) { return cxxopts::value<std::size_t>()->default_value(std::to_string(value)); };
    cxxopts::OptionAdder add = arguments.add_options();
    add("decisions", "Decisions to measure at each size", sizeOption(20000));
    add("seed", "Seed of the load", sizeOption(1));
    add("score-all-up-to", "Open endpoints that are all scored", sizeOption(defaults.scoreAllUpTo));
    add("sampled-holders", "Holders of the prefix in a sample", sizeOption(defaults.sampledHolders));
    add("sampled-others", "Endpoints drawn into a sample", sizeOption(defaults.sampledOthers));
    cxxopts::ParseResult parsed = arguments.parse(argc, argv);
    Options options;
    options.decisions = parsed["decisions"].as<std::size_t>();
    options.seed = parsed["seed"].as<std::size_t>();
    options.policy.scoreAllUpTo = parsed["score-all-up-to"].as<std::size_t>();
    options.policy.sampledHolders = parsed["sampled-holders"].as<std::size_t>();
    options.policy.sampledOthers = parsed["sampled-others"].as<std::size_t>();
    std::printf("seed %llu, %zu decisions at each size, %zu teams\n", static_cast<unsigned long long>(options.seed), options.decisions, teamCount);
    std::printf("endpoints  choice_ns      p99  update_ns      p99 regret_ms   hits   blocks bytes/block MB_index\n");
    for (std::size_t endpoints : { 50, 200, 500, 1000, 2000 })
        measure(endpoints, options);
    constexpr std::size_t zonesAtTarget = 60;
    measureForward(zonesAtTarget, options);
    return 0;
}

int main(int argc, char** argv)
{
    try {
        return run(argc, argv);
    } catch (const cxxopts::exceptions::exception& fault) {
        std::fprintf(stderr, "RoutingCost: %s\n", fault.what());
        return 2;
    }
}
