#include "MembershipImpl.h"

namespace catkinwing {

static MemberView viewOf(const Member& member)
{
    MemberView view;
    view.identity = member.identity;
    view.state = member.state;
    view.draining = member.draining;
    view.lastReceivedAt = member.lastReceivedAt;
    view.pauses = member.pauses;
    view.configDigest = member.hashes.config;
    view.demand = member.demand;
    view.load.reserve(member.load.size());
    for (const auto& [endpoint, inFlight] : member.load)
        view.load.push_back({ endpoint, inFlight });
    return view;
}

static ZoneView viewOf(const std::string& name, const Zone& zone)
{
    ZoneView view;
    view.zone = name;
    view.region = zone.region;
    view.entries = zone.entries;
    if (!zone.digest)
        return view;
    view.madeAt = zone.madeAt;
    view.models = zone.digest->models;
    view.configDigest = zone.digest->configDigest;
    return view;
}

const MembershipView& Membership::Impl::view()
{
    checkForPause();
    m_view.draining = m_isDraining;
    if (m_isMembersViewStale) {
        m_isMembersViewStale = false;
        m_view.members.clear();
        for (const auto& [name, member] : m_members.all()) {
            m_view.members.push_back(viewOf(member));
            bool isAnswering = member.failures < m_options.unusableAfterFailures;
            m_view.members.back().receivesOurMessages = isAnswering && member.hasRecentAcknowledgement(m_options, now(), interval());
        }
        m_view.leaving.clear();
        for (const auto& [endpoint, state] : m_leaving)
            m_view.leaving.push_back(endpoint);
    }
    if (m_isZonesViewStale) {
        m_isZonesViewStale = false;
        m_view.zones.clear();
        for (const auto& [name, zone] : m_zones.all()) {
            m_view.zones.push_back(viewOf(name, zone));
            m_view.zones.back().isReachable = isReachable(zone);
            m_view.zones.back().relays = relayNames(name);
        }
    }
    return m_view;
}

} // namespace catkinwing
