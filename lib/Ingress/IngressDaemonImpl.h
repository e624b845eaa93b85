#pragma once

#include "StoreFollower.h"
#include "catkinwing/Http/DatagramSocket.h"
#include "catkinwing/Http/HttpServer.h"
#include "catkinwing/Ingress/CrashExchange.h"
#include "catkinwing/Ingress/CreditExchange.h"
#include "catkinwing/Ingress/EntryCountWriter.h"
#include "catkinwing/Ingress/EntryRegistration.h"
#include "catkinwing/Ingress/IngressDaemon.h"
#include "catkinwing/Ingress/LimitExchange.h"
#include "catkinwing/Ingress/LoadExchange.h"
#include "catkinwing/Ingress/RelayedStore.h"
#include "catkinwing/Ingress/RoutedRun.h"
#include "catkinwing/Ingress/StreamOriginExchange.h"
#include "catkinwing/Support/Id.h"
#include <absl/strings/str_cat.h>
#include <cstring>
#include <map>

namespace catkinwing {

/// Prefix of the store keys of entry registrations.
constexpr const char* entryPrefix = "catkinwing/entries/";
/// Lease of an entry's registration: a terminated entry is removed from the
/// directory after this time. Shorter leases cost more renewals and expire during
/// short store outages.
constexpr std::chrono::milliseconds entryLeaseDuration { 4'000 };
constexpr std::chrono::milliseconds entryRenewalInterval { 1'000 };
/// Idle connections to endpoints are closed before the endpoints close them: a
/// request that is sent while the endpoint closes the connection is lost.
constexpr std::chrono::milliseconds endpointIdleTimeout { 3'000 };
constexpr std::chrono::milliseconds peerIdleTimeout { 10'000 };

inline void sendResponse(HttpResponder& responder, int status, const char* type, std::string body)
{
    HttpResponseHead head;
    head.status = status;
    head.headers.add("content-type", type);
    responder.send(head, std::move(body));
}

/// The parts of an entry that routes requests by host and path.
struct IngressDaemon::Impl {
    Impl(EventLoop& eventLoop, const DaemonSettings& daemonSettings, Random randomSource, const Dialect& requestDialect, const StoreFactory& makeStore)
        : loop(eventLoop)
        , settings(daemonSettings)
        , ingress(*settings.ingress)
        , random(randomSource)
        , dialect(requestDialect)
        , log(eventLoop.clock())
        , storeClient(makeHttpClient(eventLoop, {}))
        , endpointClient(makeHttpClient(eventLoop, endpointClientOptions()))
        , peerClient(makeHttpClient(eventLoop, peerClientOptions()))
        , store(makeStore(*storeClient, eventLoop, settings.store, [this](const char* kind) { ++storeCalls[kind]; }))
        , self { settings.region, settings.availabilityZone, settings.listen.callers, settings.listen.peers }
        , parts { eventLoop, random, *endpointClient, *peerClient, metrics, log, dialect, settings.region,
            EndpointTable(settings.region, ingress.regionOfZone), EntryTable(self), { ingress.retryRatio, ingress.retrySlack }, {}, {}, {}, {}, {}, {}, {}, 0, 0, CrashSuspectTable(random.bits()) }
        , loadExchange(parts.endpoints, parts.entries, self)
        , crashExchange(parts.crashSuspects, parts.entries, self, random)
        , creditExchange(
              parts.entries, self, limitTolerance(ingress), eventLoop, random, [this]() -> const WorkspaceTable& { return workspaces(); },
              [this](const OutgoingDatagram& datagram) { loadReportSocket->send(datagram.to, datagram.bytes); })
        , limitExchange(parts.endpoints, parts.entries, self, eventLoop, random,
              [this](const OutgoingDatagram& datagram) { loadReportSocket->send(datagram.to, datagram.bytes); })
        , streamOrigins(parts.endpoints, parts.entries, self, eventLoop, [this](const OutgoingDatagram& datagram) { loadReportSocket->send(datagram.to, datagram.bytes); })
        , registration(*store, eventLoop, registrationOptions())
        , entryCountWriter(*store, eventLoop, parts.entries)
        , versionRecordWriter(*store, parts)
        , relayedStore(*store, *peerClient, eventLoop, relayCallbacks())
        , follower(
              relayedStore, eventLoop, random, entryPrefix, parts,
              [this](const std::string& key) {
                  if (key == registration.key())
                      registration.recordKeyDeleted();
              },
              [this] { setMaxBodyBytes(static_cast<std::size_t>(parts.routes->limits().maxBodyBytes)); })
    {
    }

    static LimitTolerance limitTolerance(const IngressSettings& settings)
    {
        return { settings.limitWindow, settings.limitOverage, settings.limitSlack };
    }

    /// Returns the workspaces of the configuration in force.
    const WorkspaceTable& workspaces() const
    {
        static const WorkspaceTable none;
        return parts.routes ? parts.routes->workspaces() : none;
    }

    static HttpClientOptions endpointClientOptions()
    {
        HttpClientOptions options;
        options.keepIdle = endpointIdleTimeout;
        return options;
    }

    static HttpClientOptions peerClientOptions()
    {
        HttpClientOptions options;
        options.keepIdle = peerIdleTimeout;
        // Entries of earlier versions leave some streams without a frame, cut ones included.
        options.acceptsUnframedBodies = false;
        return options;
    }

    EntryRegistrationOptions registrationOptions()
    {
        EntryRegistrationOptions options;
        options.key = absl::StrCat(entryPrefix, settings.name, ".", makeId(random).substr(0, 8));
        options.value = writeEntryRecord(self);
        options.timeToLive = entryLeaseDuration;
        options.renewInterval = entryRenewalInterval;
        return options;
    }

    RelayCallbacks relayCallbacks()
    {
        RelayCallbacks callbacks;
        callbacks.findRelay = [this] { return parts.entries.relayAddress(ownKey(), loop.clock().now()); };
        callbacks.findBootstrapPeer = [this] { return lastReportSender; };
        callbacks.recordHistoryGap = [this] { follower.recordHistoryGap(); };
        callbacks.recordRelayFailure = [this](const SocketAddress& peer) { parts.entries.recordPeerFailure(peer, loop.clock().now()); };
        return callbacks;
    }

    /// Key of this entry in the table of entries.
    std::string ownKey() const { return registration.key().substr(std::strlen(entryPrefix)); }

    absl::Status listen();
    static HttpRefusal refuseBody(int status);
    absl::StatusOr<std::unique_ptr<HttpServer>> listenOn(const SocketAddress& address, std::size_t maxBodyBytes, HttpHandler handler);
    /// Applies the configuration's limit of bodies within that of the settings.
    void setMaxBodyBytes(std::size_t configured);
    void handleRequest(HttpRequest request, std::shared_ptr<HttpResponder> responder, bool isFromPeer);
    void answerReadiness(const HttpRequest& request, HttpResponder& responder) const;
    void answerDirectory(const HttpRequest& request, HttpResponder& responder);
    void answerOperator(const HttpRequest& request, HttpResponder& responder);
    bool isReady() const { return parts.routes && follower.hasListedStore() && !parts.plannedStop; }
    void receiveLoadReport(const SocketAddress& from, absl::string_view bytes);
    void receiveCreditMessage(const SocketAddress& from, absl::string_view bytes);
    void receiveLimitMessage(const SocketAddress& from, absl::string_view bytes);
    void receiveStreamOriginMessage(const SocketAddress& from, absl::string_view bytes);
    void receiveWorkspaceReport(absl::string_view bytes);
    void receiveRegionReport(const SocketAddress& from, absl::string_view bytes);
    void send(const std::vector<OutgoingDatagram>& datagrams);
    void scheduleUrgentReport();
    void reportLoad();
    void reportRegion();
    /// Logs the shortages that began or ended, and reports those that last to other entries.
    void reportShortages();
    void logState();
    /// Returns the retry budget counters of each service.
    nlohmann::json retryTotals() const;
    /// Returns the number of request limits in force, of this entry's shares in them, and the
    /// totals of the requests that entries obtained from each other.
    nlohmann::json limitTotals();
    /// Returns the totals of the versions of streams that entries told each other.
    nlohmann::json streamOriginTotals() const;
    /// Returns what this entry knows of the limits of workspaces and of endpoints.
    nlohmann::json limitReport();
    void houseKeep();
    void checkDrained();

    EventLoop& loop;
    DaemonSettings settings;
    IngressSettings ingress;
    Random random;
    Dialect dialect;
    Metrics metrics;
    DecisionLog log;
    /// Number of requests to the store, by kind.
    std::map<std::string, std::uint64_t> storeCalls;
    std::unique_ptr<HttpClient> storeClient;
    std::unique_ptr<HttpClient> endpointClient;
    std::unique_ptr<HttpClient> peerClient;
    std::unique_ptr<Store> store;
    EntryRecord self;
    IngressContext parts;
    LoadExchange loadExchange;
    CrashExchange crashExchange;
    CreditExchange creditExchange;
    LimitExchange limitExchange;
    StreamOriginExchange streamOrigins;
    ShortageTable shortages;
    std::uint64_t shortageReports { 0 };
    EntryRegistration registration;
    EntryCountWriter entryCountWriter;
    VersionRecordWriter versionRecordWriter;
    RelayedStore relayedStore;
    StoreFollower follower;
    std::unique_ptr<HttpServer> clientServer;
    std::unique_ptr<HttpServer> peerServer;
    std::unique_ptr<HttpServer> readinessServer;
    std::unique_ptr<HttpServer> directoryServer;
    std::unique_ptr<HttpServer> operatorServer;
    std::unique_ptr<DatagramSocket> loadReportSocket;
    /// Sender of the last load report or digest. Reports are sent from the address at
    /// which an entry serves other entries.
    std::optional<SocketAddress> lastReportSender;
    TimePoint stateLoggedAt {};
    bool hasStoppedListening { false };
    bool wasReady { false };
    TimePoint lastRequestAt {};
    TimePoint lastHouseKeepingAt {};
    std::function<void()> onDrained;
};

} // namespace catkinwing
