// Cost of the admission decisions, in microseconds, against the number of teams
// with long queues. Prints one line of JSON a size.

#include "catkinwing/Admission/FairQueue.h"
#include "catkinwing/Support/Random.h"
#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

using namespace catkinwing;

/// Requests waiting for each team, spread over the models.
static constexpr std::size_t queuedForEach = 50;
static constexpr std::size_t modelCount = 4;
static constexpr std::size_t samplesOfEach = 20000;
static constexpr std::size_t refreshesOfEach = 11;
/// Other daemons of the region whose counters are known.
static constexpr std::size_t peerCount = 8;

static double microsSince(TimePoint start)
{
    return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - start).count();
}

static double percentile(std::vector<double>& samples, double part)
{
    auto index = static_cast<std::ptrdiff_t>(part * static_cast<double>(samples.size() - 1));
    std::nth_element(samples.begin(), samples.begin() + index, samples.end());
    return samples[static_cast<std::size_t>(index)];
}

static QueuedRequest makeRequest(std::size_t teams, RequestId id, TimePoint now, Random& random)
{
    QueuedRequest request;
    request.id = id;
    request.team = "team" + std::to_string(random.below(teams));
    request.requestClass = random.below(4) ? "question" : "review";
    request.model = "model" + std::to_string(random.below(modelCount));
    request.cost = 100 + static_cast<double>(random.below(4000));
    request.bytes = 2000;
    request.deadline = now + std::chrono::milliseconds(30000 + random.below(30000));
    return request;
}

static void fill(FairQueue& queue, std::size_t teams, TimePoint now, Random& random)
{
    std::vector<TeamPolicy> policies(teams);
    for (std::size_t i = 0; i < teams; ++i) {
        policies[i].name = "team" + std::to_string(i);
        policies[i].weight = 1 + static_cast<double>(i % 9);
        policies[i].classes = { { "question", 3, WorkKind::Short }, { "review", 1, WorkKind::Long } };
    }
    queue.configure(policies, now);
    for (RequestId id = 1; id <= teams * queuedForEach; ++id)
        queue.enqueue(makeRequest(teams, id, now, random), now);
}

static void tellPeers(FairQueue& queue, std::size_t teams, std::uint64_t round, TimePoint now)
{
    for (std::size_t peer = 0; peer < peerCount; ++peer) {
        for (std::size_t team = 0; team < teams; ++team) {
            for (std::size_t model = 0; model < modelCount; ++model)
                queue.applyRemoteService({ "peer" + std::to_string(peer), 1 }, { "team" + std::to_string(team), "model" + std::to_string(model), round * 1000 }, now);
        }
    }
}

static nlohmann::json measure(std::size_t teams, double blockedPart)
{
    Random random(1);
    FairQueue queue;
    TimePoint now {};
    fill(queue, teams, now, random);
    for (std::uint64_t round = 1; round < 4; ++round) {
        now += std::chrono::milliseconds(500);
        tellPeers(queue, teams, round, now);
        queue.refreshShares(now);
    }
    RequestId id = teams * queuedForEach;
    std::vector<double> picks;
    std::vector<double> enqueues;
    picks.reserve(samplesOfEach);
    enqueues.reserve(samplesOfEach);
    for (std::size_t i = 0; i < samplesOfEach; ++i) {
        now += std::chrono::microseconds(100);
        auto blocked = static_cast<std::size_t>(blockedPart * modelCount);
        auto canStart = [&](const QueuedRequest& request) { return static_cast<std::size_t>(request.model.back() - '0') >= blocked; };
        QueuedRequest fresh = makeRequest(teams, ++id, now, random);
        TimePoint start = std::chrono::steady_clock::now();
        queue.enqueue(std::move(fresh), now);
        enqueues.push_back(microsSince(start));
        start = std::chrono::steady_clock::now();
        std::optional<QueuedRequest> picked = queue.pickNext(canStart, now);
        picks.push_back(microsSince(start));
        if (picked)
            queue.settle(*picked, picked->cost * 1.1, now);
    }
    std::vector<double> refreshes;
    refreshes.reserve(refreshesOfEach);
    for (std::size_t i = 0; i < refreshesOfEach; ++i) {
        now += std::chrono::milliseconds(500);
        tellPeers(queue, teams, 10 + i, now);
        TimePoint start = std::chrono::steady_clock::now();
        queue.refreshShares(now);
        refreshes.push_back(microsSince(start));
    }
    return { { "teams", teams }, { "queued", queue.size() }, { "blockedModels", static_cast<std::size_t>(blockedPart * modelCount) },
        { "pickP50", percentile(picks, 0.5) }, { "pickP99", percentile(picks, 0.99) },
        { "enqueueP50", percentile(enqueues, 0.5) }, { "enqueueP99", percentile(enqueues, 0.99) },
        { "refreshP50", percentile(refreshes, 0.5) } };
}

int main()
{
    for (std::size_t teams : { 10, 33, 100, 330, 1000, 3300 }) {
        for (double blockedPart : { 0.0, 0.5, 1.0 })
            std::printf("%s\n", measure(teams, blockedPart).dump().c_str());
    }
    return 0;
}
