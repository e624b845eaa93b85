#include "catkinwing/Coordination/ServerCall.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace catkinwing {

namespace {

    class CallInProgress : public std::enable_shared_from_this<CallInProgress> {
    public:
        CallInProgress(HttpClient& http, Scheduler& scheduler, ServerCall call, std::function<void(ServerAnswer)> done)
            : m_http(http)
            , m_scheduler(scheduler)
            , m_call(std::move(call))
            , m_deadline(scheduler.clock().now() + m_call.callTimeout)
            , m_done(std::move(done))
        {
            m_answer.server = m_call.firstServer % m_call.servers.size();
        }

        void start()
        {
            m_timer = m_scheduler.callAfter(m_call.callTimeout, [self = shared_from_this()] { self->onDeadline(); });
            attempt();
        }

    private:
        void attempt()
        {
            using std::chrono::milliseconds;
            auto left = std::chrono::duration_cast<milliseconds>(m_deadline - m_scheduler.clock().now());
            HttpClientRequest request = m_call.request;
            request.server = m_call.servers[m_answer.server];
            request.connectTimeout = std::min(m_call.connectTimeout, left);
            request.headTimeout = left;
            request.idleTimeout = left;
            ++m_answer.attempts;
            m_exchange = sendForWhole(m_http, std::move(request), m_call.maxAnswerBytes,
                [self = shared_from_this()](const HttpResult& result, const HttpResponseHead& head, std::string body) {
                    self->onEnd(result, head, std::move(body));
                });
        }

        void onEnd(const HttpResult& result, const HttpResponseHead& head, std::string body)
        {
            if (m_isDone)
                return;
            m_exchange.reset();
            m_answer.mayHaveReachedServer |= result.mayHaveReachedServer;
            m_answer.detail = result.detail;
            if (result.end == HttpEnd::Complete) {
                m_answer.isComplete = true;
                m_answer.head = head;
                m_answer.body = std::move(body);
                finish();
                return;
            }
            bool mayRepeat = m_call.isIdempotent || !m_answer.mayHaveReachedServer;
            if (!mayRepeat || m_answer.attempts >= maxAttempts() || m_scheduler.clock().now() >= m_deadline) {
                finish();
                return;
            }
            m_answer.server = (m_answer.server + 1) % m_call.servers.size();
            attempt();
        }

        // A lone server is tried twice, since a pooled connection may just have been closed.
        std::size_t maxAttempts() const
        {
            return m_call.maxAttempts != 0 ? m_call.maxAttempts : std::max<std::size_t>(m_call.servers.size(), 2);
        }

        // The timeouts of an exchange start anew with each piece of the answer, so
        // a server that trickles is only stopped here.
        void onDeadline()
        {
            if (m_isDone)
                return;
            if (m_exchange) {
                m_answer.mayHaveReachedServer |= m_exchange->mayHaveReachedServer();
                m_exchange->cancel();
            }
            m_answer.detail = "call timed out";
            finish();
        }

        void finish()
        {
            m_isDone = true;
            m_exchange.reset();
            m_scheduler.cancel(m_timer);
            auto done = std::move(m_done);
            done(std::move(m_answer));
        }

        HttpClient& m_http;
        Scheduler& m_scheduler;
        ServerCall m_call;
        TimePoint m_deadline;
        std::function<void(ServerAnswer)> m_done;
        std::shared_ptr<HttpExchange> m_exchange;
        ServerAnswer m_answer;
        TimerId m_timer { 0 };
        bool m_isDone { false };
    };

} // namespace

void callServers(HttpClient& http, Scheduler& scheduler, ServerCall call, std::function<void(ServerAnswer)> done)
{
    assert(!call.servers.empty() && "a call needs a server");
    std::make_shared<CallInProgress>(http, scheduler, std::move(call), std::move(done))->start();
}

} // namespace catkinwing
