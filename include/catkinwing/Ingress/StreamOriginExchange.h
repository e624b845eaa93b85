#pragma once

#include "catkinwing/Ingress/EndpointTable.h"
#include "catkinwing/Ingress/EntryTable.h"
#include "catkinwing/Ingress/OutgoingDatagram.h"
#include "catkinwing/Ingress/StreamOrigins.h"
#include "catkinwing/PeerProtocol/StreamOriginMessages.h"
#include "catkinwing/Support/Scheduler.h"
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace catkinwing {

/// Totals since the start of the entry.
struct StreamOriginTotals {
    std::uint64_t stated { 0 };
    std::uint64_t asked { 0 };
    /// Streams whose version other entries told, or this entry knew itself.
    std::uint64_t found { 0 };
    /// Streams whose service has had one version only.
    std::uint64_t concluded { 0 };
    /// Streams whose version is unknown or not certain.
    std::uint64_t unknown { 0 };
};

/// A stream that an endpoint has begun.
struct StartedStream {
    RequestFingerprint stream;
    /// The only service that can have begun it; empty if there may be others.
    std::string service;
    /// Version of the endpoint, or uncertainBuild.
    BuildId build { uncertainBuild };
    /// Hash of the endpoint's incarnation; zero if another entry chose it.
    std::uint32_t endpoint { 0 };
    /// Regions whose entries may know of the stream; all if empty.
    std::vector<std::string> regions;
};

/// Tells other entries at which software version a stream began, and asks them for it when a
/// client resumes the stream here. A stream's holders are chosen by rendezvous hashing: a few
/// entries of the region and one of another region.
class StreamOriginExchange {
public:
    using Send = std::function<void(const OutgoingDatagram& datagram)>;
    /// Receives the version at which a stream must go on; nothing if it isn't known.
    using Resolved = std::function<void(std::optional<BuildId> build)>;

    /// All references must outlive the exchange; \p self is the record of this entry.
    StreamOriginExchange(const EndpointTable& endpoints, const EntryTable& entries, EntryRecord self, Scheduler& scheduler, Send send);
    ~StreamOriginExchange();
    StreamOriginExchange(const StreamOriginExchange&) = delete;
    StreamOriginExchange& operator=(const StreamOriginExchange&) = delete;

    /// States at which version a stream began. Nothing is sent if other entries can conclude it.
    void state(StartedStream stream);
    /// States that the version of the streams isn't certain that may have been begun by the later
    /// start which has replaced the endpoint.
    void withdrawAfterRestart(const RoutedEndpoint& replaced);
    /// Determines the version of a stream. Calls \p done at once or within some 150 ms.
    void resolve(const RequestFingerprint& stream, const std::string& service, const std::vector<std::string>& regions, Resolved done);
    /// Must be called ten times a second.
    void tick();
    void handleMessage(const SocketAddress& from, const StreamOriginMessage& message);
    const StreamOriginTotals& totals() const { return m_totals; }
    /// Returns the number of streams of which a statement is kept.
    std::size_t size() const { return m_origins.size(); }

private:
    struct PendingAsk {
        std::string service;
        Resolved done;
        std::size_t awaited { 0 };
        /// The version that the holders know; nothing if none knows a statement.
        std::optional<BuildId> known;
        /// The only version that the service has had, by the replies.
        BuildId sole { uncertainBuild };
        /// Another entry concludes the same version as this one, or there is none to ask.
        bool isConfirmed { false };
        TimerId timer { 0 };
    };
    struct Candidate {
        std::uint64_t hash { 0 };
        SocketAddress address;
    };

    TimePoint now() const { return m_scheduler.clock().now(); }
    void updateEntries();
    void send(const StartedStream& stream);
    std::vector<SocketAddress> holdersIn(const std::string& region, const RequestFingerprint& stream, std::size_t count) const;
    std::vector<std::string> rankedRegions(const RequestFingerprint& stream, const std::vector<std::string>& allowed) const;
    std::vector<SocketAddress> holders(const RequestFingerprint& stream, const std::vector<std::string>& allowed, std::size_t otherRegions) const;
    void answerAsk(const SocketAddress& from, const StreamOriginMessage& ask);
    void handleReply(const StreamOriginMessage& reply);
    /// Concludes if the version is confirmed. Otherwise waits for \p left.
    void stopWaiting(std::uint32_t id, std::chrono::milliseconds left);
    void conclude(std::uint32_t id);

    const EndpointTable& m_endpoints;
    const EntryTable& m_entries;
    EntryRecord m_self;
    Scheduler& m_scheduler;
    Send m_send;
    StreamOrigins m_origins;
    /// The streams that endpoints of this entry's choice have begun in the last seconds.
    std::deque<std::pair<TimePoint, StartedStream>> m_started;
    StreamOriginTotals m_totals;
    std::map<std::uint32_t, PendingAsk> m_pendingAsks;
    std::uint32_t m_lastId { 0 };
    std::uint32_t m_lastSequence { 0 };
    /// The entries of each region, this one included, as of m_appliedEntryChanges.
    std::map<std::string, std::vector<Candidate>> m_candidates;
    std::optional<std::uint64_t> m_appliedEntryChanges;
};

} // namespace catkinwing
