#pragma once

#include "catkinwing/Http/HttpClient.h"
#include "catkinwing/Support/Scheduler.h"
#include <vector>

namespace catkinwing {

/// What a fake client does with one request.
struct FakeHttpAnswer {
    HttpEnd end { HttpEnd::Complete };
    bool mayHaveReachedServer { true };
    /// No head comes if zero.
    int status { 200 };
    HttpHeaders headers;
    /// Handed over piece by piece.
    std::vector<std::string> body;
    /// Leaves the exchange open after the body.
    bool isLeftOpen { false };
    Duration delay { std::chrono::milliseconds(1) };
    /// Time between the pieces of the body, and from the last one to the end.
    Duration pieceInterval { 0 };

    static FakeHttpAnswer ok(std::string text)
    {
        FakeHttpAnswer answer;
        answer.body.push_back(std::move(text));
        return answer;
    }
    static FakeHttpAnswer failed(HttpEnd end, bool mayHaveReachedServer)
    {
        FakeHttpAnswer answer;
        answer.end = end;
        answer.mayHaveReachedServer = mayHaveReachedServer;
        answer.status = 0;
        return answer;
    }
};

/// HTTP client without a network: a function answers each request.
class FakeHttpClient final : public HttpClient {
public:
    using Handler = std::function<FakeHttpAnswer(const HttpClientRequest&)>;

    explicit FakeHttpClient(Scheduler& scheduler)
        : m_scheduler(scheduler)
    {
    }

    std::shared_ptr<HttpExchange> send(HttpClientRequest request, HttpClientCallbacks callbacks) override
    {
        requests.push_back(request);
        FakeHttpAnswer answer = handler(request);
        auto exchange = std::make_shared<Exchange>();
        exchange->mayHaveReached = answer.mayHaveReachedServer;
        exchanges.push_back(exchange);
        m_scheduler.callAfter(answer.delay, [this, exchange, answer, callbacks] {
            if (answer.pieceInterval > Duration::zero())
                playSlowly(exchange, answer, callbacks);
            else
                play(*exchange, answer, callbacks);
        });
        return exchange;
    }
    void forget(const SocketAddress&) override { }
    void replaceTls(std::shared_ptr<TlsContext>) override { }

    struct Exchange final : HttpExchange {
        void cancel() override { isCancelled = true; }
        void pause() override { }
        void resume() override { }
        bool mayHaveReachedServer() const override { return mayHaveReached; }

        bool isCancelled { false };
        bool mayHaveReached { false };
    };

    Handler handler;
    std::vector<HttpClientRequest> requests;
    std::vector<std::shared_ptr<Exchange>> exchanges;

private:
    void playSlowly(const std::shared_ptr<Exchange>& exchange, FakeHttpAnswer answer, const HttpClientCallbacks& callbacks)
    {
        FakeHttpAnswer first = answer;
        first.body.clear();
        first.isLeftOpen = true;
        play(*exchange, first, callbacks);
        answer.status = 0;
        for (std::size_t i = 0; i <= answer.body.size(); ++i) {
            FakeHttpAnswer next = answer;
            next.isLeftOpen = i < answer.body.size() || answer.isLeftOpen;
            next.body = i < answer.body.size() ? std::vector<std::string> { answer.body[i] } : std::vector<std::string>();
            m_scheduler.callAfter(answer.pieceInterval * (i + 1), [exchange, next, callbacks] { play(*exchange, next, callbacks); });
        }
    }
    static void play(const Exchange& exchange, const FakeHttpAnswer& answer, const HttpClientCallbacks& callbacks)
    {
        if (answer.status != 0 && !exchange.isCancelled)
            callbacks.onHead({ answer.status, answer.headers });
        for (const auto& piece : answer.body) {
            if (!exchange.isCancelled)
                callbacks.onBody(piece);
        }
        if (!answer.isLeftOpen && !exchange.isCancelled)
            callbacks.onEnd({ answer.end, answer.mayHaveReachedServer, answer.end == HttpEnd::Complete ? "" : "fault of the fake" });
    }

    Scheduler& m_scheduler;
};

} // namespace catkinwing
