// Simulation of entries and endpoints of two regions without a network. Endpoints can crash
// or refuse requests.
#pragma once

#include "Gateway/FakeResponder.h"
#include "IngressFixture.h"
#include "SimulatedPath.h"
#include "catkinwing/Ingress/OutgoingDatagram.h"
#include <functional>
#include <map>
#include <memory>
#include <set>

namespace catkinwing {

class PeerResponder;

/// Body of a request that crashes each endpoint which runs it.
constexpr const char* crashingBody = "deadly";

/// One incarnation of a simulated endpoint.
struct SimulatedEndpoint {
    std::string incarnation;
    std::string region;
    SocketAddress address;
    bool isUp { true };
    /// Value of the request-rate limit that the endpoint names in its answers; empty if it
    /// names none.
    std::string limitText;
    unsigned runningRequests { 0 };
    /// The endpoint sends nothing until this time.
    TimePoint silentUntil {};
    /// Times at which the endpoint rejected a request because its slots were taken.
    std::vector<TimePoint> rejections;
    /// Callbacks that end the running requests when the endpoint crashes, by request number.
    std::map<std::uint64_t, std::function<void()>> connectionBreakers;
};

/// A client request that was sent to an entry.
struct SentRequest {
    std::string id;
    std::string body;
    std::size_t entry { 0 };
    TimePoint at {};
    std::shared_ptr<FakeResponder> responder;
    /// Names of the prompt's segments, separated by commas; empty if the request states none.
    std::string segments;
};

/// One attempt of a request at an endpoint.
struct EndpointAttempt {
    std::string request;
    std::string body;
    std::size_t entry { 0 };
    TimePoint at {};
    /// Index of the endpoint, the first being that which was started first.
    std::size_t endpoint { 0 };
    /// Names of the prompt's segments, separated by commas.
    std::string segments;
};

class EntryFleet {
public:
    /// \p homeRegions are the regions that the route allows. An empty list allows all.
    explicit EntryFleet(unsigned seed, std::size_t entriesPerRegion = 3, std::size_t endpointsPerRegion = 6, std::vector<std::string> homeRegions = {});
    ~EntryFleet();

    /// Sends a client request to an entry.
    void send(std::size_t entry, const std::string& body, const std::string& host = "h");
    void sendToRandomEntry(const std::string& body) { send(random.below(m_entries.size()), body); }
    /// Sends a request whose prompt has \p segments, separated by commas. The last one is its own.
    void sendPrompt(std::size_t entry, const std::string& body, const std::string& segments);
    /// Puts a new configuration with the same route into force at all entries.
    void applyConfiguration() { applyRoute(); }
    /// Sets the max number of attempts of a request.
    void setMaxAttempts(unsigned maxAttempts);
    /// Advances the simulated time by \p span in small steps.
    void advance(Duration span);
    /// Sets the limit that an endpoint names in its answers. An empty text stands for none.
    void setLimitText(std::size_t endpoint, const std::string& text) { m_endpoints[endpoint]->limitText = text; }
    /// Makes all endpoints, also those started later, brittle: from settleTime later on they
    /// have \p slots places and let no request wait. One that rejects more than \p
    /// rejectionsPerSecond requests in a second crashes.
    void setBrittle(unsigned slots, double rejectionsPerSecond);
    /// Ends what setBrittle() began.
    void endBrittle() { m_brittleSince.reset(); }
    /// Lets no registration of an endpoint that stops or starts reach entries for \p span.
    void silenceStore(Duration span) { m_storeSilentUntil = now() + span; }
    /// Makes an endpoint send nothing for \p span and then go on.
    void silence(std::size_t endpoint, Duration span) { m_endpoints[endpoint]->silentUntil = now() + span; }
    bool isSilent(std::size_t endpoint) const { return now() < m_endpoints[endpoint]->silentUntil; }
    std::size_t endpoints() const { return m_endpoints.size(); }
    /// Crashes one running endpoint of \p region; does nothing if there is none.
    void crashOne(const std::string& region);
    /// Crashes all endpoints of all regions at once.
    void crashAll();
    /// Replaces an entry by a new process that has its address and none of its state.
    void restartEntry(std::size_t entry);
    /// Terminates an entry and all its running requests. Its registration expires later.
    void killEntry(std::size_t entry);
    bool isUp(std::size_t entry) const;
    /// Removes the registration of an entry at all entries.
    void removeRegistration(std::size_t entry);
    /// Starts or ends a network partition between the regions.
    void setRegionsPartitioned(bool isPartitioned) { m_areRegionsPartitioned = isPartitioned; }
    /// Sets the state of the path between an entry and all endpoints.
    void setPath(std::size_t entry, PathState state);
    /// Drops all datagrams to and from the entry.
    void dropDatagrams(std::size_t entry) { m_droppingEntries.insert(entry); }
    /// Ends what dropDatagrams() began.
    void restoreDatagrams(std::size_t entry) { m_droppingEntries.erase(entry); }
    /// Fraction of the attempts that endpoints refuse.
    double refusedFraction { 0 };
    /// Requests that were cancelled while the path hung arrive when it opens again.
    bool deliversCancelledRequests { false };
    /// Fraction of the datagrams between entries that are lost.
    double lostFraction { 0 };
    /// Bytes of crash reports that each entry has sent.
    std::vector<std::size_t> reportBytesSent;
    /// Bytes of messages about the request limits of endpoints that each entry has sent.
    std::vector<std::size_t> limitBytesSent;

    std::size_t entries() const { return m_entries.size(); }
    IngressContext& partsOf(std::size_t entry);
    /// Returns the number of attempts with \p body at endpoints after \p time.
    std::size_t attemptsAfter(const std::string& body, TimePoint time) const;
    /// Returns the number of attempts whose prompt contains \p segment after \p time.
    std::size_t attemptsWithSegmentAfter(const std::string& segment, TimePoint time) const;
    /// Returns the fraction of the requests with \p body sent at or after \p from that were
    /// answered with status 200; zero if there are none.
    double servedFraction(const std::string& body, TimePoint from = {}) const;
    TimePoint now() const { return scheduler.clock().now(); }

    ManualScheduler scheduler;
    Random random;
    /// Times at which endpoints crashed because of crashingBody.
    std::vector<TimePoint> crashes;
    /// Prompt segments that crash each endpoint which runs a request with one of them, and the
    /// times of these crashes.
    std::map<std::string, std::vector<TimePoint>> crashingSegments;
    /// Times at which brittle endpoints crashed.
    std::vector<TimePoint> falls;
    std::vector<EndpointAttempt> endpointAttempts;
    std::vector<SentRequest> sentRequests;
    /// Time that an endpoint takes to answer a request.
    Duration answerDelay { std::chrono::milliseconds(60) };
    /// Time from the start of a request with crashingBody to the crash of its endpoint.
    Duration crashDelay { std::chrono::milliseconds(250) };
    /// Time from the crash of an endpoint to its restart.
    Duration restartDelay { std::chrono::milliseconds(3'000) };
    /// Endpoints answer crashingBody, and prompts with crashingSegments, like any others.
    bool isRepaired { false };

private:
    class Client;
    class PeerClient;
    struct Entry;

    void sendRequest(SentRequest request, const std::string& host);
    /// Returns the crashing segment of a prompt, or null if it contains none.
    const std::string* crashingSegmentOf(const std::string& segments) const;
    void changeRegistration(Duration delay, std::function<void()> change);
    std::string entryKey(std::size_t index) const;
    bool isFull(const SimulatedEndpoint& endpoint) const;
    void reject(SimulatedEndpoint& endpoint);
    void startEndpoint(const std::string& region, const SocketAddress& address);
    void crash(const std::shared_ptr<SimulatedEndpoint>& endpoint);
    void makeEntry(std::size_t index);
    void applyRoute();
    void sendCrashReports();
    void deliver(std::size_t from, const std::vector<OutgoingDatagram>& datagrams);
    void handleForward(std::size_t entry, const HttpClientRequest& request, const std::shared_ptr<PeerResponder>& responder);
    std::size_t indexOf(const SimulatedEndpoint& endpoint) const;
    std::shared_ptr<SimulatedEndpoint> endpointAt(const SocketAddress& address) const;

    Dialect m_dialect { testDialect() };
    std::vector<std::unique_ptr<Entry>> m_entries;
    /// Number of restarts of each entry.
    std::vector<std::size_t> m_entryStarts;
    /// Entries that restartEntry() has replaced.
    std::vector<std::unique_ptr<Entry>> m_replacedEntries;
    std::vector<std::shared_ptr<SimulatedEndpoint>> m_endpoints;
    std::size_t m_endpointStarts { 0 };
    /// Number of the last request at any endpoint.
    std::uint64_t m_lastRequestNumber { 0 };
    Route m_route;
    std::shared_ptr<const RouteTable> m_routes;
    std::vector<EntryRecord> m_records;
    std::map<SocketAddress, std::size_t> m_entryAt;
    std::set<std::size_t> m_droppingEntries;
    bool m_areRegionsPartitioned { false };
    std::optional<TimePoint> m_brittleSince;
    unsigned m_slots { 0 };
    double m_rejectionsPerSecond { 0 };
    TimePoint m_nextReportTime {};
    TimePoint m_storeSilentUntil {};
};

} // namespace catkinwing
