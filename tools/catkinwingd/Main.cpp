#include "catkinwing/Config/DaemonSettings.h"
#include "catkinwing/Gateway/Daemon.h"
#include "catkinwing/Support/File.h"
#include "catkinwing/Support/Logging.h"
#include "catkinwing/Support/Version.h"

#include <csignal>
#include <cxxopts.hpp>
#include <iostream>

using namespace catkinwing;

static constexpr int exitFailure = 1;
static constexpr int exitUsage = 2;

static std::optional<DaemonSettings> loadSettings(const std::string& name)
{
    absl::StatusOr<std::string> text = readFile(name);
    if (!text.ok()) {
        std::cerr << "catkinwingd: " << text.status().message() << "\n";
        return std::nullopt;
    }
    ConfigResult<DaemonSettings> parsed = parseDaemonSettings(*text);
    for (const ConfigFault& fault : parsed.faults)
        std::cerr << name << ": " << (fault.pointer.empty() ? "/" : fault.pointer) << ": " << fault.message << "\n";
    return std::move(parsed.document);
}

static int serve(const DaemonSettings& settings)
{
    initializeLogging();
    SystemClock clock;
    EventLoop loop(clock);
    absl::StatusOr<std::unique_ptr<Daemon>> daemon = Daemon::start(loop, settings, Random::fromSystem());
    if (!daemon.ok()) {
        std::cerr << "catkinwingd: " << daemon.status().message() << "\n";
        return exitFailure;
    }
    bool hasDrained = false;
    auto stop = [&] {
        (*daemon)->drain([&] {
            hasDrained = true;
            loop.stop();
        });
    };
    loop.onSignal(SIGTERM, stop);
    loop.onSignal(SIGINT, stop);
    loop.onSignal(SIGHUP, [&] { (*daemon)->reloadKeys(); });
    loop.run();
    return hasDrained ? 0 : exitFailure;
}

int main(int argc, char** argv)
{
    cxxopts::Options options("catkinwingd", "Entry daemon of the catkinwing inference gateway.\nSIGTERM drains and exits, SIGHUP reloads keys and certificates.");
    options.add_options()("config", "settings file of this entry", cxxopts::value<std::string>(), "FILE")("check", "check the settings file and exit")("version", "print the version")("help", "print this help");
    try {
        cxxopts::ParseResult arguments = options.parse(argc, argv);
        if (arguments.count("help")) {
            std::cout << options.help() << "\n";
            return 0;
        }
        if (arguments.count("version")) {
            std::cout << "catkinwingd " << versionString() << "\n";
            return 0;
        }
        if (!arguments.count("config") || !arguments.unmatched().empty()) {
            std::cerr << "catkinwingd: --config FILE is needed; see --help\n";
            return exitUsage;
        }
        std::optional<DaemonSettings> settings = loadSettings(arguments["config"].as<std::string>());
        if (!settings)
            return exitFailure;
        return arguments.count("check") ? 0 : serve(*settings);
    } catch (const cxxopts::exceptions::exception& fault) {
        std::cerr << "catkinwingd: " << fault.what() << "; see --help\n";
        return exitUsage;
    }
}
