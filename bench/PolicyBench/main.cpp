// Replays traces over the decision functions and over baselines, and prints the
// figures by which the policy is judged.

#include "Driver.h"
#include "Plots.h"
#include <cstdio>
#include <cxxopts.hpp>
#include <fstream>
#include <functional>
#include <iostream>

using namespace catkinwing;
using namespace catkinwing::bench;

static Duration milliseconds(double value)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(value));
}

/// Sets one constant of the policy by name, for experiments.
static void setConstant(PolicySettings& policy, const std::string& name, double value)
{
    using Setter = std::function<void(PolicySettings&, double)>;
    static const std::map<std::string, Setter> setters {
        { "batchSlowdown", [](PolicySettings& p, double v) { p.routing.batchSlowdown = v; } },
        { "nearBestFraction", [](PolicySettings& p, double v) { p.routing.nearBestFraction = v; } },
        { "nearBestTokens", [](PolicySettings& p, double v) { p.routing.nearBestTokens = v; } },
        { "nearBestPerReportAge", [](PolicySettings& p, double v) { p.routing.nearBestPerReportAge = v; } },
        { "zoneThresholdMs", [](PolicySettings& p, double v) { p.forwarding.zoneThreshold = milliseconds(v); } },
        { "regionThresholdMs", [](PolicySettings& p, double v) { p.forwarding.regionThreshold = milliseconds(v); } },
        { "sharePenalty", [](PolicySettings& p, double v) { p.forwarding.sharePenalty = v; } },
        { "targetShare", [](PolicySettings& p, double v) { p.forwarding.targetShare = v; } },
        { "keepFactor", [](PolicySettings& p, double v) { p.forwarding.keepFactor = v; } },
        { "maxDigestAgeMs", [](PolicySettings& p, double v) { p.forwarding.maxDigestAge = milliseconds(v); } },
        { "shareWindowMs", [](PolicySettings& p, double v) { p.forwarding.shareWindow = milliseconds(v); } },
        { "dispatchedWeight", [](PolicySettings& p, double v) { p.prefixes.dispatchedWeight = v; } },
        { "gapFactor", [](PolicySettings& p, double v) { p.prefixes.gapFactor = v; } },
        { "latencyFactor", [](PolicySettings& p, double v) { p.outliers.latencyFactor = v; } },
        { "consecutiveErrors", [](PolicySettings& p, double v) { p.outliers.consecutiveErrors = static_cast<unsigned>(v); } },
        { "minimumOutcomes", [](PolicySettings& p, double v) { p.outliers.minimumOutcomes = static_cast<unsigned>(v); } },
        { "outlierSmoothing", [](PolicySettings& p, double v) { p.outliers.smoothing = v; } },
        { "slowStartMs", [](PolicySettings& p, double v) { p.slowStart.window = p.forwarding.slowStart.window = milliseconds(v); } },
        { "rateSmoothingMs", [](PolicySettings& p, double v) { p.shares.rateSmoothing = milliseconds(v); } },
        { "creditWindowMs", [](PolicySettings& p, double v) { p.shares.maxCompensationTime = milliseconds(v); } },
        { "maxReserve", [](PolicySettings& p, double v) { p.reservation.maxReserve = v; } },
        { "minReserve", [](PolicySettings& p, double v) { p.reservation.minReserve = v; } },
    };
    auto setter = setters.find(name);
    if (setter == setters.end())
        throw std::invalid_argument("no constant is named " + name);
    setter->second(policy, value);
}

static std::vector<PolicySettings> allPolicies(const std::vector<std::string>& constants)
{
    PolicySettings ours;
    ours.name = "ours";
    // As the daemon sets them from the defaults of the global document.
    ours.forwarding.regionThreshold = std::chrono::milliseconds(150);
    ours.forwarding.targetShare = 0.1;
    ours.forwarding.maxDigestAge = std::chrono::seconds(40);
    for (const std::string& constant : constants) {
        std::size_t equals = constant.find('=');
        if (equals == std::string::npos)
            throw std::invalid_argument("expected NAME=VALUE instead of " + constant);
        setConstant(ours, constant.substr(0, equals), std::stod(constant.substr(equals + 1)));
    }
    std::vector<PolicySettings> policies { ours };
    for (auto [name, algorithm] : { std::pair { "round-robin", RoutingAlgorithm::RoundRobin }, { "least-in-flight", RoutingAlgorithm::LeastInFlight }, { "power-of-two", RoutingAlgorithm::PowerOfTwoChoices } }) {
        PolicySettings baseline;
        baseline.name = name;
        baseline.ours = false;
        baseline.routing.algorithm = algorithm;
        policies.push_back(baseline);
    }
    return policies;
}

/// What one scenario came to.
struct ScenarioResult {
    nlohmann::json figures;
    std::vector<PlotLine> tails;
    std::vector<PlotLine> distributions;
};

static PlotLine distributionOf(const std::string& name, const std::vector<double>& sorted)
{
    constexpr int points = 100;
    PlotLine line { name, {} };
    if (sorted.empty())
        return line;
    for (int i = 0; i <= points; ++i) {
        auto place = static_cast<std::size_t>(static_cast<double>(sorted.size() - 1) * i / points);
        line.points.emplace_back(sorted[place], i);
    }
    return line;
}

static PlotLine tailOf(const std::string& name, const std::vector<double>& tails)
{
    PlotLine line { name, {} };
    for (std::size_t i = 0; i < tails.size(); ++i)
        line.points.emplace_back(static_cast<double>(i) * 10, tails[i]);
    return line;
}

static void printRow(const std::string& policy, const nlohmann::json& figures)
{
    const nlohmann::json& question = figures["classes"]["question"];
    double reviewTail = figures["classes"].contains("review") ? figures["classes"]["review"]["p99Ms"].get<double>() : 0;
    std::size_t refused = 0;
    std::size_t lost = 0;
    for (const auto& [name, group] : figures["classes"].items()) {
        refused += group["refused"].get<std::size_t>();
        lost += group["timedOut"].get<std::size_t>() + group["failed"].get<std::size_t>();
    }
    const nlohmann::json& worst = figures["shortfall"]["worst"];
    std::printf("  %-16s %7.0f %7.0f %7.0f %8.0f %7.3f %6.3f %6.3f %9s %6.3f %6.3f %7zu %6zu\n", policy.c_str(), figures["costPerAnswer"].get<double>(),
        question["p50Ms"].get<double>(), question["p99Ms"].get<double>(), reviewTail, question["onTimePart"].get<double>(), figures["shareToRegions"].get<double>(),
        figures["shareToZones"].get<double>(), worst.is_null() ? "-" : std::to_string(worst.get<double>()).substr(0, 5).c_str(),
        figures["retryAmplification"].get<double>(), figures["hitRatio"].get<double>(), refused, lost);
}

static ScenarioResult runScenario(const Scenario& scenario, const std::vector<PolicySettings>& policies, const std::vector<TraceRequest>& trace, std::uint64_t seed)
{
    double ideal = idealHitRatio(scenario, trace);
    std::printf("%s (%zu requests, seed %llu, ideal hit ratio %.3f)\n", scenario.name.c_str(), trace.size(), static_cast<unsigned long long>(seed), ideal);
    std::printf("  %-16s %7s %7s %7s %8s %7s %6s %6s %9s %6s %6s %7s %6s\n", "policy", "cost", "q p50", "q p99", "rev p99", "ontime", "away", "zones", "shortfall", "retry", "hits", "refused", "lost");
    ScenarioResult result;
    result.figures["idealHitRatio"] = ideal;
    for (const PolicySettings& policy : policies) {
        Driver driver(scenario, policy, seed);
        const Measures& measures = driver.run(trace);
        nlohmann::json figures = measures.figures();
        printRow(policy.name, figures);
        result.figures[policy.name] = std::move(figures);
        result.tails.push_back(tailOf(policy.name, measures.shortTailByTime()));
        result.distributions.push_back(distributionOf(policy.name, measures.shortTimes()));
    }
    return result;
}

static void writePlots(const std::string& folder, const std::string& scenario, const ScenarioResult& result)
{
    Plot tails { scenario + ": p99 of questions by time of arrival", "seconds", "ms to first token", false, true, result.tails };
    std::ofstream(folder + "/" + scenario + "-tail.svg") << toSvg(tails);
    Plot distribution { scenario + ": questions by time to first token", "ms to first token", "percent", true, false, result.distributions };
    std::ofstream(folder + "/" + scenario + "-distribution.svg") << toSvg(distribution);
}

static std::vector<TraceRequest> traceOf(const Scenario& scenario, const cxxopts::ParseResult& arguments)
{
    if (!arguments.count("trace"))
        return generateTrace(scenario, arguments["seed"].as<std::uint64_t>());
    std::ifstream in(arguments["trace"].as<std::string>());
    if (!in)
        throw std::invalid_argument("can't read the trace");
    return readTrace(in);
}

template <typename Named>
static std::vector<Named> select(std::vector<Named> all, const std::string& name)
{
    if (name == "all")
        return all;
    all.erase(std::remove_if(all.begin(), all.end(), [&](const Named& one) { return one.name != name; }), all.end());
    if (all.empty())
        throw std::invalid_argument("nothing is named " + name);
    return all;
}

static int run(const cxxopts::ParseResult& arguments)
{
    auto seed = arguments["seed"].as<std::uint64_t>();
    std::vector<std::string> constants = arguments.count("set") ? arguments["set"].as<std::vector<std::string>>() : std::vector<std::string> {};
    std::vector<PolicySettings> policies = select(allPolicies(constants), arguments["policy"].as<std::string>());
    nlohmann::json report;
    for (Scenario& scenario : select(allScenarios(), arguments["scenario"].as<std::string>())) {
        if (arguments.count("seconds"))
            scenario.length = std::chrono::seconds(arguments["seconds"].as<int>());
        std::vector<TraceRequest> trace = traceOf(scenario, arguments);
        if (arguments.count("write-trace")) {
            std::ofstream out(arguments["write-trace"].as<std::string>());
            writeTrace(out, trace);
        }
        ScenarioResult result = runScenario(scenario, policies, trace, seed);
        if (arguments.count("plots"))
            writePlots(arguments["plots"].as<std::string>(), scenario.name, result);
        report[scenario.name] = std::move(result.figures);
    }
    if (arguments.count("json"))
        std::ofstream(arguments["json"].as<std::string>()) << nlohmann::json { { "seed", seed }, { "scenarios", report } }.dump(1) << '\n';
    return 0;
}

int main(int argc, char** argv)
{
    cxxopts::Options options("PolicyBench", "Replays traces over the policy and its baselines.");
    options.add_options()("scenario", "scenario to run, or all", cxxopts::value<std::string>()->default_value("all"));
    options.add_options()("seed", "seed of the trace and of all random choices", cxxopts::value<std::uint64_t>()->default_value("1"));
    options.add_options()("policy", "ours, round-robin, least-in-flight, power-of-two or all", cxxopts::value<std::string>()->default_value("all"));
    options.add_options()("json", "file for all figures", cxxopts::value<std::string>());
    options.add_options()("plots", "folder for the plots", cxxopts::value<std::string>());
    options.add_options()("trace", "replay this recording (JSON Lines) in place of the scenario's own load", cxxopts::value<std::string>());
    options.add_options()("write-trace", "file for the trace", cxxopts::value<std::string>());
    options.add_options()("seconds", "length of the scenario in place of its own", cxxopts::value<int>());
    options.add_options()("set", "constant of our policy, as NAME=VALUE; may be repeated", cxxopts::value<std::vector<std::string>>());
    options.add_options()("help", "print this");
    try {
        cxxopts::ParseResult arguments = options.parse(argc, argv);
        if (arguments.count("help")) {
            std::printf("%s\n", options.help().c_str());
            return 0;
        }
        return run(arguments);
    } catch (const std::exception& error) {
        std::fprintf(stderr, "PolicyBench: %s\n", error.what());
        return 2;
    }
}
