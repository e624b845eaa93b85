#include "catkinwing/Coordination/InstanceList.h"

#include "ConsulMessages.h"
#include "catkinwing/Coordination/ServerCall.h"
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <utility>

namespace catkinwing {

struct InstanceList::Impl : std::enable_shared_from_this<Impl> {
    Impl(HttpClient& givenHttp, Scheduler& givenScheduler, Random& givenRandom, InstanceListOptions givenOptions, ChangeCallback givenOnChange)
        : http(givenHttp)
        , scheduler(givenScheduler)
        , random(givenRandom)
        , options(std::move(givenOptions))
        , onChange(std::move(givenOnChange))
        , retryDelay(options.retryDelay)
    {
    }

    void query();
    void queryLater(Duration pause);
    void onAnswer(const ServerAnswer& answer);
    void onFailure();
    void takeIndex(const HttpHeaders& headers);
    void takeOver(std::vector<Instance> next);

    HttpClient& http;
    Scheduler& scheduler;
    Random& random;
    InstanceListOptions options;
    ChangeCallback onChange;
    InstanceListCounters counters;

    bool isRunning { false };
    /// Counts start() calls, to tell old answers apart.
    std::uint64_t run { 0 };
    /// Where the next blocking query waits from; zero asks for the list at once.
    std::uint64_t index { 0 };
    std::size_t preferredServer { 0 };
    std::chrono::milliseconds retryDelay;
    std::vector<Instance> instances;
    bool hasAnswer { false };
    TimePoint updatedAt {};
};

void InstanceList::Impl::query()
{
    ++counters.queries;
    ServerCall call;
    call.servers = options.servers;
    call.firstServer = preferredServer;
    call.request.target = absl::StrCat("/v1/health/service/", options.service);
    if (index != 0)
        absl::StrAppend(&call.request.target, "?index=", index, "&wait=", options.wait.count(), "ms");
    call.request.headers.add("catkinwing-from", options.callerName);
    call.isIdempotent = true;
    call.connectTimeout = options.connectTimeout;
    // The directory adds up to a sixteenth to the wait, to spread the answers.
    constexpr int spreadPart = 16;
    call.callTimeout = options.wait + options.wait / spreadPart + options.answerTimeout;
    if (index == 0)
        call.callTimeout = options.answerTimeout;
    constexpr std::size_t maxAnswerBytes = 8u << 20;
    call.maxAnswerBytes = maxAnswerBytes;
    callServers(http, scheduler, std::move(call), [weak = weak_from_this(), sentRun = run](const ServerAnswer& answer) {
        auto self = weak.lock();
        if (self && self->isRunning && self->run == sentRun)
            self->onAnswer(answer);
    });
}

void InstanceList::Impl::queryLater(Duration pause)
{
    scheduler.callAfter(pause, [weak = weak_from_this(), sentRun = run] {
        auto self = weak.lock();
        if (self && self->isRunning && self->run == sentRun)
            self->query();
    });
}

void InstanceList::Impl::onAnswer(const ServerAnswer& answer)
{
    constexpr int statusOk = 200;
    if (!answer.isComplete || answer.head.status != statusOk) {
        onFailure();
        return;
    }
    std::size_t unreadable = 0;
    auto next = readHealth(answer.body, unreadable);
    counters.malformed += unreadable;
    if (!next.ok()) {
        ++counters.malformed;
        onFailure();
        return;
    }
    preferredServer = answer.server;
    retryDelay = options.retryDelay;
    takeIndex(answer.head.headers);
    updatedAt = scheduler.clock().now();
    // Without an index the next query doesn't block.
    queryLater(index != 0 ? options.shortestPause : options.longestRetryDelay);
    takeOver(std::move(*next));
}

void InstanceList::Impl::onFailure()
{
    ++counters.failures;
    // Another server may count its indexes from elsewhere.
    index = 0;
    ++preferredServer;
    auto jitter = std::chrono::milliseconds(random.below(static_cast<std::uint64_t>(retryDelay.count()) + 1));
    queryLater(retryDelay / 2 + jitter);
    retryDelay = std::min(retryDelay * 2, options.longestRetryDelay);
}

// An index that went back comes from a directory that was set up anew. It is
// taken as it is: waiting on the old one could block for good.
void InstanceList::Impl::takeIndex(const HttpHeaders& headers)
{
    const std::string* text = headers.find("X-Consul-Index");
    if (!text || !absl::SimpleAtoi(*text, &index))
        index = 0;
}

void InstanceList::Impl::takeOver(std::vector<Instance> next)
{
    bool isNews = !hasAnswer || next != instances;
    hasAnswer = true;
    instances = std::move(next);
    if (isNews && onChange)
        onChange(instances);
}

InstanceList::InstanceList(HttpClient& http, Scheduler& scheduler, Random& random, InstanceListOptions options, ChangeCallback onChange)
    : m_impl(std::make_shared<Impl>(http, scheduler, random, std::move(options), std::move(onChange)))
{
}

InstanceList::~InstanceList()
{
    stop();
}

void InstanceList::start()
{
    if (m_impl->isRunning || m_impl->options.servers.empty())
        return;
    m_impl->isRunning = true;
    ++m_impl->run;
    m_impl->query();
}

void InstanceList::stop()
{
    m_impl->isRunning = false;
}

const std::vector<Instance>& InstanceList::instances() const
{
    return m_impl->instances;
}

bool InstanceList::hasAnswer() const
{
    return m_impl->hasAnswer;
}

TimePoint InstanceList::updatedAt() const
{
    return m_impl->updatedAt;
}

const InstanceListCounters& InstanceList::counters() const
{
    return m_impl->counters;
}

} // namespace catkinwing
