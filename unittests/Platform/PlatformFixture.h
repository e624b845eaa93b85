// Stand-ins for the platform's store and endpoints, over HTTP on one event loop.
#pragma once

#include "../Http/HttpFixture.h"
#include "catkinwing/PlatformStandin/EndpointStandin.h"
#include "catkinwing/PlatformStandin/StoreStandin.h"
#include "catkinwing/Standin/StandinServer.h"
#include "platform/PlatformStore.h"
#include <nlohmann/json.hpp>

namespace catkinwing::platform {

/// An event loop with a store stand-in and a client of that store.
class PlatformFixture {
public:
    explicit PlatformFixture(standin::StoreLimits limits = {})
        : storeServer(startStandin([this, limits](Scheduler& scheduler, standin::ExecutionLog& log) {
            auto made = makeStoreStandin(scheduler, log, limits);
            storeStandin = made.get();
            return made;
        }))
        , store(std::make_unique<PlatformStore>(*client, loop, std::vector<SocketAddress> { storeServer->address() }, [](const char*) {}))
    {
    }

    std::unique_ptr<standin::StandinServer> startStandin(const standin::ServiceFactory& makeService)
    {
        auto server = standin::StandinServer::start(loop, { "test", { "127.0.0.1", 0 }, "", 1 }, makeService);
        CAPTURE(server.status().ToString());
        REQUIRE(server.ok());
        return *std::move(server);
    }
    std::unique_ptr<standin::StandinServer> startEndpoint(const EndpointStandinSettings& settings)
    {
        return startStandin([settings](Scheduler& scheduler, standin::ExecutionLog& log) { return makeEndpointStandin(scheduler, log, settings); });
    }
    /// Sends a request and runs the loop until the request has ended.
    std::shared_ptr<Recorded> sendAndWait(const SocketAddress& server, const std::string& method, const std::string& target, std::string body = "", HttpHeaders headers = {})
    {
        HttpClientRequest request = requestFor(server, target);
        request.method = method;
        request.body = std::move(body);
        request.headers = std::move(headers);
        auto recorded = sendRecorded(*client, std::move(request));
        REQUIRE(runUntil(loop, [&] { return recorded->hasEnded(); }));
        return recorded;
    }
    void setFaults(standin::StandinServer& server, const nlohmann::json& faults)
    {
        REQUIRE(sendAndWait(server.address(), "PUT", "/standin/faults", faults.dump())->head.status == 200);
    }
    SwapResult compareAndSwap(const std::string& key, StoreRevision expected, const std::string& value, StoreLease lease = 0)
    {
        std::optional<SwapResult> result;
        store->compareAndSwap(key, expected, value, lease, [&](SwapResult swapped) { result = swapped; });
        REQUIRE(runUntil(loop, [&] { return result.has_value(); }));
        return *result;
    }
    StoredValue get(const std::string& key)
    {
        std::optional<absl::StatusOr<StoredValue>> result;
        store->get(key, [&](absl::StatusOr<StoredValue> value) { result = std::move(value); });
        REQUIRE(runUntil(loop, [&] { return result.has_value(); }));
        REQUIRE(result->ok());
        return **result;
    }

    SystemClock clock;
    EventLoop loop { clock };
    std::unique_ptr<HttpClient> client { makeHttpClient(loop, {}) };
    /// The service of \ref storeServer.
    StoreStandin* storeStandin { nullptr };
    std::unique_ptr<standin::StandinServer> storeServer;
    std::unique_ptr<PlatformStore> store;
};

} // namespace catkinwing::platform
