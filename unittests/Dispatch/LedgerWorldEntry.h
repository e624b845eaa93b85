#pragma once

#include "LedgerWorld.h"
#include <algorithm>

namespace catkinwing {

/// Returns the name of an entry, "a" or "b".
std::string entryName(std::size_t entry);
/// Returns the index of a named entry.
std::size_t entryIndex(const std::string& name);

/// Timers of one entry, which stand still while it is frozen.
class LedgerWorld::EntryScheduler final : public Scheduler {
public:
    explicit EntryScheduler(const Clock& clock)
        : m_clock(clock)
    {
    }

    const Clock& clock() const override { return m_clock; }
    TimerId callAfter(Duration delay, Callback callback) override
    {
        m_timers[{ m_clock.now() + std::max(delay, Duration::zero()), ++m_lastTimer }] = std::move(callback);
        return m_lastTimer;
    }
    void cancel(TimerId timer) override
    {
        auto entry = std::find_if(m_timers.begin(), m_timers.end(), [timer](const auto& candidate) { return candidate.first.second == timer; });
        if (entry != m_timers.end())
            m_timers.erase(entry);
    }
    void clear() { m_timers.clear(); }
    bool hasTimer() const { return !m_timers.empty(); }
    TimePoint nextDue() const { return m_timers.begin()->first.first; }
    void runDue()
    {
        while (hasTimer() && nextDue() <= m_clock.now()) {
            Callback callback = std::move(m_timers.begin()->second);
            m_timers.erase(m_timers.begin());
            callback();
        }
    }

private:
    const Clock& m_clock;
    TimerId m_lastTimer { 0 };
    std::map<std::pair<TimePoint, TimerId>, Callback> m_timers;
};

/// The store as one entry reaches it: each call waits until the explorer lets it go on.
class LedgerWorld::EntryStore final : public Store {
public:
    EntryStore(LedgerWorld& world, std::size_t entry)
        : m_world(world)
        , m_entry(entry)
    {
    }

    void list(const std::string& prefix, ListCallback done) override;
    void compareAndSwap(const std::string& key, StoreRevision expected, const std::string& value, StoreLease lease, SwapCallback done) override;
    // The ledger uses nothing else.
    void get(const std::string&, GetCallback) override { std::abort(); }
    void compareAndDelete(const std::string&, StoreRevision, SwapCallback) override { std::abort(); }
    std::unique_ptr<StoreWatch> watch(const std::string&, StoreRevision, StoreWatchCallbacks) override { std::abort(); }
    void grantLease(std::chrono::milliseconds, LeaseCallback) override { std::abort(); }
    void keepAlive(StoreLease, KeepAliveCallback) override { std::abort(); }
    void revokeLease(StoreLease, DoneCallback) override { std::abort(); }

private:
    LedgerWorld& m_world;
    std::size_t m_entry;
};

/// Sends claims as messages that the explorer may delay or lose.
class LedgerWorld::EntryForwarder final : public ClaimForwarder {
public:
    EntryForwarder(LedgerWorld& world, std::size_t entry)
        : m_world(world)
        , m_entry(entry)
    {
    }
    void forward(const std::string& target, const ClaimRecord& claim, DoneCallback done) override;

private:
    LedgerWorld& m_world;
    std::size_t m_entry;
};

/// A process with its ledger.
class LedgerWorld::Entry {
public:
    Entry(LedgerWorld& world, std::size_t index, const Scenario& scenario)
        : scheduler(world.m_clock)
        , store(world, index)
        , forwarder(world, index)
        , coordinator(scenario.coordinators[index])
        , m_index(index)
        , m_scenario(scenario)
    {
        start();
    }

    /// Replaces the process by a new one, which knows nothing.
    void restart()
    {
        ledger.reset();
        scheduler.clear();
        inbox.clear();
        executed.clear();
        isFrozen = false;
        start();
    }

    EntryScheduler scheduler;
    EntryStore store;
    EntryForwarder forwarder;
    std::unique_ptr<IdempotencyLedger> ledger;
    /// The entry that this one takes for the coordinator.
    std::size_t coordinator;
    bool isFrozen { false };
    /// What arrived while it was frozen.
    std::deque<Action> inbox;
    std::set<std::uint64_t> executed;

private:
    void start();

    std::size_t m_index;
    const Scenario& m_scenario;
    std::uint64_t m_incarnation { 0 };
};

} // namespace catkinwing
