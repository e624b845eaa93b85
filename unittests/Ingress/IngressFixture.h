// Test fixture that routes the requests of one entry through fake HTTP clients and uses a
// test Dialect.
#pragma once

#include "Coordination/FakeHttpClient.h"
#include "Gateway/FakeResponder.h"
#include "catkinwing/Ingress/RoutedRun.h"
#include "catkinwing/Support/ManualScheduler.h"

namespace catkinwing {

/// Returns a dialect with descriptive header names, used by tests only.
Dialect testDialect();

/// Returns an endpoint's answer to \p request.
FakeHttpAnswer endpointAnswer(const HttpClientRequest& request, int status, std::string body);
/// Returns an endpoint's refusal that states that \p request was not executed.
FakeHttpAnswer refusalAnswer(const HttpClientRequest& request);
/// Returns a complete event stream with the events of \p ids.
FakeHttpAnswer streamAnswer(const HttpClientRequest& request, const std::vector<int>& ids);
/// Returns the text of one event of a stream.
std::string eventText(int id);

class IngressFixture {
public:
    IngressFixture();

    /// Applies a configuration that consists of one route, its only service and workspaces.
    void configure(Route route, std::vector<Workspace> workspaces = {}, std::int64_t version = 1);
    static Route unaryRoute(RequestKind kind, unsigned attempts = 2);
    static Route streamRoute(bool isResumable);
    void addEndpoint(const std::string& incarnation, const std::string& zone = "north-a", const std::string& version = "v1");
    void addEntry(const std::string& name, const std::string& region, int port);
    /// Starts a request and returns the responder that receives its answer.
    std::shared_ptr<FakeResponder> start(HttpHeaders headers = {}, bool isForwarded = false, std::string body = {});
    /// Starts a request and advances the time by 20 s.
    std::shared_ptr<FakeResponder> runToEnd(HttpHeaders headers = {}, bool isForwarded = false);
    /// Returns the value of a header in the request at \p index of those sent to
    /// endpoints, or an empty string if the header is missing.
    std::string sentHeader(std::size_t index, absl::string_view name) const;

    ManualScheduler scheduler;
    Random random { 7 };
    FakeHttpClient endpointClient { scheduler };
    FakeHttpClient peerClient { scheduler };
    Metrics metrics;
    DecisionLog log { scheduler.clock() };
    Dialect dialect;
    IngressContext parts;
    /// Answers of endpoints, in the order of the requests. The last one repeats.
    std::vector<std::function<FakeHttpAnswer(const HttpClientRequest&)>> answers;

private:
    int m_endpointCount { 0 };
};

} // namespace catkinwing
