#pragma once

#include "catkinwing/Coordination/Store.h"
#include "catkinwing/Support/Scheduler.h"
#include <array>
#include <deque>
#include <map>
#include <optional>

namespace catkinwing {

/// What goes wrong with one call to a fake store.
enum class StoreFault {
    None,
    /// The request never left.
    NotSent,
    /// The request is lost and never takes effect; the caller gets no answer.
    LostRequest,
    /// The request takes effect; its answer is lost.
    LostAnswer,
    /// The caller gives up first; the request takes effect after lateBy.
    AppliedLate,
};

/// Groups of calls that faults are set for.
enum class StoreCallGroup {
    Read,
    Write,
    Lease,
};

/// Store in memory for the tests of every package, with faults to switch on.
/// It lives on its own scheduler; a client that may be frozen apart from
/// it talks through clientOn().
class FakeStore final : public Store {
public:
    /// \p scheduler must outlive the store.
    explicit FakeStore(Scheduler& scheduler);
    ~FakeStore() override;

    void get(const std::string& key, GetCallback done) override;
    void list(const std::string& prefix, ListCallback done) override;
    void compareAndSwap(const std::string& key, StoreRevision expected, const std::string& value, StoreLease lease, SwapCallback done) override;
    void compareAndDelete(const std::string& key, StoreRevision expected, SwapCallback done) override;
    std::unique_ptr<StoreWatch> watch(const std::string& prefix, StoreRevision firstRevision, StoreWatchCallbacks callbacks) override;
    void grantLease(std::chrono::milliseconds timeToLive, LeaseCallback done) override;
    void keepAlive(StoreLease lease, KeepAliveCallback done) override;
    void revokeLease(StoreLease lease, DoneCallback done) override;

    /// Returns a store whose callbacks run on \p scheduler.
    std::unique_ptr<Store> clientOn(Scheduler& scheduler);

    /// Makes the next \p count calls of a group go wrong.
    void failNext(StoreCallGroup group, StoreFault fault, int count = 1);
    /// Returns how many calls of a group are still to go wrong.
    std::size_t faultsLeft(StoreCallGroup group) const { return m_faults[static_cast<std::size_t>(group)].size(); }
    /// Refuses connections and ends the watches.
    void setDown(bool isDown);
    /// Ends all watches and goes on serving.
    void cutWatches();
    /// Neither answers nor refuses; watches stay open and see nothing.
    void setSilent(bool isSilent);
    /// Time from call to answer; requests take effect at half of it. From the
    /// call timeout on, no answer arrives but writes still take effect.
    void setLatency(Duration latency) { m_latency = latency; }
    void setCallTimeout(Duration timeout) { m_callTimeout = timeout; }
    void setLateBy(Duration lateBy) { m_lateBy = lateBy; }
    /// Forgets the history, so that older watches end as OutOfRange.
    void compact() { m_compactedRevision = m_revision; }

    /// Writes, reads and deletes at once, as another client would.
    StoreRevision put(const std::string& key, const std::string& value);
    StoredValue peek(const std::string& key) const;
    void erase(const std::string& key);
    StoreRevision revision() const { return m_revision; }
    /// What the store would come back with.
    struct Copy;
    std::shared_ptr<const Copy> takeCopy() const;
    /// Comes back from a copy in a new era: what was written since is gone, and numbers of
    /// revisions and leases are given out again. Leases of the copy run anew.
    void restore(const Copy& copy);
    /// Returns how many calls of a group were made.
    std::size_t calls(StoreCallGroup group) const { return m_calls[static_cast<std::size_t>(group)]; }

private:
    struct Watch;
    class WatchHandle;
    struct Entry {
        std::string value;
        StoreRevision revision {};
        StoreLease lease {};
    };
    struct Lease {
        std::chrono::milliseconds timeToLive {};
        TimerId timer { 0 };
    };
    /// What a caller may be told apart from the true answer.
    template <typename Answer>
    struct Failures {
        Answer notSent;
        Answer lost;
    };

    template <typename Answer>
    void serve(StoreCallGroup group, std::function<Answer()> apply, Failures<Answer> failures, std::function<void(Answer)> done);
    StoreFault takeFault(StoreCallGroup group);
    SwapResult applySwap(const std::string& key, StoreRevision expected, const std::string& value, StoreLease lease);
    SwapResult applyDelete(const std::string& key, StoreRevision expected);
    void record(bool isDeletion, StoredValue current);
    void expireLease(StoreLease lease);
    void armLease(StoreLease lease);
    void scheduleFlush();
    void confirmFromTimeToTime(const std::weak_ptr<Watch>& watch);
    void flush();

    Scheduler& m_scheduler;
    Duration m_latency { std::chrono::milliseconds(2) };
    Duration m_callTimeout { std::chrono::seconds(2) };
    Duration m_lateBy { std::chrono::seconds(3) };
    Duration m_watchWait { std::chrono::milliseconds(1'200) };
    bool m_isDown { false };
    bool m_isSilent { false };
    StoreRevision m_revision { 1 };
    StoreRevision m_compactedRevision {};
    std::int64_t m_lastLease { 0 };
    std::map<std::string, Entry> m_entries;
    std::map<std::int64_t, Lease> m_leases;
    std::vector<StoreEvent> m_history;
    std::vector<std::weak_ptr<Watch>> m_watches;
    std::array<std::deque<StoreFault>, 3> m_faults;
    std::array<std::size_t, 3> m_calls {};
};

} // namespace catkinwing
