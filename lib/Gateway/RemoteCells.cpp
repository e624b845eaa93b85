#include "catkinwing/Gateway/RemoteCells.h"

#include "catkinwing/Support/Logging.h"
#include <algorithm>

namespace catkinwing {

RemoteCells::RemoteCells(std::string region, std::string zone, Random& random)
    : m_region(std::move(region))
    , m_zone(std::move(zone))
    , m_random(random)
{
}

static ForwardPolicy policyFrom(const GlobalDocument& global, std::size_t senders)
{
    // A digest from another region is made every fifteen seconds and is still
    // worth acting on when one has been lost.
    constexpr std::chrono::seconds oldestDigest { 40 };
    ForwardPolicy policy;
    policy.regionThreshold = global.forwarding.minimumGain + global.forwarding.hysteresis;
    policy.zoneThreshold = std::min<Duration>(policy.zoneThreshold, policy.regionThreshold);
    policy.targetShare = global.forwarding.maximumShareAway / 2;
    policy.maxDigestAge = oldestDigest;
    policy.senders = static_cast<unsigned>(senders);
    policy.slowStart.window = global.slowStart;
    return policy;
}

void RemoteCells::update(const MembershipView& view, const ConfigSnapshot& snapshot, TimePoint now)
{
    std::size_t live = std::count_if(view.members.begin(), view.members.end(), [](const MemberView& member) { return member.state == MemberState::Live; });
    m_policy = policyFrom(*snapshot.global, live + 1);
    for (const ZoneView& zone : view.zones) {
        if (zone.zone != m_zone)
            updateCell(zone, snapshot, now);
    }
}

RemoteCellView* RemoteCells::find(const std::string& zone)
{
    auto found = std::find_if(m_cells.begin(), m_cells.end(), [&zone](const RemoteCellView& cell) { return cell.zone == zone; });
    return found == m_cells.end() ? nullptr : &*found;
}

Duration RemoteCells::roundTripTo(const ZoneView& zone, const ConfigSnapshot& snapshot) const
{
    constexpr std::chrono::milliseconds unknownLink { 60 };
    const RegionDocument* own = findRegion(snapshot, m_region);
    if (!own)
        return 2 * Duration(unknownLink);
    if (zone.region == m_region)
        return 2 * own->zoneLatency;
    auto link = std::find_if(own->links.begin(), own->links.end(), [&zone](const RegionLink& candidate) { return candidate.to == zone.region; });
    return 2 * (link == own->links.end() ? Duration(unknownLink) : link->oneWayLatency);
}

static bool allDraining(const std::vector<ZoneEntry>& entries)
{
    return std::all_of(entries.begin(), entries.end(), [](const ZoneEntry& entry) { return entry.draining; });
}

void RemoteCells::updateCell(const ZoneView& zone, const ConfigSnapshot& snapshot, TimePoint now)
{
    RemoteCellView* cell = find(zone.zone);
    if (!cell) {
        m_cells.push_back({});
        cell = &m_cells.back();
        cell->zone = zone.zone;
        cell->reachable = false;
    }
    cell->region = zone.region;
    cell->roundTripTime = roundTripTo(zone, snapshot);
    cell->draining = allDraining(zone.entries);
    if (zone.isReachable != cell->reachable) {
        cell->reachable = zone.isReachable;
        cell->reachableSince = now;
        logChange(LogLevel::Info, zone.isReachable ? "zone_reachable" : "zone_unreachable", { { "zone", zone.zone }, { "region", zone.region } });
    }
    m_entries[zone.zone] = zone.entries;
    if (zone.madeAt <= cell->digestAt)
        return;
    cell->digestAt = zone.madeAt;
    cell->digestDither = m_random.unit();
    cell->models.clear();
    for (const ModelRoom& room : zone.models) {
        RemoteModelView model;
        model.freeSlots = room.freeSlots;
        model.predictedWait = room.predictedWait;
        cell->models[room.model] = model;
    }
}

std::optional<ForwardTarget> RemoteCells::pickEntry(const RemoteCellView& cell, const std::string& session)
{
    const std::vector<ZoneEntry>& entries = m_entries[cell.zone];
    std::vector<ForwardEntry> candidates;
    candidates.reserve(entries.size());
    for (const ZoneEntry& entry : entries)
        candidates.push_back({ entry.ref.name, entry.draining, true });
    std::optional<std::size_t> chosen = chooseEntryForForward(candidates, session, m_random);
    if (!chosen)
        return std::nullopt;
    const ZoneEntry& entry = entries[*chosen];
    return ForwardTarget { cell.zone, cell.region, entry.ref, entry.peerAddress, cell.region != m_region, "", {} };
}

std::optional<ForwardTarget> RemoteCells::chooseForward(const RoutingRequest& request, const std::string& session, std::optional<Duration> localPrediction, TimePoint now)
{
    ForwardState& state = m_states[request.model];
    ForwardInputs inputs { request, m_zone, m_region, localPrediction, m_cells, m_policy, now };
    ForwardDecision decision = decideForward(inputs, state, m_random);
    const Forward* forward = std::get_if<Forward>(&decision);
    if (!forward)
        return std::nullopt;
    RemoteCellView& cell = m_cells[forward->cell];
    std::optional<ForwardTarget> target = pickEntry(cell, session);
    if (!target)
        return std::nullopt;
    target->model = request.model;
    target->sentAt = now;
    recordForward(cell, request.model);
    recordRouted(state, m_policy, forward->otherRegion, now);
    return target;
}

void RemoteCells::noteEnded(const ForwardTarget& target)
{
    if (RemoteCellView* cell = find(target.zone))
        recordForwardEnded(*cell, target.model, target.sentAt);
}

void RemoteCells::noteKept(const std::string& model, TimePoint now)
{
    recordRouted(m_states[model], m_policy, false, now);
}

double RemoteCells::shareAway(const std::string& model) const
{
    auto state = m_states.find(model);
    return state == m_states.end() ? 0 : crossRegionShare(state->second);
}

} // namespace catkinwing
