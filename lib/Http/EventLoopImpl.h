// State of the loop, shared by the sources of this package.
#pragma once

#include "H2o.h"
#include "InputBudget.h"
#include "catkinwing/Http/EventLoop.h"
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace catkinwing {

struct EventLoop::Impl {
    /// Returns true once what it holds has been released.
    using Reaper = std::function<bool()>;
    using ReadableCallback = std::function<void()>;

    /// A descriptor that is watched but not read by h2o.
    struct Watch {
        h2o_socket_t* socket;
        ReadableCallback onReadable;
    };

    explicit Impl(const Clock& source);
    ~Impl();
    Impl(const Impl&) = delete;
    Impl& operator=(const Impl&) = delete;

    /// Calls \p callback at the end of this turn, or of the next one if none runs.
    void defer(Callback callback) { deferred.push_back(std::move(callback)); }
    /// Calls \p reaper at the end of each turn until it returns true; also,
    /// for a while, when the loop is destroyed.
    void retire(Reaper reaper) { reapers.push_back(std::move(reaper)); }
    /// Takes over \p descriptor and calls \p onReadable while it has input.
    Watch* watch(int descriptor, ReadableCallback onReadable);
    /// Closes the descriptor; must not be called by its own callback.
    void unwatch(Watch* watch);

    /// Begins the next turn of the input budget at the end of this turn.
    void renewInputBudgetLater();

    void runTurn(std::chrono::milliseconds maxWait);
    /// Returns whether a socket has an event whose callback h2o hasn't called yet.
    bool hasPendingSockets() const;

    const Clock& clock;
    h2o_evloop_t* evloop;
    std::map<std::pair<TimePoint, TimerId>, Callback> timers;
    std::unordered_map<TimerId, TimePoint> dueTimes;
    TimerId lastTimer { 0 };
    bool isStopped { false };
    std::vector<Callback> deferred;
    InputBudget inputBudget;
    bool isBudgetRenewalDue { false };
    std::vector<Reaper> reapers;
    std::vector<std::unique_ptr<Watch>> watches;
    std::vector<Watch*> signalWatches;
    std::vector<int> blockedSignals;

private:
    std::int32_t waitMilliseconds(std::chrono::milliseconds maxWait) const;
    void runDueTimers();
    void runDeferred();
    void runReapers();
    void runPendingSockets();
    void settleSockets();
    void poll(std::int32_t maxWait);
    void releaseRetired();
};

} // namespace catkinwing
