#include "catkinwing/Config/DaemonSettings.h"
#include "catkinwing/Gateway/Daemon.h"
#include "catkinwing/Ingress/IngressDaemon.h"
#include "catkinwing/Support/File.h"
#include "catkinwing/Support/Logging.h"
#include "catkinwing/Support/Version.h"

#include "platform/PlatformDialect.h"
#include "platform/PlatformStore.h"
#include <csignal>
#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>
#include <malloc.h>

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
    if (parsed.document && parsed.document->ingress)
        platform::applyContracts(*parsed.document->ingress);
    return std::move(parsed.document);
}

static std::unique_ptr<Store> makePlatformStore(HttpClient& http, Scheduler& scheduler, std::vector<SocketAddress> servers,
    std::function<void(const char* kind)> onCall)
{
    return std::make_unique<platform::PlatformStore>(http, scheduler, std::move(servers), std::move(onCall));
}

/// Runs \p daemon until it has drained after SIGTERM or SIGINT.
template <typename AnyDaemon>
static int runUntilDrained(EventLoop& loop, AnyDaemon& daemon, EventLoop::Callback onHangUp)
{
    bool hasDrained = false;
    auto stop = [&] {
        daemon.drain([&] {
            hasDrained = true;
            loop.stop();
        });
    };
    loop.onSignal(SIGTERM, stop);
    loop.onSignal(SIGINT, stop);
    loop.onSignal(SIGHUP, std::move(onHangUp));
    loop.run();
    return hasDrained ? 0 : exitFailure;
}

static int failToStart(const absl::Status& status)
{
    std::cerr << "catkinwingd: " << status.message() << "\n";
    return exitFailure;
}

static int serveByRoutes(EventLoop& loop, const DaemonSettings& settings, const std::string& file)
{
    absl::StatusOr<std::unique_ptr<IngressDaemon>> daemon = IngressDaemon::start(loop, settings, Random::fromSystem(), platform::platformDialect(), makePlatformStore);
    if (!daemon.ok())
        return failToStart(daemon.status());
    auto reload = [&] {
        std::optional<DaemonSettings> changed = loadSettings(file);
        if (changed && changed->ingress)
            (*daemon)->reload(*changed);
    };
    return runUntilDrained(loop, **daemon, reload);
}

static int serveTeams(EventLoop& loop, const DaemonSettings& settings)
{
    absl::StatusOr<std::unique_ptr<Daemon>> daemon = Daemon::start(loop, settings, Random::fromSystem());
    if (!daemon.ok())
        return failToStart(daemon.status());
    return runUntilDrained(loop, **daemon, [&] { (*daemon)->reloadKeys(); });
}

// The allocator would keep the memory of large buffers for later ones, by a threshold that rises
// with their size.
static void returnLargeBuffers()
{
    constexpr int minLargeBytes = 256 << 10;
    constexpr int maxKeptBytes = 4 << 20;
    mallopt(M_MMAP_THRESHOLD, minLargeBytes);
    mallopt(M_TRIM_THRESHOLD, maxKeptBytes);
}

static int serve(const DaemonSettings& settings, const std::string& file)
{
    returnLargeBuffers();
    initializeLogging();
    SystemClock clock;
    EventLoop loop(clock);
    return settings.ingress ? serveByRoutes(loop, settings, file) : serveTeams(loop, settings);
}

static std::string settingsFile(const cxxopts::ParseResult& arguments)
{
    if (arguments.count("config"))
        return arguments["config"].as<std::string>();
    const char* fromEnvironment = std::getenv(platform::settingsFileVariable);
    return fromEnvironment ? fromEnvironment : "";
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
        std::string file = settingsFile(arguments);
        if (file.empty() || !arguments.unmatched().empty()) {
            std::cerr << "catkinwingd: --config FILE is needed; see --help\n";
            return exitUsage;
        }
        std::optional<DaemonSettings> settings = loadSettings(file);
        if (!settings)
            return exitFailure;
        return arguments.count("check") ? 0 : serve(*settings, file);
    } catch (const cxxopts::exceptions::exception& fault) {
        std::cerr << "catkinwingd: " << fault.what() << "; see --help\n";
        return exitUsage;
    }
}
