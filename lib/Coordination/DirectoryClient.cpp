#include "catkinwing/Coordination/DirectoryClient.h"

#include "ConsulMessages.h"
#include "catkinwing/Coordination/ServerCall.h"
#include <optional>
#include <utility>

namespace catkinwing {

struct DirectoryClient::Impl : std::enable_shared_from_this<Impl> {
    Impl(HttpClient& givenHttp, Scheduler& givenScheduler, DirectoryClientOptions givenOptions)
        : http(givenHttp)
        , scheduler(givenScheduler)
        , options(std::move(givenOptions))
    {
    }

    void registerNow();
    void registerLater(std::chrono::milliseconds pause);
    void send(const char* path, std::string body, std::function<void(bool isDone, const ServerAnswer&)> done);

    HttpClient& http;
    Scheduler& scheduler;
    DirectoryClientOptions options;
    DirectoryCounters counters;
    std::optional<Instance> announced;
    bool isConfirmed { false };
    /// Grows with each announce() and withdraw(), to tell old answers apart.
    std::uint64_t version { 0 };
    TimerId timer { 0 };
};

void DirectoryClient::Impl::send(const char* path, std::string body, std::function<void(bool isDone, const ServerAnswer&)> done)
{
    ServerCall call;
    call.servers = options.servers;
    call.request.method = "PUT";
    call.request.target = path;
    call.request.headers.add("content-type", "application/json");
    call.request.headers.add("catkinwing-from", options.callerName);
    call.request.body = std::move(body);
    call.isIdempotent = true;
    call.connectTimeout = options.connectTimeout;
    call.callTimeout = options.callTimeout;
    callServers(http, scheduler, std::move(call), [weak = weak_from_this(), done = std::move(done)](const ServerAnswer& answer) {
        auto self = weak.lock();
        if (!self)
            return;
        constexpr int statusOk = 200;
        bool isDone = answer.isComplete && answer.head.status == statusOk;
        if (!isDone)
            ++self->counters.failures;
        done(isDone, answer);
    });
}

void DirectoryClient::Impl::registerNow()
{
    ++counters.registrations;
    send("/v1/catalog/register", registerBody(*announced, options.service), [this, sentVersion = version](bool isDone, const ServerAnswer&) {
        if (sentVersion != version)
            return;
        isConfirmed = isDone;
        registerLater(isDone ? options.renewEvery : options.retryDelay);
    });
}

void DirectoryClient::Impl::registerLater(std::chrono::milliseconds pause)
{
    scheduler.cancel(timer);
    timer = scheduler.callAfter(pause, [weak = weak_from_this()] {
        auto self = weak.lock();
        if (self && self->announced)
            self->registerNow();
    });
}

DirectoryClient::DirectoryClient(HttpClient& http, Scheduler& scheduler, DirectoryClientOptions options)
    : m_impl(std::make_shared<Impl>(http, scheduler, std::move(options)))
{
}

DirectoryClient::~DirectoryClient()
{
    m_impl->scheduler.cancel(m_impl->timer);
}

void DirectoryClient::announce(Instance instance)
{
    if (m_impl->options.servers.empty())
        return;
    ++m_impl->version;
    m_impl->announced = std::move(instance);
    m_impl->isConfirmed = false;
    m_impl->scheduler.cancel(m_impl->timer);
    m_impl->registerNow();
}

void DirectoryClient::withdraw(DoneCallback done)
{
    ++m_impl->version;
    m_impl->scheduler.cancel(m_impl->timer);
    m_impl->isConfirmed = false;
    auto last = std::exchange(m_impl->announced, std::nullopt);
    if (!last) {
        m_impl->scheduler.callAfter(Duration::zero(), [done = std::move(done)] { done(absl::OkStatus()); });
        return;
    }
    ++m_impl->counters.deregistrations;
    m_impl->send("/v1/catalog/deregister", deregisterBody(last->id), [done = std::move(done)](bool isDone, const ServerAnswer& answer) {
        done(isDone ? absl::OkStatus() : absl::UnavailableError("directory did not deregister: " + answer.detail));
    });
}

bool DirectoryClient::isAnnounced() const
{
    return m_impl->isConfirmed;
}

const DirectoryCounters& DirectoryClient::counters() const
{
    return m_impl->counters;
}

} // namespace catkinwing
