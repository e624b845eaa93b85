#include "PeerCloseWatcher.h"

#include <array>
#include <cassert>
#include <sys/epoll.h>

namespace catkinwing {

static constexpr std::size_t eventsPerTurn = 64;

PeerCloseWatcher::PeerCloseWatcher(EventLoop::Impl& loop)
    : m_loop(loop)
    , m_epoll(epoll_create1(EPOLL_CLOEXEC))
    , m_watch(loop.watch(m_epoll, [this] { dispatch(); }))
{
    assert(m_epoll >= 0 && "no epoll descriptor");
}

PeerCloseWatcher::~PeerCloseWatcher()
{
    m_loop.unwatch(m_watch);
}

PeerCloseWatcher::Token PeerCloseWatcher::add(int descriptor, Callback onPeerClosed)
{
    Token token = ++m_lastToken;
    epoll_event event {};
    event.events = EPOLLRDHUP;
    event.data.u64 = token;
    if (epoll_ctl(m_epoll, EPOLL_CTL_ADD, descriptor, &event) == 0)
        m_entries.emplace(token, Entry { descriptor, std::move(onPeerClosed) });
    return token;
}

void PeerCloseWatcher::remove(Token token)
{
    auto entry = m_entries.find(token);
    if (entry == m_entries.end())
        return;
    epoll_ctl(m_epoll, EPOLL_CTL_DEL, entry->second.descriptor, nullptr);
    m_entries.erase(entry);
}

void PeerCloseWatcher::dispatch()
{
    std::array<epoll_event, eventsPerTurn> events;
    int count = epoll_wait(m_epoll, events.data(), static_cast<int>(events.size()), 0);
    for (int i = 0; i < count; ++i) {
        auto entry = m_entries.find(events[static_cast<std::size_t>(i)].data.u64);
        if (entry == m_entries.end())
            continue;
        Callback onPeerClosed = std::move(entry->second.onPeerClosed);
        remove(entry->first);
        onPeerClosed();
    }
}

} // namespace catkinwing
