#include "BrokerFixture.h"

namespace catkinwing {

BrokerFixture::BrokerFixture(HttpClient* realClient, int slotsOfEngines)
    : broker({ scheduler, random, realClient ? *realClient : endpointClient, peerClient, endpoints, remoteCells, metrics, serviceLevels, { "entry", { 1, 2 } }, "north", "north-a" })
    , m_slotsOfEngines(slotsOfEngines)
{
    endpointClient.handler = [this](const HttpClientRequest& request) { return answer(request); };
    peerClient.handler = [](const HttpClientRequest&) { return FakeHttpAnswer::failed(HttpEnd::ConnectFailed, false); };
    endpoints.onCapacity = [this] { broker.schedulePump(); };
    configure();
}

void BrokerFixture::offer(const DocumentPath& path, const nlohmann::json& document)
{
    auto text = std::make_shared<const std::string>(document.dump());
    OfferResult result = tree.offer({ path, ++revision, text });
    if (result.outcome != OfferOutcome::Applied)
        throw std::runtime_error(path.toString() + ": " + result.faults.front().pointer + ": " + result.faults.front().message);
}

static nlohmann::json endpoint(const std::string& name, const std::string& address)
{
    return { { "name", name }, { "availabilityZone", "north-a" }, { "address", address }, { "slots", 2 } };
}

static nlohmann::json engine(const std::string& name, const std::string& address)
{
    nlohmann::json document = endpoint(name, address);
    document["kind"] = "engine";
    document["models"] = { "sizes" };
    document["prefillTokensPerSecond"] = 8000;
    document["decodeTokensPerSecond"] = 100;
    document["capabilities"] = { { "resume", true } };
    return document;
}

void BrokerFixture::configure(const std::vector<std::string>& regions)
{
    offer({ DocumentKind::Global, "" }, nlohmann::json::object());
    offer({ DocumentKind::Model, "sizes" }, { { "versions", { "1" } }, { "sizeMegabytes", 10 } });
    offerRegion("");
    nlohmann::json team = {
        { "share", 1 },
        { "keys", { { { "name", "key" }, { "sha256", sha256Hex("secret") } } } },
        { "models", { "sizes" } },
        { "services", { { { "name", "bookings" }, { "idempotentMethods", { "GET" } } } } },
        { "classes", { { { "name", "short" }, { "timeout", "5s" }, { "shortRequest", true } } } },
        { "defaultClass", "short" },
        { "limits", { { "maximumPerCaller", 1000 } } },
    };
    if (!regions.empty())
        team["residency"] = { { "regions", regions } };
    offer({ DocumentKind::Team, "fitters" }, team);
    apply();
}

void BrokerFixture::configureWithout(const std::string& endpoint)
{
    offerRegion(endpoint);
    apply();
}

void BrokerFixture::apply()
{
    endpoints.configure(tree.snapshot(), scheduler.clock().now());
    broker.configure(tree.snapshot());
}

void BrokerFixture::offerRegion(const std::string& withoutEndpoint)
{
    nlohmann::json service = endpoint("bookings-1", "127.0.0.1:1003");
    service["kind"] = "service";
    service["service"] = "bookings";
    nlohmann::json list = nlohmann::json::array();
    for (const nlohmann::json& candidate : { engine("engine-1", "127.0.0.1:1001"), engine("engine-2", "127.0.0.1:1002"), service }) {
        if (candidate["name"] == withoutEndpoint)
            continue;
        list.push_back(candidate);
        if (candidate["kind"] == "engine")
            list.back()["slots"] = m_slotsOfEngines;
    }
    offer({ DocumentKind::Region, "north" }, { { "availabilityZones", { { { "name", "north-a" } } } }, { "endpoints", list } });
}

HttpRequest BrokerFixture::chat(bool isStreaming)
{
    HttpRequest request;
    request.method = "POST";
    request.path = "/v1/chat/completions";
    request.headers = { { "Authorization", "Bearer secret" } };
    request.body = nlohmann::json { { "model", "sizes" }, { "stream", isStreaming }, { "messages", { { { "role", "user" }, { "content", "which size" } } } } }.dump();
    return request;
}

HttpRequest BrokerFixture::book()
{
    HttpRequest request;
    request.method = "POST";
    request.path = "/services/bookings/items";
    request.headers = { { "Authorization", "Bearer secret" } };
    return request;
}

std::shared_ptr<FakeResponder> BrokerFixture::run(HttpRequest request)
{
    auto responder = std::make_shared<FakeResponder>();
    run(std::move(request), responder);
    return responder;
}

void BrokerFixture::run(HttpRequest request, const std::shared_ptr<HttpResponder>& responder)
{
    auto identified = authenticate(tree.snapshot(), request.headers);
    const CallerIdentity& identity = std::get<CallerIdentity>(identified);
    auto read = readRequest(std::move(request), identity, { "request", scheduler.clock().now(), 1, std::nullopt });
    if (const ApiError* error = std::get_if<ApiError>(&read)) {
        sendError(*responder, "request", *error);
        return;
    }
    broker.run(std::get<AcceptedRequest>(std::move(read)), AnswerWriter(responder, "request"));
}

FakeHttpAnswer BrokerFixture::answer(const HttpClientRequest&)
{
    if (answers.empty())
        return FakeHttpAnswer::ok("{}");
    FakeHttpAnswer next = answers.front();
    answers.erase(answers.begin());
    return next;
}

} // namespace catkinwing
