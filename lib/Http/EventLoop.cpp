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

EventLoop::Impl::Impl(const Clock& clock)
    : m_clock(clock)
    , m_loop(h2o_evloop_create())
{
    // A write to a connection that the peer has closed must fail, not kill.
    std::signal(SIGPIPE, SIG_IGN);
    // h2o would move large buffers to files, but the instances have no disks.
    h2o_socket_buffer_mmap_settings.threshold = std::numeric_limits<std::size_t>::max();
}

EventLoop::Impl::~Impl()
{
    // Callbacks may own what cancels other timers when it goes.
    auto timers = std::exchange(m_timers, {});
    m_dueTimes.clear();
    timers.clear();
    for (Watch* watch : m_signalWatches)
        unwatch(watch);
    releaseRetired();
    sigset_t signals;
    sigemptyset(&signals);
    for (int number : m_blockedSignals)
        sigaddset(&signals, number);
    pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
    h2o_evloop_destroy(m_loop);
}

// Connections close over several turns, since TLS says goodbye first. What
// still isn't closed after that is leaked rather than freed under h2o's feet.
void EventLoop::Impl::releaseRetired()
{
    for (int turn = 0; turn < maxReleaseTurns; ++turn) {
        runDeferred();
        runReapers();
        h2o_evloop_run(m_loop, 0);
        bool isIdle = m_deferred.empty() && m_reapers.empty();
        if (isIdle && turn > 1)
            return;
    }
    for (auto& reaper : m_reapers)
        new Reaper(std::move(reaper));
}

EventLoop::Impl::Watch* EventLoop::Impl::watch(int descriptor, ReadableCallback onReadable)
{
    auto entry = std::make_unique<Watch>();
    entry->onReadable = std::move(onReadable);
    entry->socket = h2o_evloop_socket_create(m_loop, descriptor, H2O_SOCKET_FLAG_DONT_READ);
    entry->socket->data = entry.get();
    h2o_socket_read_start(entry->socket, [](h2o_socket_t* socket, const char*) {
        static_cast<Watch*>(socket->data)->onReadable();
    });
    m_watches.push_back(std::move(entry));
    return m_watches.back().get();
}

void EventLoop::Impl::unwatch(Watch* watch)
{
    auto entry = std::find_if(m_watches.begin(), m_watches.end(),
        [watch](const auto& candidate) { return candidate.get() == watch; });
    assert(entry != m_watches.end());
    h2o_socket_close(watch->socket);
    m_watches.erase(entry);
}

// Writes begun outside h2o's own run leave their callbacks pending there, and
// h2o doesn't look for them before it waits.
std::int32_t EventLoop::Impl::waitMilliseconds(std::chrono::milliseconds maxWait) const
{
    using std::chrono::milliseconds;
    bool isBusy = !m_deferred.empty() || m_loop->_pending_as_client || m_loop->_pending_as_server;
    if (isBusy)
        return 0;
    milliseconds wait = std::clamp(maxWait, milliseconds(0), milliseconds(std::numeric_limits<std::int32_t>::max()));
    if (m_timers.empty())
        return static_cast<std::int32_t>(wait.count());
    Duration untilDue = std::max(m_timers.begin()->first.first - m_clock.now(), Duration::zero());
    wait = std::min(wait, std::chrono::ceil<milliseconds>(untilDue));
    return static_cast<std::int32_t>(wait.count());
}

void EventLoop::Impl::runTurn(std::chrono::milliseconds maxWait)
{
    h2o_evloop_run(m_loop, waitMilliseconds(maxWait));
    if (!m_isStopped)
        runDueTimers();
    runDeferred();
    runReapers();
}

// A timer set by a callback has a later id, and so waits for the next turn.
void EventLoop::Impl::runDueTimers()
{
    TimePoint now = m_clock.now();
    TimerId last = m_lastTimer;
    while (!m_timers.empty() && !m_isStopped) {
        auto entry = m_timers.begin();
        auto [due, timer] = entry->first;
        if (due > now || timer > last)
            return;
        Callback callback = std::move(entry->second);
        m_timers.erase(entry);
        m_dueTimes.erase(timer);
        callback();
    }
}

void EventLoop::Impl::runDeferred()
{
    std::vector<Callback> callbacks;
    callbacks.swap(m_deferred);
    for (auto& callback : callbacks) {
        callback();
        callback = nullptr;
    }
}

void EventLoop::Impl::runReapers()
{
    if (m_reapers.empty())
        return;
    std::vector<Reaper> reapers;
    reapers.swap(m_reapers);
    for (auto& reaper : reapers) {
        if (!reaper())
            m_reapers.push_back(std::move(reaper));
    }
}

EventLoop::EventLoop(const Clock& clock)
    : m_impl(std::make_unique<Impl>(clock))
{
}

EventLoop::~EventLoop() = default;

const Clock& EventLoop::clock() const
{
    return m_impl->m_clock;
}

TimerId EventLoop::callAfter(Duration delay, Callback callback)
{
    TimerId timer = ++m_impl->m_lastTimer;
    TimePoint due = clock().now() + std::max(delay, Duration::zero());
    m_impl->m_timers.emplace(std::make_pair(due, timer), std::move(callback));
    m_impl->m_dueTimes.emplace(timer, due);
    return timer;
}

void EventLoop::cancel(TimerId timer)
{
    auto entry = m_impl->m_dueTimes.find(timer);
    if (entry == m_impl->m_dueTimes.end())
        return;
    TimePoint due = entry->second;
    m_impl->m_dueTimes.erase(entry);
    // The callback goes after the map is whole again, as it may cancel others.
    auto node = m_impl->m_timers.extract(std::make_pair(due, timer));
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
    m_impl->m_blockedSignals.push_back(number);
    int descriptor = openSignalDescriptor(number);
    auto readSignal = [descriptor, callback = std::move(callback)] {
        signalfd_siginfo info {};
        if (read(descriptor, &info, sizeof(info)) == sizeof(info))
            callback();
    };
    m_impl->m_signalWatches.push_back(m_impl->watch(descriptor, readSignal));
}

void EventLoop::run()
{
    m_impl->m_isStopped = false;
    while (!m_impl->m_isStopped)
        m_impl->runTurn(std::chrono::hours(1));
}

void EventLoop::stop()
{
    m_impl->m_isStopped = true;
}

void EventLoop::runOnce(std::chrono::milliseconds maxWait)
{
    m_impl->m_isStopped = false;
    m_impl->runTurn(maxWait);
}

} // namespace catkinwing
