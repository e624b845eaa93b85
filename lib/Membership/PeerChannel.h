#pragma once

#include "catkinwing/PeerProtocol/PeerMessages.h"
#include <absl/container/flat_hash_map.h>
#include <deque>
#include <set>

namespace catkinwing {

/// A name and its counter.
struct NamedCount {
    std::string name;
    std::uint64_t count { 0 };
};

/// Counters by name.
using CountTable = absl::flat_hash_map<std::string, std::uint64_t>;

/// The largest changes among some counters.
struct TopChanges {
    std::vector<NamedCount> items;
    /// True if smaller changes were left out.
    bool hasMore { false };
};

/// Returns the \p limit items of \p current that differ most from \p acknowledged, the counts
/// already sent. A name that only \p acknowledged contains counts as zero in \p current.
TopChanges topChanges(const std::vector<NamedCount>& current, const CountTable& acknowledged, std::size_t limit);

/// The content of one message to the peer.
struct SentContent {
    std::uint64_t sequence { 0 };
    TimePoint sentAt {};
    StateHashes hashes;
    std::vector<NamedCount> servedTokens;
    std::vector<NamedCount> load;
    std::vector<EndpointLeaving> leaving;
    /// Zones and the versions of their digests.
    std::vector<NamedCount> digests;
    /// Zones and the hashes of their entries.
    std::vector<NamedCount> rosters;
};

/// The sending side of the exchange with one incarnation of a member. Records what the
/// member has acknowledged, so that only changes are sent.
class PeerChannel {
public:
    /// Drops all state, so that everything is sent again.
    void reset() { *this = PeerChannel(); }
    /// Records the content of a sent message.
    void record(SentContent content);
    /// Records that the member has received the message \p sequence. Returns the time at
    /// which the message was sent, or none if no record of the message is kept.
    std::optional<TimePoint> acknowledge(std::uint64_t sequence);

    /// Returns whether the member has acknowledged anything.
    bool isKnown() const { return m_isKnown; }
    /// Returns whether the acknowledged hashes and those of all unacknowledged messages
    /// equal \p hashes. Then the member has these hashes, whichever messages arrived.
    bool peerHasExactly(const StateHashes& hashes) const;
    const CountTable& served() const { return m_served; }
    const CountTable& load() const { return m_load; }
    /// Returns the version of the zone's digest that the member has; zero for none.
    std::uint64_t digestVersion(const std::string& zone) const;
    /// Returns the hash of the zone's entries that the member has; zero for none.
    std::uint64_t acknowledgedRosterDigest(const std::string& zone) const;
    bool knowsLeaving(const EndpointLeaving& endpoint) const { return m_leaving.count(endpoint) > 0; }
    /// Records that the member knows that the endpoint is leaving.
    void recordLeaving(const EndpointLeaving& endpoint) { m_leaving.insert(endpoint); }
    /// Removes an endpoint that is no longer tracked.
    void removeLeaving(const EndpointLeaving& endpoint) { m_leaving.erase(endpoint); }

private:
    bool m_isKnown { false };
    std::deque<SentContent> m_sent;
    StateHashes m_hashes;
    CountTable m_served;
    CountTable m_load;
    CountTable m_digests;
    CountTable m_rosters;
    std::set<EndpointLeaving> m_leaving;
};

} // namespace catkinwing
