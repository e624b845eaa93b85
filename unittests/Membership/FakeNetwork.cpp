#include "FakeNetwork.h"

#include "catkinwing/PeerProtocol/PeerCodec.h"
#include <algorithm>

namespace catkinwing {

using namespace std::chrono_literals;

TimerId NodeScheduler::callAfter(Duration delay, Callback callback)
{
    return m_shared.callAfter(delay, [this, callback = std::move(callback)] { run(callback); });
}

void NodeScheduler::run(Callback work)
{
    if (m_isPaused)
        m_deferred.push_front(std::move(work));
    else
        work();
}

void NodeScheduler::resume()
{
    m_isPaused = false;
    std::deque<Callback> waiting;
    waiting.swap(m_deferred);
    for (const Callback& work : waiting)
        work();
}

FakeNode::FakeNode(FakeNetwork& network, EntryIdentity identity, const MembershipOptions& options, std::uint64_t seed)
    : address(identity.peerAddress)
    , scheduler(network.scheduler())
    , m_network(network)
{
    membership = std::make_unique<Membership>(std::move(identity), options, scheduler, *this, Random(seed), events());
}

FakeNode::~FakeNode() = default;

MembershipEvents FakeNode::events()
{
    MembershipEvents events;
    events.onPaused = [this](Duration span) { pauses.push_back(span); };
    events.onConfigDiffers = [this](const ConfigPeer& peer) { configPeers.push_back(peer); };
    events.onEndpointLeaving = [this](const EndpointLeaving& endpoint) { leaving.push_back(endpoint); };
    events.onServedElsewhere = [this](const ServedElsewhere& served) { servedElsewhere[served.team] += served.tokens; };
    events.onSuperseded = [this] { isSuperseded = true; };
    return events;
}

void FakeNode::send(const SocketAddress& to, std::vector<PeerMessage> batch, Callback callback)
{
    m_network.transmit(*this, to, batch, std::move(callback));
}

std::vector<PeerReply> FakeNode::receive(const std::vector<PeerMessage>& batch)
{
    std::vector<PeerReply> replies;
    replies.reserve(batch.size());
    for (const PeerMessage& message : batch)
        replies.push_back(membership->handle(message).value_or(PeerError { PeerErrorCode::Unavailable, "not handled", std::nullopt }));
    return replies;
}

const MemberView* FakeNode::member(const std::string& name)
{
    const std::vector<MemberView>& members = membership->view().members;
    auto found = std::find_if(members.begin(), members.end(), [&](const MemberView& view) { return view.identity.ref.name == name; });
    return found == members.end() ? nullptr : &*found;
}

bool FakeNode::regardsAsUsable(const std::string& name)
{
    const MemberView* view = member(name);
    return view && view->isUsable();
}

const ZoneView* FakeNode::zone(const std::string& name)
{
    const std::vector<ZoneView>& zones = membership->view().zones;
    auto found = std::find_if(zones.begin(), zones.end(), [&](const ZoneView& view) { return view.zone == name; });
    return found == zones.end() ? nullptr : &*found;
}

FakeNode& FakeNetwork::add(const std::string& name, const std::string& zone, const SocketAddress& address)
{
    auto now = std::chrono::duration_cast<std::chrono::milliseconds>(m_scheduler.clock().now().time_since_epoch());
    return add(name, zone, address, 1 + static_cast<std::uint64_t>(now.count()));
}

FakeNode& FakeNetwork::add(const std::string& name, const std::string& zone, const SocketAddress& address, std::uint64_t start)
{
    std::string region = zone.substr(0, zone.find('-'));
    EntryIdentity identity { { name, { start, m_random.bits() } }, zone, region, address, address, address };
    auto node = std::make_unique<FakeNode>(*this, std::move(identity), options, m_random.bits());
    FakeNode& added = *node;
    m_nodes[address] = std::move(node);
    m_order.push_back(&added);
    added.membership->start();
    return added;
}

void FakeNetwork::kill(FakeNode& node)
{
    m_order.erase(std::find(m_order.begin(), m_order.end(), &node));
    // The scheduler still holds timers and callbacks that refer to the node, so only
    // its membership is destroyed.
    node.scheduler.pause();
    auto dead = m_nodes.extract(node.address);
    dead.mapped()->membership.reset();
    m_dead.push_back(std::move(dead.mapped()));
}

void FakeNetwork::cut(const FakeNode& a, const FakeNode& b)
{
    cutOneWay(a, b);
    cutOneWay(b, a);
}

std::optional<Duration> FakeNetwork::advanceUntil(Duration limit, const std::function<bool()>& condition)
{
    constexpr Duration step = 50ms;
    for (Duration passed {}; passed <= limit; passed += step) {
        if (condition())
            return passed;
        advance(step);
    }
    return std::nullopt;
}

bool FakeNetwork::isLost(const SocketAddress& from, const SocketAddress& to)
{
    return m_cuts.count({ from, to }) > 0 || (loss > 0 && m_random.unit() < loss);
}

void FakeNetwork::transmit(FakeNode& from, const SocketAddress& to, const std::vector<PeerMessage>& batch, PeerTransport::Callback callback)
{
    std::string bytes = encodeBatch(batch);
    ++from.traffic.batchesSent;
    from.traffic.bytesSent += bytes.size();
    auto isDone = std::make_shared<bool>(false);
    PeerTransport::Callback finish = [isDone, callback = std::move(callback)](auto replies) {
        if (std::exchange(*isDone, true))
            return;
        callback(std::move(replies));
    };
    from.scheduler.callAfter(timeout, [finish] { finish(absl::DeadlineExceededError("no answer in time")); });
    if (isLost(from.address, to))
        return;
    m_scheduler.callAfter(latency, [this, &from, to, bytes = std::move(bytes), messages = batch.size(), finish] {
        deliver(from, to, bytes, messages, finish);
    });
}

void FakeNetwork::deliver(FakeNode& from, const SocketAddress& to, const std::string& bytes, std::size_t messages, const PeerTransport::Callback& finish)
{
    auto target = m_nodes.find(to);
    if (target == m_nodes.end()) {
        from.scheduler.run([finish] { finish(absl::UnavailableError("connection refused")); });
        return;
    }
    FakeNode& node = *target->second;
    node.scheduler.run([this, &from, &node, bytes, messages, finish] {
        if (!node.membership)
            return;
        node.traffic.bytesReceived += bytes.size();
        std::string answer = encodeReplies(node.receive(*decodeBatch(bytes)));
        ++node.traffic.batchesReceived;
        node.traffic.bytesSent += answer.size();
        if (isLost(node.address, from.address))
            return;
        m_scheduler.callAfter(latency, [&from, answer, messages, finish] {
            from.scheduler.run([&from, answer, messages, finish] {
                from.traffic.bytesReceived += answer.size();
                finish(decodeReplies(answer, messages));
            });
        });
    });
}

} // namespace catkinwing
