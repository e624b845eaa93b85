// Entries of two regions beside endpoints that crash or refuse, without a network.
#pragma once

#include "Gateway/FakeResponder.h"
#include "IngressFixture.h"
#include "catkinwing/Ingress/OutgoingDatagram.h"
#include <map>
#include <memory>
#include <set>

namespace catkinwing {

/// A body under which every endpoint crashes that begins to run it.
constexpr const char* deadlyBody = "deadly";

/// One start of a stand-in endpoint.
struct CrashingEndpoint {
    std::string incarnation;
    std::string region;
    SocketAddress address;
    bool isUp { true };
    /// Ends the requests that are under way there when it crashes.
    std::map<std::uint64_t, std::function<void()>> breakOff;
};

/// A client's request that has been given to an entry.
struct SentRequest {
    std::string id;
    std::string body;
    std::size_t entry { 0 };
    TimePoint at {};
    std::shared_ptr<FakeResponder> answer;
};

/// Arrival of a request at an endpoint.
struct Arrival {
    std::string request;
    std::string body;
    std::size_t entry { 0 };
    TimePoint at {};
};

class EntryFleet {
public:
    /// As many entries and endpoints in each region as told.
    explicit EntryFleet(unsigned seed, std::size_t entriesPerRegion = 3, std::size_t endpointsPerRegion = 6, std::vector<std::string> homeRegions = {});
    ~EntryFleet();

    /// Gives a request to an entry.
    void send(std::size_t entry, const std::string& body, const std::string& host = "h");
    void sendToAny(const std::string& body) { send(random.below(m_entries.size()), body); }
    /// Sets how often a request may be run.
    void setAttempts(unsigned attempts);
    /// Moves time forward; endpoints that crashed start again after a while.
    void advance(Duration span);
    /// Crashes an endpoint that is up; nothing if there is none in \p region.
    void crashOne(const std::string& region);
    /// Crashes all endpoints of all regions at once.
    void crashAll();
    /// Gives an entry's place to a new process that knows nothing.
    void restartEntry(std::size_t entry);
    /// Ends an entry's process with all that is under way there; its registration
    /// lapses later.
    void killEntry(std::size_t entry);
    bool isUp(std::size_t entry) const;
    /// Takes an entry's registration from all others.
    void removeRegistration(std::size_t entry);
    /// Cuts off what entries of different regions tell each other, or heals it.
    void cutRegions(bool isCut) { m_areRegionsCut = isCut; }
    /// Nothing that is told reaches the entry or leaves it.
    void silence(std::size_t entry) { m_silenced.insert(entry); }
    /// Part of what arrives that endpoints refuse to run.
    double refused { 0 };
    /// Part of what entries tell each other that is lost.
    double lost { 0 };
    /// Bytes of reports of crashes that each entry has sent.
    std::vector<std::size_t> bytesTold;

    std::size_t entries() const { return m_entries.size(); }
    IngressParts& partsOf(std::size_t entry);
    /// Returns arrivals of \p body at endpoints later than \p time.
    std::size_t arrivalsAfter(const std::string& body, TimePoint time) const;
    /// Share of the requests with \p body, sent from \p from on, that were answered with success.
    double servedShare(const std::string& body, TimePoint from = {}) const;
    TimePoint now() const { return scheduler.clock().now(); }

    ManualScheduler scheduler;
    Random random;
    /// When each endpoint crashed under the deadly body.
    std::vector<TimePoint> crashes;
    std::vector<Arrival> arrivals;
    std::vector<SentRequest> sent;
    /// How long an endpoint runs a request, and how long the deadly one before it crashes.
    Duration runsFor { std::chrono::milliseconds(60) };
    Duration crashesAfter { std::chrono::milliseconds(250) };
    Duration startsAgainAfter { std::chrono::milliseconds(3'000) };
    /// Endpoints answer the deadly body like any other.
    bool isRepaired { false };

private:
    class Client;
    class PeerClient;
    class PeerResponder;
    struct Entry;

    void startEndpoint(const std::string& region, const SocketAddress& address);
    void crash(const std::shared_ptr<CrashingEndpoint>& endpoint);
    void makeEntry(std::size_t index);
    void configure();
    void tell();
    void deliver(std::size_t from, const std::vector<OutgoingDatagram>& datagrams);
    void takeForward(std::size_t entry, const HttpClientRequest& request, const std::shared_ptr<PeerResponder>& responder);
    std::shared_ptr<CrashingEndpoint> endpointAt(const SocketAddress& address) const;

    Dialect m_dialect { testDialect() };
    std::vector<std::unique_ptr<Entry>> m_entries;
    /// Processes that have ended.
    std::vector<std::unique_ptr<Entry>> m_ended;
    std::vector<std::shared_ptr<CrashingEndpoint>> m_endpoints;
    std::size_t m_starts { 0 };
    std::uint64_t m_requests { 0 };
    Route m_route;
    std::shared_ptr<const RouteTable> m_routes;
    std::vector<EntryRecord> m_records;
    std::map<SocketAddress, std::size_t> m_entryAt;
    std::set<std::size_t> m_silenced;
    bool m_areRegionsCut { false };
    TimePoint m_nextTelling {};
};

} // namespace catkinwing
