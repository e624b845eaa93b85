#include "catkinwing/Http/EventLoop.h"

#include "EventLoopImpl.h"
#include <algorithm>
#include <cassert>
#include <csignal>
#include <limits>
#include <sys/signalfd.h>

namespace catkinwing {

// Turns given to closing connections when the loop is destroyed.
static constexpr int maxReleaseTurns = 200;

EventLoop::Impl::Impl(const Clock& source)
    : clock(source)
    , evloop(h2o_evloop_create())
{
    // A write to a connection that the peer has closed must fail, not kill.
    std::signal(SIGPIPE, SIG_IGN);
    // h2o would move large buffers to files, but the instances have no disks.
    h2o_socket_buffer_mmap_settings.threshold = std::numeric_limits<std::size_t>::max();
}

EventLoop::Impl::~Impl()
{
    // Callbacks may own what cancels other timers when it goes.
    auto pending = std::exchange(timers, {});
    dueTimes.clear();
    pending.clear();
    for (Watch* watch : signalWatches)
        unwatch(watch);
    releaseRetired();
    sigset_t signals;
    sigemptyset(&signals);
    for (int number : blockedSignals)
        sigaddset(&signals, number);
    pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
    h2o_evloop_destroy(evloop);
}

// Connections close over several turns, since TLS says goodbye first. What
// still isn't closed after that is leaked rather than freed under h2o's feet.
void EventLoop::Impl::releaseRetired()
{
    for (int turn = 0; turn < maxReleaseTurns; ++turn) {
        runDeferred();
        settleSockets();
        poll(0);
        bool isIdle = deferred.empty() && reapers.empty();
        if (isIdle && turn > 1)
            return;
    }
    for (auto& reaper : reapers)
        new Reaper(std::move(reaper));
}

EventLoop::Impl::Watch* EventLoop::Impl::watch(int descriptor, ReadableCallback onReadable)
{
    auto entry = std::make_unique<Watch>();
    entry->onReadable = std::move(onReadable);
    entry->socket = h2o_evloop_socket_create(evloop, descriptor, H2O_SOCKET_FLAG_DONT_READ);
    entry->socket->data = entry.get();
    h2o_socket_read_start(entry->socket, [](h2o_socket_t* socket, const char*) {
        static_cast<Watch*>(socket->data)->onReadable();
    });
    watches.push_back(std::move(entry));
    return watches.back().get();
}

void EventLoop::Impl::unwatch(Watch* watch)
{
    auto entry = std::find_if(watches.begin(), watches.end(),
        [watch](const auto& candidate) { return candidate.get() == watch; });
    assert(entry != watches.end());
    h2o_socket_close(watch->socket);
    watches.erase(entry);
}

std::int32_t EventLoop::Impl::waitMilliseconds(std::chrono::milliseconds maxWait) const
{
    using std::chrono::milliseconds;
    if (!deferred.empty())
        return 0;
    milliseconds wait = std::clamp(maxWait, milliseconds(0), milliseconds(std::numeric_limits<std::int32_t>::max()));
    if (timers.empty())
        return static_cast<std::int32_t>(wait.count());
    Duration untilDue = std::max(timers.begin()->first.first - clock.now(), Duration::zero());
    wait = std::min(wait, std::chrono::ceil<milliseconds>(untilDue));
    return static_cast<std::int32_t>(wait.count());
}

bool EventLoop::Impl::hasPendingSockets() const
{
    return evloop->_pending_as_client || evloop->_pending_as_server;
}

// h2o does the same after each callback of its own timeouts.
void EventLoop::Impl::runPendingSockets()
{
    h2o_timeout__do_post_callback(evloop);
}

// Before it waits, h2o frees closed sockets and decides which ones to poll, and takes for granted
// that none is pending then. One that is would be called after it was freed, or stay polled for a
// write that has ended, which h2o aborts on.
void EventLoop::Impl::poll(std::int32_t maxWait)
{
    assert(!hasPendingSockets() && "a socket is pending outside h2o's run");
    h2o_evloop_run(evloop, maxWait);
}

void EventLoop::Impl::runTurn(std::chrono::milliseconds maxWait)
{
    // Callers may use connections between two turns.
    if (hasPendingSockets())
        settleSockets();
    poll(waitMilliseconds(maxWait));
    if (!isStopped)
        runDueTimers();
    runDeferred();
    settleSockets();
}

// Reapers see what the callbacks of ended writes have done, such as beginning to read.
void EventLoop::Impl::settleSockets()
{
    runPendingSockets();
    runReapers();
    runPendingSockets();
}

// A timer set by a callback has a later id, and so waits for the next turn.
void EventLoop::Impl::runDueTimers()
{
    TimePoint now = clock.now();
    TimerId last = lastTimer;
    while (!timers.empty() && !isStopped) {
        auto entry = timers.begin();
        auto [due, timer] = entry->first;
        if (due > now || timer > last)
            return;
        Callback callback = std::move(entry->second);
        timers.erase(entry);
        dueTimes.erase(timer);
        callback();
    }
}

void EventLoop::Impl::runDeferred()
{
    std::vector<Callback> callbacks;
    callbacks.swap(deferred);
    for (auto& callback : callbacks) {
        callback();
        callback = nullptr;
    }
}

void EventLoop::Impl::renewInputBudgetLater()
{
    if (std::exchange(isBudgetRenewalDue, true))
        return;
    defer([this] {
        isBudgetRenewalDue = false;
        if (inputBudget.renew())
            renewInputBudgetLater();
    });
}

void EventLoop::Impl::runReapers()
{
    if (reapers.empty())
        return;
    std::vector<Reaper> current;
    current.swap(reapers);
    for (auto& reaper : current) {
        if (!reaper())
            reapers.push_back(std::move(reaper));
    }
}

EventLoop::EventLoop(const Clock& clock)
    : m_impl(std::make_unique<Impl>(clock))
{
}

EventLoop::~EventLoop() = default;

const Clock& EventLoop::clock() const
{
    return m_impl->clock;
}

TimerId EventLoop::callAfter(Duration delay, Callback callback)
{
    TimerId timer = ++m_impl->lastTimer;
    TimePoint due = clock().now() + std::max(delay, Duration::zero());
    m_impl->timers.emplace(std::make_pair(due, timer), std::move(callback));
    m_impl->dueTimes.emplace(timer, due);
    return timer;
}

void EventLoop::cancel(TimerId timer)
{
    auto entry = m_impl->dueTimes.find(timer);
    if (entry == m_impl->dueTimes.end())
        return;
    TimePoint due = entry->second;
    m_impl->dueTimes.erase(entry);
    // The callback goes after the map is whole again, as it may cancel others.
    auto node = m_impl->timers.extract(std::make_pair(due, timer));
}

static void blockSignal(int number)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, number);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

static int openSignalDescriptor(int number)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, number);
    int descriptor = signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
    assert(descriptor >= 0 && "no signal descriptor");
    return descriptor;
}

void EventLoop::onSignal(int number, Callback callback)
{
    blockSignal(number);
    m_impl->blockedSignals.push_back(number);
    int descriptor = openSignalDescriptor(number);
    auto readSignal = [descriptor, callback = std::move(callback)] {
        signalfd_siginfo info {};
        if (read(descriptor, &info, sizeof(info)) == sizeof(info))
            callback();
    };
    m_impl->signalWatches.push_back(m_impl->watch(descriptor, readSignal));
}

void EventLoop::run()
{
    m_impl->isStopped = false;
    while (!m_impl->isStopped)
        m_impl->runTurn(std::chrono::hours(1));
}

void EventLoop::stop()
{
    m_impl->isStopped = true;
}

void EventLoop::runOnce(std::chrono::milliseconds maxWait)
{
    m_impl->isStopped = false;
    m_impl->runTurn(maxWait);
}

} // namespace catkinwing
