// Measures what membership costs each daemon, at up to the size to build toward:
// many daemons in one process on a manual clock, over a fake network that carries
// the codec's bytes. Processor time holds the codec on both ends and the fake
// network, so it is an upper bound; HTTP's own work is not in it.

#include "FakeNetwork.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <cmath>
#include <ctime>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>

using namespace catkinwing;
using namespace std::chrono_literals;

// Bytes of an HTTP/1.1 request's and answer's head on a kept connection, a bearer
// token of 44 bytes included.
static constexpr double requestHeadBytes = 200;
static constexpr double answerHeadBytes = 150;

namespace {

struct Shape {
    std::size_t zones { 60 };
    std::size_t entries { 9 };
    std::size_t regions { 22 };
    std::size_t endpoints { 200 };
    std::size_t teams { 330 };
    std::size_t models { 4 };
    std::chrono::seconds warmUp { 60 };
    std::chrono::seconds measured { 60 };
};

struct Totals {
    double sent { 0 };
    double received { 0 };
    double batches { 0 };
    double answers { 0 };
    double mostOfOne { 0 };
    double processorSeconds { 0 };
};

} // namespace

static double processorSeconds()
{
    timespec spent {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &spent);
    constexpr double nanosPerSecond = 1e9;
    return static_cast<double>(spent.tv_sec) + static_cast<double>(spent.tv_nsec) / nanosPerSecond;
}

static double residentMegabytes()
{
    std::ifstream statm("/proc/self/statm");
    double pages = 0;
    double resident = 0;
    statm >> pages >> resident;
    constexpr double megabytesPerPage = 4096.0 / (1 << 20);
    return resident * megabytesPerPage;
}

static SocketAddress addressOf(std::size_t zone, std::size_t entry)
{
    return { absl::StrCat("10.", zone, ".0.", 10 + entry), 7001 };
}

// Zones of one region share the front of their names.
static std::string zoneName(const Shape& shape, std::size_t zone)
{
    return absl::StrFormat("region%02d-%c", zone % shape.regions, 'a' + static_cast<char>(zone / shape.regions));
}

// Loads that change as under steady traffic: a few requests start and end at each
// endpoint, and teams are served by Zipf's law.
static LocalState stateAt(const Shape& shape, std::size_t zone, std::int64_t second, Random& random)
{
    constexpr double tokensOfFirstTeam = 3000;
    LocalState state;
    state.configDigest = 1;
    for (std::size_t model = 0; model < shape.models; ++model) {
        auto queued = static_cast<std::uint32_t>(random.below(20));
        state.demand.push_back({ absl::StrCat("model-", model), 100 + queued });
        state.models.push_back({ absl::StrCat("model-", model), 50 + queued, queued, std::chrono::milliseconds(100 * queued) });
    }
    for (std::size_t endpoint = 0; endpoint < shape.endpoints; ++endpoint)
        state.load.push_back({ absl::StrCat("replica-", zone, "-", endpoint), static_cast<std::uint32_t>(2 + random.below(5)) });
    for (std::size_t team = 0; team < shape.teams; ++team) {
        double rate = tokensOfFirstTeam / static_cast<double>(team + 1);
        state.served.push_back({ absl::StrCat("workspace-", team), static_cast<std::uint64_t>(rate * static_cast<double>(second + 1)) });
    }
    return state;
}

static void startAll(FakeNetwork& network, const Shape& shape)
{
    for (std::size_t zone = 0; zone < shape.zones; ++zone) {
        for (std::size_t entry = 0; entry < shape.entries; ++entry) {
            FakeNode& node = network.add(absl::StrCat(zoneName(shape, zone), "-", entry), zoneName(shape, zone), addressOf(zone, entry));
            for (std::size_t other = 0; other < shape.zones; ++other)
                node.membership->addCandidates({ { addressOf(other, 0), zoneName(shape, other), "" } });
        }
    }
}

static void runFor(FakeNetwork& network, const Shape& shape, std::chrono::seconds span, std::int64_t& second, Random& random)
{
    for (std::int64_t end = second + span.count(); second < end; ++second) {
        std::size_t index = 0;
        for (FakeNode* node : network.nodes())
            node->membership->setLocalState(stateAt(shape, index++ / shape.entries, second, random));
        network.advance(1s);
    }
}

static Totals totalsOf(const FakeNetwork& network, const std::vector<TransportCounters>& before)
{
    Totals totals;
    for (std::size_t i = 0; i < before.size(); ++i) {
        TransportCounters after = network.nodes()[i]->counters();
        auto batches = static_cast<double>(after.batchesSent - before[i].batchesSent);
        auto answers = static_cast<double>(after.batchesReceived - before[i].batchesReceived);
        double sent = static_cast<double>(after.bytesSent - before[i].bytesSent) + batches * requestHeadBytes + answers * answerHeadBytes;
        double received = static_cast<double>(after.bytesReceived - before[i].bytesReceived) + answers * requestHeadBytes + batches * answerHeadBytes;
        totals.sent += sent;
        totals.received += received;
        totals.batches += batches;
        totals.answers += answers;
        totals.mostOfOne = std::max(totals.mostOfOne, sent + received);
    }
    return totals;
}

static std::size_t reachableZones(FakeNetwork& network)
{
    std::size_t reachable = 0;
    for (FakeNode* node : network.nodes()) {
        for (const ZoneView& zone : node->membership->view().zones)
            reachable += zone.isReachable && !zone.entries.empty() ? 1 : 0;
    }
    return reachable;
}

// The part of the processor time that the made-up local states take.
static double secondsOfStates(const Shape& shape, std::chrono::seconds span, Random& random)
{
    double before = processorSeconds();
    std::size_t bytes = 0;
    for (std::int64_t second = 0; second < span.count(); ++second) {
        for (std::size_t node = 0; node < shape.entries; ++node)
            bytes += stateAt(shape, node, second, random).load.size();
    }
    double perNode = (processorSeconds() - before) / static_cast<double>(shape.entries);
    return bytes > 0 ? perNode : 0;
}

static void report(const Shape& shape, const Totals& totals, double memory, double statesPerNode, std::size_t reachable)
{
    auto nodes = static_cast<double>(shape.zones * shape.entries);
    double nodeSeconds = nodes * static_cast<double>(shape.measured.count());
    double micros = (totals.processorSeconds - statesPerNode * nodes) * 1e6 / nodeSeconds;
    std::cout << absl::StrFormat("zones %d, entries %d, teams %d, endpoints a zone %d\n", shape.zones, shape.entries, shape.teams, shape.endpoints);
    std::cout << absl::StrFormat("batches sent by each daemon      %8.2f /s\n", totals.batches / nodeSeconds);
    std::cout << absl::StrFormat("bytes sent, HTTP heads included  %8.0f B/s\n", totals.sent / nodeSeconds);
    std::cout << absl::StrFormat("bytes sent and received          %8.0f B/s\n", (totals.sent + totals.received) / nodeSeconds);
    std::cout << absl::StrFormat("  of these, HTTP heads           %8.0f B/s\n", (totals.batches + totals.answers) * (requestHeadBytes + answerHeadBytes) / nodeSeconds);
    std::cout << absl::StrFormat("  of the busiest daemon          %8.0f B/s\n", totals.mostOfOne / static_cast<double>(shape.measured.count()));
    std::cout << absl::StrFormat("processor time                   %8.1f us/s (%.3f %% of a core)\n", micros, micros / 1e4);
    std::cout << absl::StrFormat("memory of each daemon            %8.2f MB\n", memory / nodes);
    std::cout << absl::StrFormat("zones reachable from each daemon %8.2f of %d\n", static_cast<double>(reachable) / nodes, shape.zones - 1);
}

static void measure(const Shape& shape)
{
    constexpr std::uint64_t seed = 7;
    Random random(seed);
    double memoryBefore = residentMegabytes();
    FakeNetwork network(seed);
    startAll(network, shape);
    std::int64_t second = 0;
    runFor(network, shape, shape.warmUp, second, random);
    std::vector<TransportCounters> before;
    before.reserve(network.nodes().size());
    for (FakeNode* node : network.nodes())
        before.push_back(node->counters());
    double spentBefore = processorSeconds();
    runFor(network, shape, shape.measured, second, random);
    double spent = processorSeconds() - spentBefore;
    Totals totals = totalsOf(network, before);
    totals.processorSeconds = spent;
    std::size_t reachable = reachableZones(network);
    double memory = residentMegabytes() - memoryBefore;
    report(shape, totals, memory, secondsOfStates(shape, shape.measured, random), reachable);
}

int main(int argc, char** argv)
{
    Shape shape;
    cxxopts::Options options("MembershipCost", "Measures what membership costs each daemon.");
    options.add_options()("zones", "availability zones", cxxopts::value(shape.zones))("entries", "entries in each zone", cxxopts::value(shape.entries))("regions", "regions", cxxopts::value(shape.regions))("endpoints", "endpoints in each zone", cxxopts::value(shape.endpoints))("teams", "teams that are served", cxxopts::value(shape.teams))("help", "print this help");
    try {
        if (options.parse(argc, argv).count("help") > 0) {
            std::cout << options.help();
            return 0;
        }
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n";
        return 2;
    }
    measure(shape);
    return 0;
}
