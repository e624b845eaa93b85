#include "catkinwing/Ingress/StreamOriginExchange.h"

#include "catkinwing/PeerProtocol/RegionReport.h"
#include "catkinwing/Support/Hash.h"
#include <algorithm>
#include <utility>

namespace catkinwing {

using std::chrono::milliseconds;

/// Number of entries of this region that hold the version of a stream. They serve a client that
/// comes back while the regions are partitioned, and one of them may be lost.
static constexpr std::size_t holdersHere = 2;
/// Number of other regions in which one entry holds the version of a stream, for the loss of
/// this region.
static constexpr std::size_t holdingRegions = 1;
/// Number of other regions in which an entry is asked: the entry that stated the version may be
/// in the one that ranks first, and has then told the next one.
static constexpr std::size_t askedRegions = 2;
/// Entries of other regions are some 55 ms away.
static constexpr milliseconds replyTimeout { 150 };
/// Entries of this region are a few milliseconds away. An entry that can conclude the version
/// waits no longer for others to know better, once one has confirmed it.
static constexpr milliseconds replyTimeoutIfConcluded { 40 };
/// Retention of the streams that endpoints have begun. A later start of an endpoint is known
/// within this time, unless the store is silent.
static constexpr milliseconds startedRetention { 5'000 };
static constexpr std::size_t maxStarted = 4'096;

StreamOriginExchange::StreamOriginExchange(const EndpointTable& endpoints, const EntryTable& entries, EntryRecord self, Scheduler& scheduler, Send send)
    : m_endpoints(endpoints)
    , m_entries(entries)
    , m_self(std::move(self))
    , m_scheduler(scheduler)
    , m_send(std::move(send))
{
}

StreamOriginExchange::~StreamOriginExchange()
{
    for (const auto& [id, pending] : m_pendingAsks)
        m_scheduler.cancel(pending.timer);
}

void StreamOriginExchange::updateEntries()
{
    if (m_appliedEntryChanges == m_entries.changeCount())
        return;
    m_appliedEntryChanges = m_entries.changeCount();
    m_candidates.clear();
    auto add = [this](const std::string& region, const SocketAddress& address) {
        // An entry that restarts keeps its address, but not its key.
        m_candidates[region].push_back({ stableHash(address.toString()), address });
    };
    add(m_self.region, m_self.peerAddress);
    for (const EntryTable::Neighbor& neighbor : m_entries.otherEntries())
        add(neighbor.region, neighbor.address);
}

std::vector<SocketAddress> StreamOriginExchange::holdersIn(const std::string& region, const RequestFingerprint& stream, std::size_t count) const
{
    auto found = m_candidates.find(region);
    if (found == m_candidates.end())
        return {};
    std::vector<std::pair<std::uint64_t, const Candidate*>> ranked;
    for (const Candidate& candidate : found->second)
        ranked.emplace_back(stableHash(stream, candidate.hash), &candidate);
    count = std::min(count, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), ranked.end());
    std::vector<SocketAddress> chosen;
    for (std::size_t i = 0; i < count; ++i)
        chosen.push_back(ranked[i].second->address);
    return chosen;
}

// Returns the other regions in an order that depends on the stream only.
std::vector<std::string> StreamOriginExchange::rankedRegions(const RequestFingerprint& stream, const std::vector<std::string>& allowed) const
{
    std::vector<std::pair<std::uint64_t, std::string>> ranked;
    for (const auto& [region, candidates] : m_candidates) {
        bool isAllowed = allowed.empty() || std::find(allowed.begin(), allowed.end(), region) != allowed.end();
        if (isAllowed && region != m_self.region)
            ranked.emplace_back(stableHash(stream, stableHash(region)), region);
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<std::string> regions;
    regions.reserve(ranked.size());
    for (auto& [score, region] : ranked)
        regions.push_back(std::move(region));
    return regions;
}

std::vector<SocketAddress> StreamOriginExchange::holders(const RequestFingerprint& stream, const std::vector<std::string>& allowed, std::size_t otherRegions) const
{
    std::vector<SocketAddress> chosen = holdersIn(m_self.region, stream, holdersHere);
    std::vector<std::string> regions = rankedRegions(stream, allowed);
    for (std::size_t i = 0; i < std::min(otherRegions, regions.size()); ++i) {
        for (const SocketAddress& address : holdersIn(regions[i], stream, 1))
            chosen.push_back(address);
    }
    chosen.erase(std::remove(chosen.begin(), chosen.end(), m_self.peerAddress), chosen.end());
    return chosen;
}

void StreamOriginExchange::send(const StartedStream& stream)
{
    updateEntries();
    StreamOriginMessage message;
    message.rows.push_back({ stream.stream, stream.build, ++m_lastSequence });
    m_origins.record(stream.stream, { stream.build, m_self.peerAddress, m_lastSequence }, now());
    ++m_totals.stated;
    std::string bytes = encodeStreamOriginMessage(message);
    for (const SocketAddress& holder : holders(stream.stream, stream.regions, holdingRegions))
        m_send({ holder, bytes });
}

void StreamOriginExchange::state(StartedStream stream)
{
    if (stream.build == uncertainBuild || !m_endpoints.isConcludedByAll(stream.service, stream.build, now()))
        send(stream);
    bool isKept = stream.endpoint != 0 && stream.build != uncertainBuild && m_started.size() < maxStarted;
    if (isKept)
        m_started.emplace_back(now(), std::move(stream));
}

// The streams that began before a connection to the endpoint was lost began before its end.
void StreamOriginExchange::withdrawAfterRestart(const RoutedEndpoint& replaced)
{
    if (!replaced.wasReplacedByOtherVersion)
        return;
    for (auto& [at, stream] : m_started) {
        if (stream.endpoint != replaced.hash || at < replaced.connectionLostAt || stream.build == uncertainBuild)
            continue;
        stream.build = uncertainBuild;
        send(stream);
    }
}

void StreamOriginExchange::resolve(const RequestFingerprint& stream, const std::string& service, const std::vector<std::string>& regions, Resolved done)
{
    updateEntries();
    PendingAsk pending;
    pending.service = service;
    pending.done = std::move(done);
    pending.known = m_origins.find(stream);
    std::uint32_t id = ++m_lastId;
    if (!pending.known) {
        StreamOriginMessage ask;
        ask.kind = StreamOriginKind::Ask;
        ask.id = id;
        ask.service = serviceHash(service);
        ask.rows.push_back({ stream, uncertainBuild, 0 });
        std::string bytes = encodeStreamOriginMessage(ask);
        for (const SocketAddress& holder : holders(stream, regions, askedRegions)) {
            m_send({ holder, bytes });
            ++pending.awaited;
        }
        ++m_totals.asked;
    }
    bool isComplete = pending.awaited == 0;
    pending.isConfirmed = isComplete;
    milliseconds timeout = m_endpoints.soleVersion(service, now()) ? replyTimeoutIfConcluded : replyTimeout;
    if (!isComplete)
        pending.timer = m_scheduler.callAfter(timeout, [this, id, left = replyTimeout - timeout] { stopWaiting(id, left); });
    m_pendingAsks.emplace(id, std::move(pending));
    if (isComplete)
        conclude(id);
}

// Entries of this region may all be unable to confirm the version, such as after a restart.
void StreamOriginExchange::stopWaiting(std::uint32_t id, milliseconds left)
{
    PendingAsk& pending = m_pendingAsks.at(id);
    if (pending.isConfirmed || left == milliseconds::zero())
        conclude(id);
    else
        pending.timer = m_scheduler.callAfter(left, [this, id] { conclude(id); });
}

// What is stated of the stream goes before what can be concluded from the versions of the
// service. An entry that is out of touch may conclude a version from what it knew before, while
// streams begin at a new one, so another entry has to confirm it, if there is any.
void StreamOriginExchange::conclude(std::uint32_t id)
{
    auto found = m_pendingAsks.find(id);
    PendingAsk pending = std::move(found->second);
    m_pendingAsks.erase(found);
    m_scheduler.cancel(pending.timer);
    std::optional<BuildId> build = pending.known;
    if (build && *build != uncertainBuild) {
        ++m_totals.found;
        pending.done(build);
        return;
    }
    if (!build) {
        std::optional<BuildId> own = m_endpoints.soleVersion(pending.service, now());
        if (own ? pending.isConfirmed : pending.sole != uncertainBuild)
            build = own ? own : pending.sole;
    }
    bool isConcluded = build && *build != uncertainBuild;
    ++(isConcluded ? m_totals.concluded : m_totals.unknown);
    pending.done(isConcluded ? build : std::nullopt);
}

void StreamOriginExchange::tick()
{
    m_origins.expire(m_endpoints.streamLifetime(), now());
    while (!m_started.empty() && now() - m_started.front().first >= startedRetention)
        m_started.pop_front();
}

void StreamOriginExchange::answerAsk(const SocketAddress& from, const StreamOriginMessage& ask)
{
    const RequestFingerprint& stream = ask.rows.front().stream;
    std::optional<BuildId> build = m_origins.find(stream);
    StreamOriginMessage reply;
    reply.kind = StreamOriginKind::Reply;
    reply.id = ask.id;
    reply.isKnown = build.has_value();
    reply.soleBuild = m_endpoints.soleVersionByHash(ask.service, now()).value_or(uncertainBuild);
    if (build)
        reply.rows.push_back({ stream, *build, 0 });
    m_send({ from, encodeStreamOriginMessage(reply) });
}

// A version that is known ends the wait. Holders of which one missed a statement may differ;
// an uncertain version at any of them counts.
void StreamOriginExchange::handleReply(const StreamOriginMessage& reply)
{
    auto found = m_pendingAsks.find(reply.id);
    if (found == m_pendingAsks.end())
        return;
    PendingAsk& pending = found->second;
    --pending.awaited;
    if (reply.isKnown)
        pending.known = reply.rows.front().build;
    else if (reply.soleBuild != uncertainBuild) {
        pending.sole = reply.soleBuild;
        pending.isConfirmed = pending.isConfirmed || reply.soleBuild == m_endpoints.soleVersion(pending.service, now());
    }
    if (pending.known || pending.awaited == 0)
        conclude(reply.id);
}

void StreamOriginExchange::handleMessage(const SocketAddress& from, const StreamOriginMessage& message)
{
    updateEntries();
    auto isFromEntry = [&](const auto& region) {
        return std::any_of(region.second.begin(), region.second.end(), [&](const Candidate& candidate) { return candidate.address == from; });
    };
    if (std::none_of(m_candidates.begin(), m_candidates.end(), isFromEntry))
        return;
    switch (message.kind) {
    case StreamOriginKind::Statement:
        for (const StreamOriginRow& row : message.rows)
            m_origins.record(row.stream, { row.build, from, row.sequence }, now());
        return;
    case StreamOriginKind::Ask:
        answerAsk(from, message);
        return;
    case StreamOriginKind::Reply:
        handleReply(message);
        return;
    }
}

} // namespace catkinwing
