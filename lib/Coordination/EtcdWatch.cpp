#include "EtcdWatch.h"

#include "EtcdMessages.h"
#include <utility>

namespace catkinwing {

namespace {

    class WatchStream : public std::enable_shared_from_this<WatchStream> {
    public:
        WatchStream(HttpClient& http, EtcdStoreOptions options, std::size_t firstServer, HttpClientRequest request, std::weak_ptr<StoreCounters> counters, StoreWatchCallbacks callbacks)
            : m_http(http)
            , m_options(std::move(options))
            , m_server(firstServer)
            , m_request(std::move(request))
            , m_counters(std::move(counters))
            , m_callbacks(std::move(callbacks))
        {
        }

        void connect()
        {
            if (auto counters = m_counters.lock())
                ++counters->of(StoreCall::Watch).sent;
            ++m_attempts;
            HttpClientRequest request = m_request;
            request.server = m_options.servers[m_server % m_options.servers.size()];
            std::weak_ptr<WatchStream> weak = weak_from_this();
            HttpClientCallbacks callbacks;
            callbacks.onHead = [weak](const HttpResponseHead& head) {
                if (auto self = weak.lock())
                    self->m_status = head.status;
            };
            callbacks.onBody = [weak](absl::string_view bytes) {
                if (auto self = weak.lock())
                    self->onBody(bytes);
            };
            callbacks.onEnd = [weak](const HttpResult& result) {
                if (auto self = weak.lock())
                    self->onEnd(result);
            };
            m_exchange = m_http.send(std::move(request), std::move(callbacks));
        }

        void close()
        {
            m_callbacks = {};
            if (auto exchange = std::exchange(m_exchange, nullptr))
                exchange->cancel();
        }

    private:
        static constexpr int statusOk = 200;

        void onBody(absl::string_view bytes)
        {
            m_buffer.append(bytes.data(), bytes.size());
            if (m_status != statusOk)
                return;
            std::size_t begin = 0;
            for (std::size_t end = m_buffer.find('\n'); end != std::string::npos; end = m_buffer.find('\n', begin)) {
                std::string line = m_buffer.substr(begin, end - begin);
                begin = end + 1;
                if (!takeLine(line))
                    return;
            }
            m_buffer.erase(0, begin);
            if (m_buffer.size() > m_options.maxAnswerBytes)
                fail(absl::OutOfRangeError("a message of the watch is too long"));
        }

        // Returns false once the watch is over.
        bool takeLine(const std::string& line)
        {
            if (line.empty())
                return true;
            auto message = readWatchMessage(line);
            if (!message.ok()) {
                if (auto counters = m_counters.lock())
                    ++counters->malformed;
                fail(message.status());
                return false;
            }
            // The callback may close the watch, and with it the function it runs in.
            auto onEvents = m_callbacks.onEvents;
            if (!message->events.empty() && onEvents)
                onEvents(message->events);
            if (message->isCancelled)
                fail(cancelStatus(*message));
            return m_exchange != nullptr;
        }

        static absl::Status cancelStatus(const WatchMessage& message)
        {
            if (message.compactRevision != 0)
                return absl::OutOfRangeError("first revision of the watch was compacted");
            return absl::UnavailableError("store cancelled the watch");
        }

        void onEnd(const HttpResult& result)
        {
            m_exchange.reset();
            bool mayTryNext = result.end == HttpEnd::ConnectFailed && m_attempts < m_options.servers.size();
            if (mayTryNext) {
                ++m_server;
                connect();
                return;
            }
            bool isErrorAnswer = m_status != 0 && m_status != statusOk;
            fail(isErrorAnswer ? readError(m_status, m_buffer) : absl::UnavailableError("watch ended: " + result.detail));
        }

        void fail(const absl::Status& status)
        {
            auto onEnd = m_callbacks.onEnd;
            close();
            if (auto counters = m_counters.lock())
                ++counters->of(StoreCall::Watch).failed;
            if (onEnd)
                onEnd(status);
        }

        HttpClient& m_http;
        EtcdStoreOptions m_options;
        std::size_t m_server;
        HttpClientRequest m_request;
        std::weak_ptr<StoreCounters> m_counters;
        StoreWatchCallbacks m_callbacks;
        std::shared_ptr<HttpExchange> m_exchange;
        std::string m_buffer;
        std::size_t m_attempts { 0 };
        int m_status { 0 };
    };

    class EtcdWatch final : public StoreWatch {
    public:
        explicit EtcdWatch(std::shared_ptr<WatchStream> stream)
            : m_stream(std::move(stream))
        {
        }
        EtcdWatch(const EtcdWatch&) = delete;
        EtcdWatch& operator=(const EtcdWatch&) = delete;
        ~EtcdWatch() override { m_stream->close(); }

    private:
        std::shared_ptr<WatchStream> m_stream;
    };

} // namespace

std::unique_ptr<StoreWatch> openEtcdWatch(HttpClient& http, const EtcdStoreOptions& options, std::size_t firstServer,
    HttpClientRequest request, std::weak_ptr<StoreCounters> counters, StoreWatchCallbacks callbacks)
{
    auto stream = std::make_shared<WatchStream>(http, options, firstServer, std::move(request), std::move(counters), std::move(callbacks));
    stream->connect();
    return std::make_unique<EtcdWatch>(std::move(stream));
}

} // namespace catkinwing
