#pragma once

#include "catkinwing/Config/ConfigSnapshot.h"
#include "catkinwing/Membership/MembershipView.h"
#include "catkinwing/Routing/Forwarding.h"
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace catkinwing {

/// Where a request is forwarded to.
struct ForwardTarget {
    std::string zone;
    std::string region;
    EntryRef entry;
    SocketAddress peerAddress;
    bool isOtherRegion { false };
    std::string model;
    TimePoint sentAt {};
};

/// The other availability zones as targets of forwards.
class RemoteCells {
public:
    RemoteCells(std::string region, std::string zone, Random& random);

    /// Takes over what the membership knows.
    void update(const MembershipView& view, const ConfigSnapshot& snapshot, TimePoint now);
    /// Decides whether a request is forwarded, and notes it if so.
    /// \p localPrediction is empty where this zone can't serve it.
    std::optional<ForwardTarget> chooseForward(const RoutingRequest& request, const std::string& session, std::optional<Duration> localPrediction, TimePoint now);
    /// Notes that a forward has ended, so that its slot may be counted on again.
    void noteEnded(const ForwardTarget& target);
    /// Counts a request that stays.
    void noteKept(const std::string& model, TimePoint now);
    /// Returns the share of the requests for \p model sent to other regions.
    double shareAway(const std::string& model) const;
    const std::vector<RemoteCellView>& cells() const { return m_cells; }

private:
    void updateCell(const ZoneView& zone, const ConfigSnapshot& snapshot, TimePoint now);
    RemoteCellView* find(const std::string& zone);
    Duration roundTripTo(const ZoneView& zone, const ConfigSnapshot& snapshot) const;
    std::optional<ForwardTarget> pickEntry(const RemoteCellView& cell, const std::string& session);

    std::string m_region;
    std::string m_zone;
    Random& m_random;
    ForwardPolicy m_policy;
    std::vector<RemoteCellView> m_cells;
    std::map<std::string, std::vector<ZoneEntry>> m_entries;
    std::map<std::string, ForwardState> m_states;
};

} // namespace catkinwing
