// An entry that serves clients over real HTTP, with stand-ins (test servers) in place of the platform's
// store and endpoints.
#pragma once

#include "PlatformFixture.h"

#include "catkinwing/Ingress/IngressDaemon.h"
#include "platform/PlatformDialect.h"
#include <absl/strings/match.h>

namespace catkinwing::platform {

inline SocketAddress freeAddress(EventLoop& loop)
{
    return startServer(loop, [](const HttpRequest&, const std::shared_ptr<HttpResponder>&) {})->address();
}

inline std::unique_ptr<Store> makeStore(HttpClient& http, Scheduler& scheduler, std::vector<SocketAddress> servers, std::function<void(const char*)> onCall)
{
    return std::make_unique<PlatformStore>(http, scheduler, std::move(servers), std::move(onCall));
}

inline nlohmann::json routeOf(const char* prefix, const char* kind, const char* service, int attempts, bool isResumable)
{
    return { { "name", prefix }, { "host", "path.example" }, { "prefix", prefix }, { "kind", kind }, { "timeout_ms", 3000 }, { "service", service },
        { "attempts", attempts }, { "resumable", isResumable } };
}

inline std::string configuration()
{
    nlohmann::json routes = { routeOf("/once/", "non_idempotent", "plain", 1, false), routeOf("/often/", "idempotent", "plain", 2, false),
        routeOf("/stream/", "streaming", "model", 2, true) };
    nlohmann::json services = { { { "name", "plain" }, { "max_conns", 100 } }, { { "name", "model" }, { "max_conns", 100 } } };
    return nlohmann::json { { "version", 7 }, { "routes", routes }, { "services", services } }.dump();
}

/// An entry with two endpoints of each service.
class EntryFixture {
public:
    EntryFixture()
    {
        platform.compareAndSwap("op/config", 0, configuration());
        for (const char* name : { "plain-1", "plain-2" })
            addEndpoint("plain", name, 0);
        for (const char* name : { "model-1", "model-2" })
            addEndpoint("model", name, 5);
        settings.name = "entry";
        settings.region = "north";
        settings.availabilityZone = "north-a";
        settings.store = { platform.storeServer->address() };
        settings.ingress.emplace();
        settings.ingress->regionOfZone = { { "north-a", "north" }, { "south-a", "south" } };
        startEntry();
        REQUIRE(runUntil(platform.loop, [this] { return sendAndWait("/often/ready")->head.status == 200; }));
    }

    void startEntry() { entry = startEntry(settings); }
    // Retries with other ports, because another test may bind a port after it was
    // chosen and before the entry listens on it.
    std::unique_ptr<IngressDaemon> startEntry(DaemonSettings& chosen)
    {
        constexpr int maxAttempts = 5;
        std::unique_ptr<IngressDaemon> daemon;
        absl::Status status = absl::UnavailableError("Address already in use");
        for (int i = 0; i < maxAttempts && absl::StrContains(status.message(), "already in use"); ++i) {
            chooseAddresses(chosen);
            auto started = IngressDaemon::start(platform.loop, chosen, Random(1), platformDialect(), makeStore);
            status = started.status();
            if (started.ok())
                daemon = *std::move(started);
        }
        CAPTURE(status.ToString());
        REQUIRE(status.ok());
        return daemon;
    }
    void chooseAddresses(DaemonSettings& chosen)
    {
        for (SocketAddress* address : { &chosen.listen.callers, &chosen.listen.peers, &chosen.listen.operators, &chosen.ingress->readiness, &chosen.ingress->directory })
            *address = freeAddress(platform.loop);
        chosen.advertise = chosen.listen;
    }
    void addEndpoint(const std::string& service, const std::string& incarnation, unsigned events, bool isLeaving = false, const std::string& requestLimit = {})
    {
        endpoints.push_back(platform.startEndpoint({ incarnation, {}, events, std::chrono::milliseconds(1), isLeaving, requestLimit, {}, {} }));
        platform.compareAndSwap("servers/" + incarnation, 0, registration(service, endpoints.size() - 1).dump());
    }
    nlohmann::json registration(const std::string& service, std::size_t endpoint) const
    {
        return registrationAt(service, endpoints[endpoint]->address(), "north-a");
    }
    static nlohmann::json registrationAt(const std::string& service, const SocketAddress& address, const std::string& availabilityZone)
    {
        return { { "service", service }, { "addr", address.toString() }, { "zone", availabilityZone }, { "version", "v1" }, { "slots", 8 }, { "state", "ready" }, { "warmup_ms", 0 }, { "seq", 1 } };
    }
    /// Writes \p text as the registration of an endpoint.
    void rewriteRegistration(const std::string& incarnation, const std::string& text)
    {
        std::string key = "servers/" + incarnation;
        platform.compareAndSwap(key, platform.get(key).revision, text);
    }
    std::shared_ptr<Recorded> sendAndWait(const std::string& target, const std::string& attempt = "a-1")
    {
        return platform.sendAndWait(settings.listen.callers, "POST", target, "body", { { "Host", "path.example" }, { "Attempt-Id", attempt } });
    }
    std::int64_t executions(std::size_t endpoint)
    {
        auto counters = platform.sendAndWait(endpoints[endpoint]->address(), "GET", "/standin/counters");
        return nlohmann::json::parse(counters->body).at("executions");
    }
    /// Returns how many requests an endpoint has received, including refused ones.
    std::int64_t receivedRequests(std::size_t endpoint)
    {
        auto counters = platform.sendAndWait(endpoints[endpoint]->address(), "GET", "/standin/counters");
        return nlohmann::json::parse(counters->body).at("total");
    }
    void setFaults(std::size_t endpoint, const nlohmann::json& faults) { platform.setFaults(*endpoints[endpoint], faults); }

    void removeKey(const std::string& key)
    {
        std::optional<SwapResult> result;
        platform.store->compareAndDelete(key, platform.get(key).revision, [&](SwapResult swapped) { result = swapped; });
        REQUIRE(runUntil(platform.loop, [&] { return result.has_value(); }));
    }
    /// Runs the loop for 300 ms, in which the entry receives the latest changes of the
    /// store.
    void waitForStoreChanges()
    {
        runFor(platform.loop, std::chrono::milliseconds(300));
    }

    PlatformFixture platform;
    DaemonSettings settings;
    std::vector<std::unique_ptr<standin::StandinServer>> endpoints;
    std::unique_ptr<IngressDaemon> entry;
};

} // namespace catkinwing::platform
