// Load generator over the project's own client; compares two targets by
// alternating rounds, and can play the server itself.
#include "BenchServer.h"
#include "LoadReport.h"
#include <csignal>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace catkinwing;

static cxxopts::Options describeOptions()
{
    cxxopts::Options options("HttpBench", "Sends a load to one target, or compares two");
    options.add_options()("target", "IP:PORT; given twice, both are compared", cxxopts::value<std::vector<std::string>>());
    options.add_options()("path", "path with the query", cxxopts::value<std::string>()->default_value("/"));
    options.add_options()("method", "POST if there is a body, else GET", cxxopts::value<std::string>());
    options.add_options()("header", "NAME: VALUE; may be repeated", cxxopts::value<std::vector<std::string>>());
    options.add_options()("body", "file with the body", cxxopts::value<std::string>());
    options.add_options()("body-bytes", "length of a made-up body", cxxopts::value<std::size_t>());
    options.add_options()("connections", "most requests in flight", cxxopts::value<std::size_t>()->default_value("64"));
    options.add_options()("requests", "requests to each target", cxxopts::value<std::uint64_t>()->default_value("10000"));
    options.add_options()("rate", "requests begun each second (open loop); 0 begins one per answer", cxxopts::value<double>()->default_value("0"));
    options.add_options()("rounds", "rounds that the requests are split into", cxxopts::value<std::uint64_t>()->default_value("10"));
    options.add_options()("stream", "report the times between the pieces of a body, too");
    options.add_options()("serve", "play the server on IP:PORT", cxxopts::value<std::string>());
    options.add_options()("answer-bytes", "length of the server's answer", cxxopts::value<std::size_t>()->default_value("128"));
    options.add_options()("answer-pieces", "pieces of the server's answer", cxxopts::value<std::size_t>()->default_value("1"));
    options.add_options()("answer-interval-ms", "time between pieces", cxxopts::value<int>()->default_value("0"));
    options.add_options()("help", "print this");
    return options;
}

static SocketAddress addressOf(const std::string& text)
{
    auto address = parseSocketAddress(text);
    if (!address.ok())
        throw std::invalid_argument(std::string(address.status().message()));
    return *address;
}

static std::string readFile(const std::string& name)
{
    std::ifstream file(name, std::ios::binary);
    if (!file)
        throw std::invalid_argument("cannot read " + name);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

static HttpHeader headerOf(const std::string& text)
{
    std::size_t colon = text.find(": ");
    if (colon == std::string::npos)
        throw std::invalid_argument("a header is given as 'NAME: VALUE'");
    return { text.substr(0, colon), text.substr(colon + 2) };
}

static LoadOptions loadOptionsOf(const cxxopts::ParseResult& arguments)
{
    LoadOptions options;
    options.path = arguments["path"].as<std::string>();
    if (arguments.count("body"))
        options.body = readFile(arguments["body"].as<std::string>());
    else if (arguments.count("body-bytes"))
        options.body = std::string(arguments["body-bytes"].as<std::size_t>(), 'b');
    options.method = options.body.empty() ? "GET" : "POST";
    if (arguments.count("method"))
        options.method = arguments["method"].as<std::string>();
    if (arguments.count("header")) {
        for (const auto& text : arguments["header"].as<std::vector<std::string>>()) {
            HttpHeader header = headerOf(text);
            options.headers.add(header.name, header.value);
        }
    }
    options.connections = std::max<std::size_t>(arguments["connections"].as<std::size_t>(), 1);
    options.requests = arguments["requests"].as<std::uint64_t>();
    options.rate = arguments["rate"].as<double>();
    return options;
}

static int serve(const cxxopts::ParseResult& arguments)
{
    SystemClock clock;
    EventLoop loop(clock);
    BenchAnswer answer;
    answer.bytes = arguments["answer-bytes"].as<std::size_t>();
    answer.pieces = arguments["answer-pieces"].as<std::size_t>();
    answer.interval = std::chrono::milliseconds(arguments["answer-interval-ms"].as<int>());
    auto server = startBenchServer(loop, addressOf(arguments["serve"].as<std::string>()), answer);
    if (!server.ok())
        throw std::runtime_error(std::string(server.status().message()));
    std::cout << "listening on " << (*server)->address().toString() << std::endl;
    loop.onSignal(SIGTERM, [&loop] { loop.stop(); });
    loop.onSignal(SIGINT, [&loop] { loop.stop(); });
    loop.run();
    return 0;
}

static std::vector<SocketAddress> targetsOf(const cxxopts::ParseResult& arguments)
{
    std::vector<SocketAddress> targets;
    if (arguments.count("target")) {
        for (const auto& text : arguments["target"].as<std::vector<std::string>>())
            targets.push_back(addressOf(text));
    }
    if (targets.empty() || targets.size() > 2)
        throw std::invalid_argument("one or two targets are needed");
    return targets;
}

// Rounds alternate, and each begins with the other target than the last, so
// that what else the machine does falls on both.
static std::vector<LoadSamples> measure(const std::vector<SocketAddress>& targets, LoadOptions options, std::uint64_t rounds)
{
    SystemClock clock;
    EventLoop loop(clock);
    HttpClientOptions clientOptions;
    clientOptions.maxIdleConnectionsPerServer = options.connections;
    auto client = makeHttpClient(loop, clientOptions);
    rounds = std::clamp<std::uint64_t>(rounds, 1, std::max<std::uint64_t>(options.requests, 1));
    options.requests /= rounds;
    std::vector<LoadSamples> samples(targets.size());
    for (std::uint64_t round = 0; round < rounds; ++round) {
        for (std::size_t i = 0; i < targets.size(); ++i) {
            std::size_t chosen = (i + round) % targets.size();
            samples[chosen].append(runLoad(loop, *client, targets[chosen], options));
        }
    }
    return samples;
}

static int run(const cxxopts::ParseResult& arguments)
{
    auto targets = targetsOf(arguments);
    auto samples = measure(targets, loadOptionsOf(arguments), arguments["rounds"].as<std::uint64_t>());
    nlohmann::json output;
    std::uint64_t errors = 0;
    for (std::size_t i = 0; i < targets.size(); ++i) {
        output["targets"].push_back(makeReport(targets[i], samples[i], arguments.count("stream") > 0));
        errors += samples[i].errorCount();
    }
    if (targets.size() == 2)
        output["second_to_first"] = makeRatios(output["targets"][0], output["targets"][1]);
    std::cout << output.dump(2) << std::endl;
    return errors > 0 ? 1 : 0;
}

int main(int argc, char** argv)
{
    try {
        cxxopts::Options options = describeOptions();
        cxxopts::ParseResult arguments = options.parse(argc, argv);
        if (arguments.count("help")) {
            std::cout << options.help() << std::endl;
            return 0;
        }
        return arguments.count("serve") ? serve(arguments) : run(arguments);
    } catch (const std::exception& fault) {
        std::cerr << "HttpBench: " << fault.what() << std::endl;
        return 2;
    }
}
