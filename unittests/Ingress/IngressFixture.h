// One entry's routed requests over fakes, in a dialect of the tests' own.
#pragma once

#include "Coordination/FakeHttpClient.h"
#include "Gateway/FakeResponder.h"
#include "catkinwing/Ingress/RoutedRun.h"
#include "catkinwing/Support/ManualScheduler.h"

namespace catkinwing {

/// A dialect whose header names say what they hold.
Dialect testDialect();

/// An endpoint's answer to \p request.
FakeHttpAnswer answered(const HttpClientRequest& request, int status, std::string body);
/// An endpoint's refusal that states that nothing was executed.
FakeHttpAnswer refused();
/// A stream with the events of \p ids, framed as one that has ended.
FakeHttpAnswer streamed(const HttpClientRequest& request, const std::vector<int>& ids);
std::string eventText(int id);

class IngressFixture {
public:
    IngressFixture();

    /// Puts one route in force, and a service that all its requests go to.
    void configure(Route route);
    static Route unary(RequestKind kind, unsigned attempts = 2);
    static Route stream(bool isResumable);
    void addEndpoint(const std::string& incarnation, const std::string& zone = "north-a");
    void addEntry(const std::string& name, const std::string& region, int port);
    /// Starts a request and returns where its answer goes.
    std::shared_ptr<FakeResponder> start(HttpHeaders headers = {}, bool isForwarded = false);
    std::shared_ptr<FakeResponder> runToEnd(HttpHeaders headers = {}, bool isForwarded = false);
    /// Returns the value of a header of the request number \p index to endpoints.
    std::string sent(std::size_t index, absl::string_view name) const;

    ManualScheduler scheduler;
    Random random { 7 };
    FakeHttpClient endpointClient { scheduler };
    FakeHttpClient peerClient { scheduler };
    Metrics metrics;
    DecisionLog log { scheduler.clock() };
    Dialect dialect;
    IngressParts parts;
    /// Answers of endpoints, in the order of the requests; the last one stays.
    std::vector<std::function<FakeHttpAnswer(const HttpClientRequest&)>> answers;

private:
    int m_endpoints { 0 };
};

} // namespace catkinwing
