#include "Arguments.h"
#include "catkinwing/PlatformStandin/StoreStandin.h"
#include "catkinwing/Standin/HttpWeightFetcher.h"
#include "catkinwing/Support/Logging.h"
#include <csignal>
#include <fstream>
#include <iostream>
#include <iterator>

using namespace catkinwing;
using namespace catkinwing::standin;

constexpr int exitFailure = 1;
constexpr int exitUsage = 2;

static std::unique_ptr<StandinService> makeService(const Arguments& arguments, HttpClient& client, Scheduler& scheduler, ExecutionLog& log)
{
    switch (arguments.kind) {
    case StandinKind::Store:
        return makeStoreService(scheduler, log, arguments.store);
    case StandinKind::Directory:
        return makeDirectoryService(scheduler, log, arguments.directoryLag);
    case StandinKind::Weights:
        return makeWeightsService(scheduler, log, arguments.weights);
    case StandinKind::Engine: {
        WeightFetcher fetcher;
        if (arguments.weightServer)
            fetcher = makeHttpWeightFetcher(client, *arguments.weightServer, arguments.adapterMegabytes);
        return makeEngineService(scheduler, log, arguments.engine, std::move(fetcher));
    }
    case StandinKind::PlatformStore:
        return platform::makeStoreStandin(scheduler, log, arguments.store);
    case StandinKind::PlatformEndpoint:
        return platform::makeEndpointStandin(scheduler, log, arguments.platformEndpoint);
    case StandinKind::Service:
    case StandinKind::Raw:
        break;
    }
    return makePlainService(scheduler, log, arguments.service);
}

static int reportFailure(const absl::Status& status)
{
    std::cerr << "catkinwing-standin: " << status.message() << '\n';
    return exitFailure;
}

static int runUntilSignal(EventLoop& loop, const SocketAddress& address)
{
    for (int signal : { SIGTERM, SIGINT })
        loop.onSignal(signal, [&loop] { loop.stop(); });
    std::cout << "listening " << address.toString() << std::endl;
    loop.run();
    return 0;
}

static int runHttp(EventLoop& loop, const Arguments& arguments)
{
    auto client = makeHttpClient(loop, {});
    auto standin = StandinServer::start(loop, arguments.server,
        [&](Scheduler& scheduler, ExecutionLog& log) { return makeService(arguments, *client, scheduler, log); });
    if (!standin.ok())
        return reportFailure(standin.status());
    return runUntilSignal(loop, (*standin)->address());
}

static int runRaw(EventLoop& loop, const Arguments& arguments)
{
    std::ifstream file(arguments.answerFile, std::ios::binary);
    if (!file)
        return reportFailure(absl::NotFoundError("can't read " + arguments.answerFile));
    RawAnswererOptions options;
    options.listen = arguments.server.listen;
    options.answer.assign(std::istreambuf_iterator<char>(file), {});
    options.closesAfterAnswer = arguments.closesAfterAnswer;
    auto log = ExecutionLog::open(arguments.server.logFile, arguments.server.name, loop.clock());
    if (!log.ok())
        return reportFailure(log.status());
    auto raw = RawAnswerer::listen(loop, **log, std::move(options));
    if (!raw.ok())
        return reportFailure(raw.status());
    return runUntilSignal(loop, (*raw)->address());
}

int main(int count, char** values)
{
    initializeLogging();
    auto arguments = parseArguments(count, values);
    if (!arguments.ok()) {
        std::cerr << "catkinwing-standin: " << arguments.status().message() << "\ntry catkinwing-standin --help\n";
        return exitUsage;
    }
    if (arguments->message) {
        std::cout << *arguments->message;
        return 0;
    }
    SystemClock clock;
    EventLoop loop(clock);
    return arguments->kind == StandinKind::Raw ? runRaw(loop, *arguments) : runHttp(loop, *arguments);
}
