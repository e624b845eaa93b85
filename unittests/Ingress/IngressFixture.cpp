#include "IngressFixture.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

namespace catkinwing {

using std::chrono::milliseconds;

/// Number of tokens of each prompt segment that a request lists by name.
static constexpr std::int64_t listedSegmentTokens = 100;

static std::vector<PromptSegment> readSegments(const std::string& names)
{
    std::vector<PromptSegment> segments;
    for (absl::string_view name : absl::StrSplit(names, ','))
        segments.push_back({ std::string(name), listedSegmentTokens });
    return segments;
}

static RequestFacts readTestRequest(const HttpRequest& request)
{
    RequestFacts facts;
    for (const HttpHeader& field : request.headers.fields()) {
        std::int64_t number = 0;
        if (field.name == "host")
            facts.host = field.value;
        else if (field.name == "request-id")
            facts.attemptId = field.value;
        else if (field.name == "time-left" && absl::SimpleAtoi(field.value, &number))
            facts.timeLeft = milliseconds(number);
        else if (field.name == "resumes")
            facts.resumedAttemptId = field.value;
        else if (field.name == "resume-after" && absl::SimpleAtoi(field.value, &number))
            facts.resumeAfter = static_cast<std::uint64_t>(number);
        else if (field.name == "prompt")
            facts.prompt = { { field.value, 13'000 }, { "own", 300 } };
        else if (field.name == "segments")
            facts.prompt = readSegments(field.value);
        else if (field.name == "workspace-key")
            facts.workspaceKey = field.value;
        else if (field.name == "max-tokens" && absl::SimpleAtoi(field.value, &number))
            facts.maxOutputTokens = number;
        else if (field.name == "tokens") {
            facts.hasTokenCounts = absl::SimpleAtoi(field.value, &facts.promptTokens);
        }
        if (field.name != "workspace-key")
            facts.forwardedHeaders.add(field.name, field.value);
    }
    return facts;
}

static void writeTestAttempt(const AttemptFacts& facts, HttpHeaders& headers)
{
    headers.set("time-left", std::to_string(facts.timeLeft.count()));
    headers.set("incarnation", facts.incarnation);
    if (facts.priority)
        headers.set("priority", std::to_string(*facts.priority));
    if (!facts.workspace.empty())
        headers.set("workspace", facts.workspace);
    if (facts.resumeAfter)
        headers.set("resume-after", std::to_string(*facts.resumeAfter));
    if (facts.fetchFrom)
        headers.set("fetch-from", facts.fetchFrom->toString());
}

static ResponseFacts readTestAnswer(const HttpResponseHead& head)
{
    ResponseFacts facts;
    facts.isEndpointAnswer = head.headers.find("endpoint") != nullptr;
    facts.isOtherIncarnation = head.status == 421;
    facts.wasNotExecuted = facts.isOtherIncarnation || head.headers.find("not-run") != nullptr;
    facts.isLeaving = head.headers.find("leaving") != nullptr;
    std::int64_t pause = 0;
    if (const std::string* text = head.headers.find("pause-ms"); text && absl::SimpleAtoi(*text, &pause))
        facts.pause = milliseconds(pause);
    double limit = 0;
    if (const std::string* text = head.headers.find("request-limit"); text && absl::SimpleAtod(*text, &limit))
        facts.requestLimit = limit;
    if (const std::string* text = head.headers.find("rejection-limit"); text && absl::SimpleAtod(*text, &limit))
        facts.rejectionLimit = limit;
    if (const std::string* id = head.headers.find("request-id"))
        facts.attemptId = *id;
    return facts;
}

Dialect testDialect()
{
    Dialect dialect {};
    dialect.layout = { "configuration", "evacuated/", "endpoints/" };
    dialect.attemptIdHeader = "request-id";
    dialect.readRequest = readTestRequest;
    dialect.writeAttempt = writeTestAttempt;
    dialect.readResponse = readTestAnswer;
    return dialect;
}

static HttpHeaders answerHeaders(const HttpClientRequest& request)
{
    const std::string* id = request.headers.find("request-id");
    return { { "endpoint", "yes" }, { "request-id", id ? *id : "" }, { "transfer-encoding", "chunked" } };
}

FakeHttpAnswer endpointAnswer(const HttpClientRequest& request, int status, std::string body)
{
    FakeHttpAnswer answer = FakeHttpAnswer::ok(std::move(body));
    answer.status = status;
    answer.headers = answerHeaders(request);
    return answer;
}

FakeHttpAnswer refusalAnswer(const HttpClientRequest& request)
{
    FakeHttpAnswer answer = FakeHttpAnswer::ok("");
    answer.status = 503;
    const std::string* id = request.headers.find("request-id");
    answer.headers = { { "not-run", "1" }, { "request-id", id ? *id : "" } };
    return answer;
}

std::string eventText(int id)
{
    return "id: " + std::to_string(id) + "\ndata: x\n\n";
}

FakeHttpAnswer streamAnswer(const HttpClientRequest& request, const std::vector<int>& ids)
{
    FakeHttpAnswer answer = endpointAnswer(request, 200, "");
    answer.headers.add("content-type", "text/event-stream");
    for (int id : ids)
        answer.body.push_back(eventText(id));
    return answer;
}

IngressFixture::IngressFixture()
    : dialect(testDialect())
    , parts { scheduler, random, endpointClient, peerClient, metrics, log, dialect, "north",
        EndpointTable("north", { { "north-a", "north" }, { "south-a", "south" } }),
        EntryTable({ "north", "north-a", { "127.0.0.1", 1 }, { "127.0.0.1", 2 } }), { 0.2, 50 }, {}, {}, {}, {}, {}, {}, {}, 0, 0 }
{
    endpointClient.handler = [this](const HttpClientRequest& request) {
        std::size_t index = std::min(endpointClient.requests.size() - 1, answers.size() - 1);
        return answers[index](request);
    };
}

void IngressFixture::configure(Route route, std::vector<Workspace> workspaces, std::int64_t version)
{
    ServiceSettings service;
    service.name = "service";
    parts.routes = std::make_shared<const RouteTable>(version, std::vector<Route> { std::move(route) }, std::vector<ServiceSettings> { service }, ClientLimits {}, WorkspaceTable(std::move(workspaces)));
    // Fills the retry budget, which grows with the number of requests, so that tests may
    // retry.
    for (int i = 0; i < 50; ++i)
        parts.retryBudgetOf("service").recordRequest(scheduler.clock().now());
}

Route IngressFixture::unaryRoute(RequestKind kind, unsigned attempts)
{
    Route route;
    route.name = "route";
    route.host = "h";
    route.prefix = "/p/";
    route.kind = kind;
    route.timeout = milliseconds(1'000);
    route.attempts = attempts;
    route.services = { { "service", 1 } };
    return route;
}

Route IngressFixture::streamRoute(bool isResumable)
{
    Route route = unaryRoute(RequestKind::Streaming);
    route.isResumable = isResumable;
    return route;
}

void IngressFixture::addEndpoint(const std::string& incarnation, const std::string& zone, const std::string& version)
{
    EndpointRecord record;
    record.incarnation = incarnation;
    record.service = "service";
    record.softwareVersion = version;
    record.address = { "127.0.0.1", static_cast<std::uint16_t>(1'000 + ++m_endpointCount) };
    record.availabilityZone = zone;
    parts.endpoints.put(std::move(record), scheduler.clock().now());
}

void IngressFixture::addEntry(const std::string& name, const std::string& region, int port)
{
    SocketAddress address { "127.0.0.1", static_cast<std::uint16_t>(port) };
    parts.entries.put(name, { region, region + "-a", address, address });
}

std::shared_ptr<FakeResponder> IngressFixture::start(HttpHeaders headers, bool isForwarded, std::string body)
{
    auto responder = std::make_shared<FakeResponder>();
    RoutedRequest request;
    request.http.method = "POST";
    request.http.path = "/p/1";
    request.http.headers = std::move(headers);
    request.http.headers.add("host", "h");
    request.http.headers.add("request-id", "id-1");
    request.http.body = std::move(body);
    request.facts = dialect.readRequest(request.http);
    request.isForwarded = isForwarded;
    if (isForwarded)
        readForwardHeaders(request.http.headers, request);
    request.arrivedAt = scheduler.clock().now();
    std::make_shared<RoutedRun>(parts, std::move(request), responder)->begin();
    return responder;
}

std::shared_ptr<FakeResponder> IngressFixture::runToEnd(HttpHeaders headers, bool isForwarded)
{
    auto responder = start(std::move(headers), isForwarded);
    scheduler.advance(std::chrono::seconds(20));
    return responder;
}

std::string IngressFixture::sentHeader(std::size_t index, absl::string_view name) const
{
    const std::string* value = endpointClient.requests.at(index).headers.find(name);
    return value ? *value : "";
}

} // namespace catkinwing
