#include "catkinwing/Gateway/ConfigSync.h"

#include "catkinwing/PeerProtocol/PeerCodec.h"
#include "catkinwing/Routing/CallerSteering.h"
#include <absl/strings/str_cat.h>

namespace catkinwing {

static constexpr std::size_t watchersPerZone = 2;
/// Pause between two reads of the whole tree by an entry that has none.
static constexpr std::chrono::seconds listInterval { 2 };

ConfigSync::ConfigSync(ConfigKeeper& keeper, Membership& membership, PeerTransport& transport, Scheduler& scheduler)
    : m_keeper(keeper)
    , m_membership(membership)
    , m_transport(transport)
    , m_scheduler(scheduler)
{
}

// Place of this entry in the order in which the zone's entries watch the store.
// Entries that don't hear this one are counted out: while the zone is split,
// each part watches for itself.
std::size_t ConfigSync::rank() const
{
    std::string key = absl::StrCat("config-watch/", m_membership.self().zone);
    double own = rendezvousScore(key, m_membership.self().ref.name, 1);
    std::size_t better = 0;
    for (const MemberView& member : m_membership.view().members) {
        if (member.isUsable() && rendezvousScore(key, member.identity.ref.name, 1) > own)
            ++better;
    }
    return better;
}

void ConfigSync::updateDuty()
{
    m_keeper.setWatching(rank() < watchersPerZone);
    TimePoint now = m_scheduler.clock().now();
    bool isEmpty = m_keeper.tree().revisions().empty();
    bool isDue = !m_hasListed || now - m_listedAt >= listInterval;
    if (!isEmpty || !isDue)
        return;
    m_hasListed = true;
    m_listedAt = now;
    m_keeper.listOnce();
}

void ConfigSync::push(const std::vector<ConfigEntry>& entries)
{
    // The second watcher stays silent: it has the same news, and the digests in
    // heartbeats find out whoever missed the push.
    bool isSecondWatcher = m_keeper.isWatching() && rank() > 0;
    if (isSecondWatcher && m_keeper.isFollowing())
        return;
    for (const MemberView& member : m_membership.view().members) {
        if (!member.isUsable())
            continue;
        for (ConfigPush& chunk : splitConfig(entries))
            m_transport.send(member.identity.peerAddress, { std::move(chunk) }, [](const auto&) {});
    }
}

void ConfigSync::reconcile(const ConfigPeer& peer)
{
    ConfigPull pull { m_keeper.revisions() };
    m_transport.send(peer.peerAddress, { std::move(pull) }, [this, peer](const absl::StatusOr<std::vector<PeerReply>>& replies) {
        if (!replies.ok())
            return;
        const ConfigNewer* newer = std::get_if<ConfigNewer>(&replies->front());
        if (!newer)
            return;
        std::size_t applied = m_keeper.offerFromPeer(newer->entries);
        if (newer->hasMore && applied > 0)
            reconcile(peer);
    });
}

} // namespace catkinwing
