// The part of an entry that deals with other cells: digests, forwards, refusals.

#include "Entry.h"
#include <algorithm>

namespace catkinwing::bench {

/// Time until a connection over a cut link is given up.
static constexpr Duration connectTimeout = std::chrono::seconds(1);

std::optional<std::size_t> Entry::chooseSpill(const RequestRun& run)
{
    auto room = [&](std::size_t i) {
        const RemoteModelView& model = m_remoteCells[i].models.at(benchModel);
        return model.freeSlots - std::min(model.freeSlots, model.forwardsSinceDigest);
    };
    for (bool otherRegion : { false, true }) {
        std::vector<std::size_t> open;
        for (std::size_t i = 0; i < m_remoteCells.size(); ++i) {
            const RemoteCellView& cell = m_remoteCells[i];
            bool visited = std::count(run.routing.visitedZones.begin(), run.routing.visitedZones.end(), cell.zone) > 0;
            if ((cell.region != region()) == otherRegion && cell.reachable && !visited && isAllowed(run.routing.residency, cell.region) && room(i) > 0)
                open.push_back(i);
        }
        if (open.empty())
            continue;
        if (m_parts.policy.routing.algorithm == RoutingAlgorithm::RoundRobin)
            return open[run.routing.sequence % open.size()];
        if (m_parts.policy.routing.algorithm == RoutingAlgorithm::LeastInFlight)
            return *std::max_element(open.begin(), open.end(), [&](std::size_t a, std::size_t b) { return room(a) < room(b); });
        std::size_t first = open[m_random.below(open.size())];
        std::size_t second = open[m_random.below(open.size())];
        return room(second) > room(first) ? second : first;
    }
    return std::nullopt;
}

bool Entry::tryForward(const RunPointer& run, std::optional<Duration> prediction)
{
    if (run->routing.hop > 0)
        return false;
    run->routing.timeLeft = run->deadline - now();
    std::optional<std::size_t> chosen;
    if (m_parts.policy.ours) {
        ForwardDecision decision = decideForward({ run->routing, zone(), region(), prediction, m_remoteCells, m_forwarding, now() }, m_forwardState, m_random);
        if (const Forward* forward = std::get_if<Forward>(&decision))
            chosen = forward->cell;
    } else {
        chosen = chooseSpill(*run);
    }
    if (!chosen)
        return false;
    sendTo(run, m_remoteCells[*chosen]);
    return true;
}

void Entry::sendTo(const RunPointer& run, RemoteCellView& cell)
{
    bool otherRegion = cell.region != region();
    recordForward(cell, benchModel);
    recordRouted(m_forwardState, m_forwarding, otherRegion, now());
    run->phase = RequestRun::Phase::Travelling;
    run->toRegion = run->toRegion || otherRegion;
    run->toZone = run->toZone || !otherRegion;
    run->forwardZone = cell.zone;
    run->forwardedAt = now();
    run->routing.visitedZones.push_back(cell.zone);
    Entry& target = m_parts.network.entryOf(cell.zone, run->traced->session, m_random);
    if (!m_parts.network.isLinked(*this, target)) {
        m_parts.scheduler.callAfter(connectTimeout, [this, run] { forwardFailed(run, false); });
        return;
    }
    ++run->routing.hop;
    // The receiver's own zone isn't among those that the request came through.
    run->routing.visitedZones.back() = zone();
    Duration travel = m_parts.network.oneWay(*this, target);
    run->returnDelay = travel + m_parts.scenario.clientLatency;
    m_parts.scheduler.callAfter(travel, [run, &target] { target.receive(run); });
}

void Entry::forwardFailed(const RunPointer& run, bool mayHaveRun)
{
    if (run->phase == RequestRun::Phase::Done)
        return;
    forwardEnded(*run);
    run->entry = this;
    run->routing.hop = 0;
    run->returnDelay = m_parts.scenario.clientLatency;
    if (!takeRetry(run, mayHaveRun))
        return;
    m_parts.scheduler.callAfter(backoff(*run), [this, run] {
        if (run->phase != RequestRun::Phase::Done && !tryForward(run, std::nullopt))
            admit(run);
    });
}

void Entry::refuse(const RunPointer& run)
{
    m_runs.erase(run->id);
    if (run->origin == this) {
        m_parts.network.ended(run, Ending::Refused);
        return;
    }
    run->phase = RequestRun::Phase::Travelling;
    Entry* origin = run->origin;
    run->entry = origin;
    run->routing.visitedZones.push_back(zone());
    m_parts.scheduler.callAfter(m_parts.network.oneWay(*this, *origin), [run, origin] { origin->forwardFailed(run, false); });
}

ZoneDigest Entry::digest() const
{
    return { zone(), region(), now(), m_cell.freeCredits(benchModel), plainWait() };
}

static RemoteCellView* findCell(std::vector<RemoteCellView>& cells, const std::string& zone)
{
    auto found = std::find_if(cells.begin(), cells.end(), [&](const RemoteCellView& cell) { return cell.zone == zone; });
    return found == cells.end() ? nullptr : &*found;
}

void Entry::forwardEnded(const RequestRun& run)
{
    RemoteCellView* cell = findCell(m_remoteCells, run.forwardZone);
    if (cell)
        recordForwardEnded(*cell, benchModel, run.forwardedAt);
}

void Entry::applyDigest(const ZoneDigest& digest)
{
    RemoteCellView* cell = findCell(m_remoteCells, digest.zone);
    if (!cell) {
        m_remoteCells.emplace_back();
        cell = &m_remoteCells.back();
        cell->zone = digest.zone;
        cell->region = digest.region;
        cell->reachableSince = now() - std::chrono::hours(1);
        bool sameRegion = digest.region == region();
        cell->roundTripTime = 2 * (sameRegion ? m_parts.scenario.zoneLatency : m_parts.scenario.regionLatency);
    }
    cell->digestAt = digest.madeAt;
    cell->digestDither = m_random.unit();
    RemoteModelView& model = cell->models[benchModel];
    model.freeSlots = digest.freeSlots;
    model.predictedWait = digest.predictedWait;
    model.prefillTokensPerSecond = m_parts.scenario.engine.prefillTokensPerSecond;
    model.forwardsSinceDigest = 0;
}

void Entry::setReachable(const std::string& zone, bool reachable)
{
    RemoteCellView* cell = findCell(m_remoteCells, zone);
    if (!cell || cell->reachable == reachable)
        return;
    cell->reachable = reachable;
    cell->reachableSince = now();
}

} // namespace catkinwing::bench
