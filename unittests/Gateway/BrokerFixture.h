#pragma once

#include "Coordination/FakeHttpClient.h"
#include "FakeResponder.h"
#include "catkinwing/Config/RevisionedTree.h"
#include "catkinwing/Gateway/RequestBroker.h"
#include "catkinwing/Gateway/RequestReader.h"
#include "catkinwing/Support/ManualScheduler.h"

namespace catkinwing {

/// A broker over fakes: one zone with engines and a plain service.
class BrokerFixture {
public:
    /// Endpoints are called by \p realClient, if any, and by the fake otherwise.
    explicit BrokerFixture(HttpClient* realClient = nullptr, int slotsOfEngines = 2);

    /// Puts the documents in force; the team may use \p regions only, if any.
    void configure(const std::vector<std::string>& regions = {});
    /// Puts the documents in force again, but for one endpoint.
    void configureWithout(const std::string& endpoint);
    /// Reads and runs a request of the team.
    std::shared_ptr<FakeResponder> run(HttpRequest request);
    void run(HttpRequest request, const std::shared_ptr<HttpResponder>& responder);
    static HttpRequest chat(bool isStreaming);
    static HttpRequest book();
    /// Answers of the endpoints, by address; the first is taken by each call.
    FakeHttpAnswer answer(const HttpClientRequest& request);

    ManualScheduler scheduler;
    Random random { 7 };
    FakeHttpClient endpointClient { scheduler };
    FakeHttpClient peerClient { scheduler };
    EndpointRegistry endpoints { "entry", "north", "north-a", random };
    RemoteCells remoteCells { "north", "north-a", random };
    Metrics metrics;
    ServiceLevelRecorder serviceLevels;
    RequestBroker broker;
    RevisionedTree tree;
    /// What the endpoints answer, in the order in which they are asked.
    std::vector<FakeHttpAnswer> answers;
    std::int64_t revision { 0 };

private:
    int m_slotsOfEngines;
    void offer(const DocumentPath& path, const nlohmann::json& document);
    void offerRegion(const std::string& withoutEndpoint);
    void apply();
};

} // namespace catkinwing
