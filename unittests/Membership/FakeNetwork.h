#pragma once

#include "catkinwing/Membership/Membership.h"
#include "catkinwing/Support/ManualScheduler.h"
#include <deque>
#include <map>
#include <set>

namespace catkinwing {

class FakeNetwork;

/// Scheduler of one node. It uses the shared time and defers callbacks while the node
/// is paused.
class NodeScheduler final : public Scheduler {
public:
    explicit NodeScheduler(ManualScheduler& shared)
        : m_shared(shared)
    {
    }

    const Clock& clock() const override { return m_shared.clock(); }
    TimerId callAfter(Duration delay, Callback callback) override;
    void cancel(TimerId timer) override { m_shared.cancel(timer); }
    /// Runs \p work now, or on resumption if the node is paused.
    void run(Callback work);
    void pause() { m_isPaused = true; }
    /// Runs the deferred callbacks, the latest first, so that messages are handled
    /// before overdue timers.
    void resume();

private:
    ManualScheduler& m_shared;
    bool m_isPaused { false };
    std::deque<Callback> m_deferred;
};

/// One entry on the fake network.
class FakeNode final : public PeerTransport {
public:
    FakeNode(FakeNetwork& network, EntryIdentity identity, const MembershipOptions& options, std::uint64_t seed);
    ~FakeNode() override;

    void send(const SocketAddress& address, std::vector<PeerMessage> batch, Callback callback) override;
    TransportCounters counters() const override { return traffic; }
    /// Returns the replies to a batch that has arrived.
    std::vector<PeerReply> receive(const std::vector<PeerMessage>& batch);

    /// Returns this node's view of the member, or null.
    const MemberView* member(const std::string& name);
    /// Returns whether this node regards the member as usable for new work.
    bool regardsAsUsable(const std::string& name);
    /// Returns this node's view of the zone, or null.
    const ZoneView* zone(const std::string& name);

    const SocketAddress address;
    NodeScheduler scheduler;
    std::unique_ptr<Membership> membership;
    TransportCounters traffic;

    std::vector<Duration> pauses;
    std::vector<EndpointLeaving> leaving;
    std::vector<ConfigPeer> configPeers;
    std::map<std::string, std::uint64_t> servedElsewhere;
    bool isSuperseded { false };

private:
    MembershipEvents events();

    FakeNetwork& m_network;
};

/// Network with configurable loss, latency and cut links; messages pass through the
/// codec.
class FakeNetwork {
public:
    explicit FakeNetwork(std::uint64_t seed)
        : m_random(seed)
    {
    }

    /// Starts an entry; its region is the part of the zone's name before the dash.
    FakeNode& add(const std::string& name, const std::string& zone, const SocketAddress& address);
    /// As above, with the start of its incarnation given.
    FakeNode& add(const std::string& name, const std::string& zone, const SocketAddress& address, std::uint64_t start);
    /// Terminates an entry without an announcement.
    void kill(FakeNode& node);
    /// Drops messages from \p from to \p to.
    void cutOneWay(const FakeNode& from, const FakeNode& to) { m_cuts.insert({ from.address, to.address }); }
    /// Drops messages in both directions.
    void cut(const FakeNode& a, const FakeNode& b);
    void heal() { m_cuts.clear(); }
    void advance(Duration span) { m_scheduler.advance(span); }
    /// Advances the time until \p condition holds and returns the time passed, or none
    /// if the condition doesn't hold within \p limit.
    std::optional<Duration> advanceUntil(Duration limit, const std::function<bool()>& condition);

    void transmit(FakeNode& from, const SocketAddress& to, const std::vector<PeerMessage>& batch, PeerTransport::Callback callback);

    ManualScheduler& scheduler() { return m_scheduler; }
    const std::vector<FakeNode*>& nodes() const { return m_order; }

    MembershipOptions options;
    Duration latency { std::chrono::milliseconds(1) };
    Duration timeout { std::chrono::seconds(1) };
    /// Fraction of the messages and replies that are lost.
    double loss { 0 };

private:
    bool isLost(const SocketAddress& from, const SocketAddress& to);
    void deliver(FakeNode& from, const SocketAddress& to, const std::string& bytes, std::size_t messages, const PeerTransport::Callback& finish);

    ManualScheduler m_scheduler;
    Random m_random;
    std::set<std::pair<SocketAddress, SocketAddress>> m_cuts;
    std::map<SocketAddress, std::unique_ptr<FakeNode>> m_nodes;
    std::vector<std::unique_ptr<FakeNode>> m_dead;
    std::vector<FakeNode*> m_order;
};

} // namespace catkinwing
