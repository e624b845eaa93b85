#include "catkinwing/Replay/Replayer.h"
#include "catkinwing/Support/File.h"
#include "catkinwing/Support/Version.h"

#include <cxxopts.hpp>
#include <fstream>
#include <iostream>

using namespace catkinwing;

static constexpr int exitFailure = 1;
static constexpr int exitUsage = 2;

static int usageFault(const std::string& message)
{
    std::cerr << "catkinwing-replay: " << message << "; see --help\n";
    return exitUsage;
}

static int failure(const absl::Status& status)
{
    std::cerr << "catkinwing-replay: " << status.message() << "\n";
    return exitFailure;
}

static absl::StatusOr<ReplayTargets> readTargets(const std::vector<std::string>& texts)
{
    ReplayTargets targets;
    for (const std::string& text : texts) {
        std::size_t equals = text.find('=');
        if (equals == std::string::npos)
            return absl::InvalidArgumentError("entry '" + text + "' is not REGION=IP:PORT");
        absl::StatusOr<SocketAddress> address = parseSocketAddress(text.substr(equals + 1));
        if (!address.ok())
            return address.status();
        targets[text.substr(0, equals)].push_back(*address);
    }
    return targets;
}

static std::vector<ReplayResult> replay(std::vector<TraceRequest> trace, ReplayTargets targets, double speed)
{
    SystemClock clock;
    EventLoop loop(clock);
    std::unique_ptr<HttpClient> client = makeHttpClient(loop, {});
    Replayer replayer(loop, *client, std::move(targets), speed);
    std::vector<ReplayResult> results;
    replayer.run(std::move(trace), [&](std::vector<ReplayResult> done) {
        results = std::move(done);
        loop.stop();
    });
    loop.run();
    return results;
}

static int run(const cxxopts::ParseResult& arguments)
{
    if (!arguments.count("trace") || !arguments.count("entry"))
        return usageFault("--trace FILE and --entry REGION=IP:PORT are needed");
    absl::StatusOr<ReplayTargets> targets = readTargets(arguments["entry"].as<std::vector<std::string>>());
    if (!targets.ok())
        return usageFault(std::string(targets.status().message()));
    double speed = arguments["speed"].as<double>();
    if (!(speed > 0))
        return usageFault("--speed must be above zero");
    absl::StatusOr<std::string> text = readFile(arguments["trace"].as<std::string>());
    if (!text.ok())
        return failure(text.status());
    absl::StatusOr<std::vector<TraceRequest>> trace = parseTrace(*text);
    if (!trace.ok())
        return failure(trace.status());
    StatedOutcomes stated;
    if (arguments.count("outcomes")) {
        absl::StatusOr<std::string> outcomes = readFile(arguments["outcomes"].as<std::string>());
        if (!outcomes.ok())
            return failure(outcomes.status());
        absl::StatusOr<StatedOutcomes> parsed = parseStatedOutcomes(*outcomes);
        if (!parsed.ok())
            return failure(parsed.status());
        stated = *std::move(parsed);
    }
    auto figures = summarize(replay(*std::move(trace), *std::move(targets), speed));
    std::vector<std::string> missed = findMissed(figures, stated);
    std::string report = toJson(figures, missed).dump(2);
    std::cout << report << "\n";
    if (arguments.count("report"))
        std::ofstream(arguments["report"].as<std::string>()) << report << "\n";
    return missed.empty() ? 0 : exitFailure;
}

int main(int argc, char** argv)
{
    cxxopts::Options options("catkinwing-replay", "Sends a recorded trace to running entries at its own times and compares with stated outcomes.\nExits with 1 if one is missed.");
    options.add_options()("trace", "recorded trace, JSON Lines", cxxopts::value<std::string>(), "FILE");
    options.add_options()("entry", "callers' address of an entry; may be repeated", cxxopts::value<std::vector<std::string>>(), "REGION=IP:PORT");
    options.add_options()("outcomes", "stated outcomes by class, JSON", cxxopts::value<std::string>(), "FILE");
    options.add_options()("speed", "factor on the trace's speed", cxxopts::value<double>()->default_value("1"), "FACTOR");
    options.add_options()("report", "also write the report to a file", cxxopts::value<std::string>(), "FILE");
    options.add_options()("version", "print the version")("help", "print this help");
    try {
        cxxopts::ParseResult arguments = options.parse(argc, argv);
        if (arguments.count("help")) {
            std::cout << options.help() << "\n";
            return 0;
        }
        if (arguments.count("version")) {
            std::cout << "catkinwing-replay " << versionString() << "\n";
            return 0;
        }
        return run(arguments);
    } catch (const cxxopts::exceptions::exception& fault) {
        return usageFault(fault.what());
    }
}
