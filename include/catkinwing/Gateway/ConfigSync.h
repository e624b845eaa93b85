#pragma once

#include "catkinwing/Gateway/ConfigKeeper.h"
#include "catkinwing/Membership/Membership.h"

namespace catkinwing {

/// Spreads configuration among entries: two entries of a zone watch the store,
/// the first of them pushes news to the others, and whoever sees that a peer has
/// another digest pulls from it.
class ConfigSync {
public:
    /// All references must outlive this.
    ConfigSync(ConfigKeeper& keeper, Membership& membership, PeerTransport& transport, Scheduler& scheduler);

    /// Takes up or gives up the watch as the membership asks for; to be called
    /// each second or so.
    void updateDuty();
    /// Sends documents to the other members of the zone.
    void push(const std::vector<ConfigEntry>& entries);
    /// Fetches what \p peer has and this entry lacks.
    void reconcile(const ConfigPeer& peer);

private:
    std::size_t rank() const;

    ConfigKeeper& m_keeper;
    Membership& m_membership;
    PeerTransport& m_transport;
    Scheduler& m_scheduler;
    TimePoint m_listedAt {};
    bool m_hasListed { false };
};

} // namespace catkinwing
