// Simulation of entries, endpoints and clients of two regions without a network. The requests
// are streams that clients resume at other entries when they break.
#pragma once

#include "Coordination/FakeStore.h"
#include "IngressFixture.h"
#include "catkinwing/Ingress/OutgoingDatagram.h"
#include <map>
#include <memory>
#include <set>

namespace catkinwing {

/// One start of a simulated endpoint.
struct StreamEndpoint {
    std::string incarnation;
    std::chrono::milliseconds startedAt { 0 };
    std::string version;
    std::string region;
    SocketAddress address;
    bool isUp { true };
    /// The endpoint sends nothing until this time.
    TimePoint silentUntil {};
    /// Callbacks that break the running streams when the endpoint crashes, by stream number.
    std::map<std::uint64_t, std::function<void()>> connectionBreakers;
};

/// One client and its stream.
struct StreamClient {
    /// Body of its requests, which no other client sends.
    std::string body;
    /// Identifier of the attempt that brought the first event; empty before that.
    std::string firstAttempt;
    std::uint64_t lastEvent { 0 };
    /// Software versions that the events came from, over all attempts.
    std::set<std::string> versions;
    /// The client closes the connection of its first attempt after this event.
    std::optional<std::uint64_t> leavesAfter;
    TimePoint deadline {};
    std::size_t attempts { 0 };
    std::size_t entry { 0 };
    bool hasEnded { false };
};

/// Totals over all clients.
struct StreamTotals {
    std::size_t streams { 0 };
    std::size_t begun { 0 };
    std::size_t completed { 0 };
    /// Streams with events of several software versions, and those of them that have them
    /// within one answer.
    std::size_t joined { 0 };
    std::size_t joinedWithinAnswer { 0 };
    /// Streams with a missing, repeated or misplaced event.
    std::size_t disordered { 0 };
    /// Streams that clients have taken up again while two endpoints of their version served, and
    /// those of them that went on.
    std::size_t takenUp { 0 };
    std::size_t wentOn { 0 };
    /// Answers that an entry has broken off before their end.
    std::size_t brokenOff { 0 };
    /// Answers 502 of an entry.
    std::size_t failed { 0 };
    /// Answers "not run" to attempts that had reached an endpoint.
    std::size_t untrueRefusals { 0 };
};

class StreamFleet {
public:
    /// Endpoints have \p versions in turn. \p maxAttempts is the number of endpoints that one client
    /// attempt may be sent to.
    /// \p homeRegions are the regions that the route allows. An empty list allows all.
    explicit StreamFleet(unsigned seed, const std::vector<std::string>& versions = { "v1", "v2" }, unsigned maxAttempts = 2, std::vector<std::string> homeRegions = {});
    ~StreamFleet();
    StreamFleet(const StreamFleet&) = delete;
    StreamFleet& operator=(const StreamFleet&) = delete;

    /// Starts a stream of a new client at a random entry. With \p leavesAfter, the client
    /// closes its connection after that event and takes the stream up at another entry.
    void startStream(std::optional<std::uint64_t> leavesAfter = std::nullopt, const std::string& body = {});
    /// Starts a stream that crashes each endpoint which runs it, after \p events events.
    void startDeadlyStream(std::uint64_t events);
    /// Sends \p perSecond new streams for \p span, of which the fraction \p leaving of the clients
    /// close their connections in between.
    void run(Duration span, unsigned perSecond, double leaving = 0);
    /// Waits until all streams have ended.
    void finish();
    void advance(Duration span);

    /// Crashes a running endpoint. After \p downTime one with \p version starts at its address,
    /// under the same incarnation if \p keepsIncarnation.
    void crashEndpoint(std::size_t index, Duration downTime, const std::string& version, bool keepsIncarnation = false);
    /// Replaces an endpoint by one of \p version at another address, after it has announced that it
    /// leaves.
    void replaceEndpoint(std::size_t index, const std::string& version);
    /// Makes an endpoint send nothing for \p span and then go on.
    void silence(std::size_t endpoint, Duration span) { m_endpoints[endpoint]->silentUntil = now() + span; }
    bool isSilent(std::size_t endpoint) const { return now() < m_endpoints[endpoint]->silentUntil; }
    std::size_t endpoints() const { return m_endpoints.size(); }
    const StreamEndpoint& endpoint(std::size_t index) const { return *m_endpoints[index]; }
    /// Kills an entry. A process without its state starts at its address after entryDownTime.
    void killEntry(std::size_t entry);
    std::size_t entries() const { return m_entries.size(); }
    IngressContext& partsOf(std::size_t entry);
    /// Puts a new configuration with the same route into force at all entries.
    void applyConfiguration();
    void setRegionsPartitioned(bool isPartitioned) { m_areRegionsPartitioned = isPartitioned; }
    /// Between these calls no registration reaches any entry.
    void silenceStore();
    void restoreStore();

    StreamTotals totals() const;
    TimePoint now() const { return scheduler.clock().now(); }

    ManualScheduler scheduler;
    Random random;
    /// Fraction of the datagrams between entries that are lost.
    double lostFraction { 0 };
    /// Time from the start of an endpoint until entries know of it.
    Duration registrationDelay { std::chrono::milliseconds(100) };
    /// Time from a request's arrival at an endpoint to the first event, and between events.
    Duration firstEventDelay { std::chrono::milliseconds(60) };
    Duration eventInterval { std::chrono::milliseconds(70) };
    std::uint64_t eventsPerStream { 14 };
    /// Time from the end of a killed entry until it starts again.
    Duration entryDownTime { std::chrono::seconds(1) };
    /// Client attempts whose first event came from each software version.
    std::map<std::string, std::size_t> begunAtVersion;
    /// Refusals that clients got for an attempt to resume a stream, by the reason.
    std::map<std::string, std::size_t> refusedTakeUps;
    std::vector<std::size_t> datagramBytesSent;
    /// Times at which deadly streams crashed endpoints.
    std::vector<TimePoint> deadlyCrashes;
    /// Time from the sending of each attempt that resumes a stream to its first event.
    std::vector<Duration> takeUpTimes;

private:
    class EndpointClient;
    class PeerClient;
    class ClientResponder;
    struct Entry;

    void makeEntry(std::size_t index);
    void startEntry(std::size_t index);
    void startEndpoint(StreamEndpoint endpoint);
    void publish(const EndpointRecord& record);
    void retract(const std::string& incarnation);
    void changeStore(std::function<void()> change);
    void followVersionRecord();
    void setVersionRecord(IngressContext& parts) const;
    std::shared_ptr<StreamEndpoint> endpointAt(const SocketAddress& address) const;
    std::size_t servingAt(const std::string& version) const;
    void attempt(const std::shared_ptr<StreamClient>& client);
    void crashFor(const StreamEndpoint& endpoint);
    void scheduleAttempt(const std::shared_ptr<StreamClient>& client, Duration delay);
    void exchangeReports();
    void deliver(std::size_t from, const std::vector<OutgoingDatagram>& datagrams);

    Dialect m_dialect { testDialect() };
    std::vector<std::unique_ptr<Entry>> m_entries;
    /// Killed entries, which timers may still refer to.
    std::vector<std::unique_ptr<Entry>> m_replacedEntries;
    std::vector<std::shared_ptr<StreamEndpoint>> m_endpoints;
    std::vector<std::shared_ptr<StreamClient>> m_clients;
    std::map<std::string, EndpointRecord> m_registrations;
    /// Holds the version record only, which reaches entries as late as registrations.
    FakeStore m_recordStore { scheduler };
    StoreRevision m_publishedRecord {};
    StoredValue m_knownRecord;
    std::vector<EntryRecord> m_records;
    std::map<SocketAddress, std::size_t> m_entryAt;
    Route m_route;
    std::shared_ptr<const RouteTable> m_routes;
    std::vector<std::function<void()>> m_heldChanges;
    std::optional<TimePoint> m_storeSilentSince;
    bool m_areRegionsPartitioned { false };
    std::size_t m_endpointStarts { 0 };
    std::uint64_t m_lastNumber { 0 };
    TimePoint m_nextReportTime {};
    StreamTotals m_totals;
    std::set<std::string> m_reachedAttempts;
    std::uint64_t m_deadlyEvents { 0 };
};

} // namespace catkinwing
