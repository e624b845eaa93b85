#include "catkinwing/Gateway/EntryDirectory.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <nlohmann/json.hpp>

namespace catkinwing {

EntryDirectory::EntryDirectory(EntryIdentity self)
    : m_self(std::move(self))
{
}

void EntryDirectory::add(EntryIdentity identity, EntryView view)
{
    view.name = identity.ref.name;
    view.zone = identity.zone;
    view.region = identity.region;
    m_identities.push_back(std::move(identity));
    m_views.push_back(std::move(view));
}

static Duration roundTripToRegion(const ConfigSnapshot& snapshot, const std::string& from, const std::string& to)
{
    constexpr std::chrono::milliseconds unknownLink { 60 };
    const RegionDocument* region = findRegion(snapshot, from);
    if (!region)
        return 2 * Duration(unknownLink);
    auto link = std::find_if(region->links.begin(), region->links.end(), [&to](const RegionLink& candidate) { return candidate.to == to; });
    return 2 * (link == region->links.end() ? Duration(unknownLink) : link->oneWayLatency);
}

void EntryDirectory::update(const MembershipView& view, const ConfigSnapshot& snapshot, const std::vector<std::string>& ownModels, TimePoint now)
{
    m_slowStart.window = snapshot.global->slowStart;
    m_identities.clear();
    m_views.clear();
    m_others.clear();
    EntryView own;
    own.draining = view.draining;
    own.models = ownModels;
    // Entries are ready as soon as they are known: what ramps up is work, by
    // the slow start of zones and endpoints, not the right to be asked.
    own.availableSince = now - m_slowStart.window;
    add(m_self, own);
    for (const MemberView& member : view.members) {
        EntryView entry = own;
        entry.draining = member.draining;
        entry.reachable = member.isUsable();
        if (member.state != MemberState::Dead)
            m_others.push_back(member.identity);
        add(member.identity, entry);
    }
    for (const ZoneView& zone : view.zones) {
        EntryView entry;
        entry.reachable = zone.isReachable;
        entry.availableSince = own.availableSince;
        entry.roundTripTime = zone.region == m_self.region ? Duration::zero() : roundTripToRegion(snapshot, m_self.region, zone.region);
        for (const ModelRoom& room : zone.models)
            entry.models.push_back(room.model);
        for (const ZoneEntry& known : zone.entries) {
            EntryIdentity identity { known.ref, zone.zone, zone.region, known.callerAddress, known.peerAddress, {} };
            entry.draining = known.draining;
            m_others.push_back(identity);
            add(std::move(identity), entry);
        }
    }
}

std::vector<EntryIdentity> EntryDirectory::steer(SteeringRequest request, TimePoint now) const
{
    if (request.zone.empty())
        request.zone = m_self.zone;
    if (request.region.empty())
        request.region = m_self.region;
    std::vector<EntryIdentity> entries;
    for (std::size_t place : rankEntries(request, m_views, m_slowStart, now))
        entries.push_back(m_identities[place]);
    return entries;
}

std::optional<ForwardTarget> EntryDirectory::find(const std::string& name, std::uint64_t incarnation) const
{
    auto entry = std::find_if(m_others.begin(), m_others.end(), [&](const EntryIdentity& candidate) {
        return candidate.ref.name == name && candidate.ref.incarnation.random == incarnation;
    });
    if (entry == m_others.end())
        return std::nullopt;
    return ForwardTarget { entry->zone, entry->region, entry->ref, entry->peerAddress, entry->region != m_self.region, "", {} };
}

const EntryIdentity* EntryDirectory::findByName(const std::string& name) const
{
    const EntryIdentity* latest = nullptr;
    for (const EntryIdentity& entry : m_others) {
        bool isLater = !latest || latest->ref.incarnation < entry.ref.incarnation;
        if (entry.ref.name == name && isLater)
            latest = &entry;
    }
    return latest;
}

std::string entriesBody(const std::vector<EntryIdentity>& entries, const std::string& scheme)
{
    nlohmann::json list = nlohmann::json::array();
    for (const EntryIdentity& entry : entries) {
        list.push_back({
            { "name", entry.ref.name },
            { "zone", entry.zone },
            { "region", entry.region },
            { "url", absl::StrCat(scheme, "://", entry.callerAddress.toString()) },
        });
    }
    return nlohmann::json { { "entries", std::move(list) } }.dump();
}

} // namespace catkinwing
