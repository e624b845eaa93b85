#include "catkinwing/Gateway/FaultInjection.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace catkinwing {

namespace {

    // Stands for an exchange that begins later or never; forwards to the real one
    // once that exists.
    class DelayedExchange final : public HttpExchange {
    public:
        void begin(std::shared_ptr<HttpExchange> exchange) { m_exchange = std::move(exchange); }
        bool isCancelled() const { return m_isCancelled; }

        void cancel() override
        {
            m_isCancelled = true;
            if (m_exchange)
                m_exchange->cancel();
        }
        void pause() override
        {
            if (m_exchange)
                m_exchange->pause();
        }
        void resume() override
        {
            if (m_exchange)
                m_exchange->resume();
        }
        bool mayHaveReachedServer() const override { return m_exchange && m_exchange->mayHaveReachedServer(); }

    private:
        std::shared_ptr<HttpExchange> m_exchange;
        bool m_isCancelled { false };
    };

} // namespace

static absl::Status readAddresses(const nlohmann::json& json, const char* name, std::set<SocketAddress>& addresses)
{
    for (const nlohmann::json& item : json.value(name, nlohmann::json::array())) {
        absl::StatusOr<SocketAddress> address = parseSocketAddress(item.get<std::string>());
        if (!address.ok())
            return address.status();
        addresses.insert(*address);
    }
    return absl::OkStatus();
}

absl::StatusOr<LinkFaults> parseLinkFaults(absl::string_view text)
{
    LinkFaults faults;
    try {
        nlohmann::json json = nlohmann::json::parse(text.begin(), text.end());
        for (auto [name, addresses] : { std::make_pair("refuse", &faults.refuse), std::make_pair("drop", &faults.drop), std::make_pair("loseAnswers", &faults.loseAnswers) }) {
            absl::Status status = readAddresses(json, name, *addresses);
            if (!status.ok())
                return status;
        }
        for (const nlohmann::json& item : json.value("blockFrom", nlohmann::json::array()))
            faults.blockFrom.insert(item.get<std::string>());
        nlohmann::json delays = json.value("delays", nlohmann::json::object());
        for (const auto& [server, milliseconds] : delays.items()) {
            absl::StatusOr<SocketAddress> address = parseSocketAddress(server);
            if (!address.ok())
                return address.status();
            faults.delays[*address] = std::chrono::milliseconds(milliseconds.get<std::int64_t>());
        }
    } catch (const nlohmann::json::exception& fault) {
        return absl::InvalidArgumentError(absl::StrCat("link faults: ", fault.what()));
    }
    return faults;
}

FaultableHttpClient::FaultableHttpClient(HttpClient& inner, Scheduler& scheduler, const LinkFaults& faults)
    : m_inner(inner)
    , m_scheduler(scheduler)
    , m_faults(faults)
{
}

std::shared_ptr<HttpExchange> FaultableHttpClient::failLater(std::chrono::milliseconds delay, HttpEnd end, HttpClientCallbacks callbacks)
{
    auto exchange = std::make_shared<DelayedExchange>();
    m_scheduler.callAfter(delay, [exchange, end, onEnd = std::move(callbacks.onEnd)] {
        if (!exchange->isCancelled())
            onEnd({ end, false, "injected fault" });
    });
    return exchange;
}

static HttpClientCallbacks withoutAnswer(HttpClientCallbacks callbacks)
{
    HttpClientCallbacks swallowing;
    swallowing.onHead = [](const HttpResponseHead&) {};
    swallowing.onBody = [](absl::string_view) {};
    swallowing.onEnd = [onEnd = std::move(callbacks.onEnd)](const HttpResult& result) {
        onEnd({ HttpEnd::NoResponse, result.mayHaveReachedServer, "injected fault" });
    };
    return swallowing;
}

std::shared_ptr<HttpExchange> FaultableHttpClient::send(HttpClientRequest request, HttpClientCallbacks callbacks)
{
    if (m_faults.refuse.count(request.server))
        return failLater(std::chrono::milliseconds(0), HttpEnd::ConnectFailed, std::move(callbacks));
    if (m_faults.drop.count(request.server))
        return failLater(request.connectTimeout, HttpEnd::TimedOut, std::move(callbacks));
    if (m_faults.loseAnswers.count(request.server))
        callbacks = withoutAnswer(std::move(callbacks));
    auto delay = m_faults.delays.find(request.server);
    if (delay == m_faults.delays.end())
        return m_inner.send(std::move(request), std::move(callbacks));
    auto exchange = std::make_shared<DelayedExchange>();
    m_scheduler.callAfter(delay->second, [this, exchange, request = std::move(request), callbacks = std::move(callbacks)]() mutable {
        if (!exchange->isCancelled())
            exchange->begin(m_inner.send(std::move(request), std::move(callbacks)));
    });
    return exchange;
}

} // namespace catkinwing
