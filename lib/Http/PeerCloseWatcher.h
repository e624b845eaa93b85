// Notices that the other side of a connection has gone while h2o, which is
// waiting for the answer, doesn't read from it.
#pragma once

#include "EventLoopImpl.h"
#include <cstdint>
#include <unordered_map>

namespace catkinwing {

/// Watches descriptors for the end of their input, at two system calls each.
class PeerCloseWatcher {
public:
    using Token = std::uint64_t;
    using Callback = std::function<void()>;

    explicit PeerCloseWatcher(EventLoop::Impl& loop);
    ~PeerCloseWatcher();
    PeerCloseWatcher(const PeerCloseWatcher&) = delete;
    PeerCloseWatcher& operator=(const PeerCloseWatcher&) = delete;

    /// Calls \p onPeerClosed once when the peer of \p descriptor ends its side.
    Token add(int descriptor, Callback onPeerClosed);
    /// Stops watching; the descriptor must still be open.
    void remove(Token token);

private:
    struct Entry {
        int descriptor;
        Callback onPeerClosed;
    };

    void dispatch();

    EventLoop::Impl& m_loop;
    int m_epoll;
    EventLoop::Impl::Watch* m_watch;
    Token m_lastToken { 0 };
    std::unordered_map<Token, Entry> m_entries;
};

} // namespace catkinwing
