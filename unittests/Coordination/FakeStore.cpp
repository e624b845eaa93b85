#include "FakeStore.h"

#include <algorithm>

namespace catkinwing {

struct FakeStore::Copy {
    StoreRevision revision;
    std::int64_t lastLease { 0 };
    std::map<std::string, Entry> entries;
    std::map<std::int64_t, Lease> leases;
};

struct FakeStore::Watch {
    std::string prefix;
    StoreRevision next {};
    StoreWatchCallbacks callbacks;

    void end(const absl::Status& status)
    {
        auto onEnd = std::move(callbacks.onEnd);
        callbacks = {};
        if (onEnd)
            onEnd(status);
    }
};

class FakeStore::WatchHandle final : public StoreWatch {
public:
    explicit WatchHandle(std::shared_ptr<Watch> watch)
        : m_watch(std::move(watch))
    {
    }
    ~WatchHandle() override { m_watch->callbacks = {}; }

private:
    std::shared_ptr<Watch> m_watch;
};

static bool startsWith(const std::string& text, const std::string& prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

FakeStore::FakeStore(Scheduler& scheduler)
    : m_scheduler(scheduler)
{
}

FakeStore::~FakeStore() = default;

StoreFault FakeStore::takeFault(StoreCallGroup group)
{
    ++m_calls[static_cast<std::size_t>(group)];
    auto& faults = m_faults[static_cast<std::size_t>(group)];
    if (m_isDown)
        return StoreFault::NotSent;
    if (m_isSilent)
        return StoreFault::LostRequest;
    if (faults.empty())
        return m_latency < m_callTimeout ? StoreFault::None : StoreFault::LostAnswer;
    StoreFault fault = faults.front();
    faults.pop_front();
    return fault;
}

template <typename Answer>
void FakeStore::serve(StoreCallGroup group, std::function<Answer()> apply, Failures<Answer> failures, std::function<void(Answer)> done)
{
    switch (takeFault(group)) {
    case StoreFault::None: {
        auto answer = std::make_shared<std::optional<Answer>>();
        m_scheduler.callAfter(m_latency / 2, [apply, answer] { *answer = apply(); });
        m_scheduler.callAfter(m_latency, [answer, done] { done(std::move(**answer)); });
        return;
    }
    case StoreFault::NotSent:
        m_scheduler.callAfter(m_latency, [failures, done] { done(failures.notSent); });
        return;
    case StoreFault::LostRequest:
        break;
    case StoreFault::LostAnswer:
        m_scheduler.callAfter(m_latency / 2, [apply] { static_cast<void>(apply()); });
        break;
    case StoreFault::AppliedLate:
        m_scheduler.callAfter(m_lateBy, [apply] { static_cast<void>(apply()); });
        break;
    }
    m_scheduler.callAfter(m_callTimeout, [failures, done] { done(failures.lost); });
}

static absl::Status noAnswer()
{
    return absl::UnavailableError("no answer from the store");
}

void FakeStore::get(const std::string& key, GetCallback done)
{
    using Answer = absl::StatusOr<StoredValue>;
    serve<Answer>(
        StoreCallGroup::Read, [this, key]() -> Answer { return peek(key); }, { noAnswer(), noAnswer() }, std::move(done));
}

void FakeStore::list(const std::string& prefix, ListCallback done)
{
    using Answer = absl::StatusOr<StoreListing>;
    auto apply = [this, prefix]() -> Answer {
        StoreListing listing;
        listing.revision = m_revision;
        for (const auto& [key, entry] : m_entries) {
            if (startsWith(key, prefix))
                listing.values.push_back({ key, entry.value, entry.revision, entry.lease });
        }
        return listing;
    };
    serve<Answer>(StoreCallGroup::Read, apply, { noAnswer(), noAnswer() }, std::move(done));
}

void FakeStore::compareAndSwap(const std::string& key, StoreRevision expected, const std::string& value, StoreLease lease, SwapCallback done)
{
    auto apply = [this, key, expected, value, lease] { return applySwap(key, expected, value, lease); };
    serve<SwapResult>(StoreCallGroup::Write, apply, { { SwapOutcome::NotSent, 0 }, { SwapOutcome::Unknown, 0 } }, std::move(done));
}

void FakeStore::compareAndDelete(const std::string& key, StoreRevision expected, SwapCallback done)
{
    auto apply = [this, key, expected] { return applyDelete(key, expected); };
    serve<SwapResult>(StoreCallGroup::Write, apply, { { SwapOutcome::NotSent, 0 }, { SwapOutcome::Unknown, 0 } }, std::move(done));
}

std::unique_ptr<StoreWatch> FakeStore::watch(const std::string& prefix, StoreRevision firstRevision, StoreWatchCallbacks callbacks)
{
    ++m_calls[static_cast<std::size_t>(StoreCallGroup::Read)];
    auto state = std::make_shared<Watch>(Watch { prefix, firstRevision, std::move(callbacks) });
    m_watches.push_back(state);
    scheduleFlush();
    confirmFromTimeToTime(state);
    return std::make_unique<WatchHandle>(std::move(state));
}

void FakeStore::grantLease(std::chrono::milliseconds timeToLive, LeaseCallback done)
{
    using Answer = absl::StatusOr<StoreLease>;
    auto apply = [this, timeToLive]() -> Answer {
        m_leases[++m_lastLease].timeToLive = timeToLive;
        StoreLease lease { m_revision.era, m_lastLease };
        armLease(lease);
        return lease;
    };
    serve<Answer>(StoreCallGroup::Lease, apply, { noAnswer(), noAnswer() }, std::move(done));
}

void FakeStore::keepAlive(StoreLease lease, KeepAliveCallback done)
{
    using Answer = absl::StatusOr<std::chrono::milliseconds>;
    auto apply = [this, lease]() -> Answer {
        auto found = m_leases.find(lease.number);
        if (found == m_leases.end() || lease.era != m_revision.era)
            return absl::NotFoundError("lease has lapsed");
        armLease(lease);
        return found->second.timeToLive;
    };
    serve<Answer>(StoreCallGroup::Lease, apply, { noAnswer(), noAnswer() }, std::move(done));
}

void FakeStore::revokeLease(StoreLease lease, DoneCallback done)
{
    auto apply = [this, lease] {
        if (lease.era == m_revision.era)
            expireLease(lease);
        return absl::OkStatus();
    };
    serve<absl::Status>(StoreCallGroup::Lease, apply, { noAnswer(), noAnswer() }, std::move(done));
}

void FakeStore::failNext(StoreCallGroup group, StoreFault fault, int count)
{
    auto& faults = m_faults[static_cast<std::size_t>(group)];
    faults.insert(faults.end(), static_cast<std::size_t>(count), fault);
}

void FakeStore::setDown(bool isDown)
{
    m_isDown = isDown;
    scheduleFlush();
}

void FakeStore::cutWatches()
{
    for (const auto& weak : std::exchange(m_watches, {})) {
        if (auto watch = weak.lock())
            watch->end(noAnswer());
    }
}

void FakeStore::setSilent(bool isSilent)
{
    m_isSilent = isSilent;
    scheduleFlush();
}

StoreRevision FakeStore::put(const std::string& key, const std::string& value)
{
    return applySwap(key, peek(key).revision, value, 0).revision;
}

StoredValue FakeStore::peek(const std::string& key) const
{
    auto found = m_entries.find(key);
    if (found == m_entries.end())
        return { key, "", {}, {} };
    return { key, found->second.value, found->second.revision, found->second.lease };
}

void FakeStore::erase(const std::string& key)
{
    applyDelete(key, peek(key).revision);
}

std::shared_ptr<const FakeStore::Copy> FakeStore::takeCopy() const
{
    return std::make_shared<const Copy>(Copy { m_revision, m_lastLease, m_entries, m_leases });
}

void FakeStore::restore(const Copy& copy)
{
    for (const auto& [number, lease] : m_leases)
        m_scheduler.cancel(lease.timer);
    std::int64_t era = m_revision.era + 1;
    m_revision = { era, copy.revision.number };
    m_lastLease = copy.lastLease;
    m_entries = copy.entries;
    for (auto& [key, entry] : m_entries) {
        entry.revision.era = era;
        entry.lease.era = era;
    }
    m_leases.clear();
    for (const auto& [number, lease] : copy.leases) {
        m_leases[number].timeToLive = lease.timeToLive;
        armLease({ era, number });
    }
    m_history.clear();
    m_compactedRevision = m_revision;
    scheduleFlush();
}

SwapResult FakeStore::applySwap(const std::string& key, StoreRevision expected, const std::string& value, StoreLease lease)
{
    bool isLeaseGone = lease.number != 0 && (m_leases.count(lease.number) == 0 || lease.era != m_revision.era);
    // As the real store does, a write under a lapsed lease is refused whole.
    if (isLeaseGone)
        return { SwapOutcome::NotSent, 0 };
    if (peek(key).revision != expected)
        return { SwapOutcome::Conflict, 0 };
    m_revision = m_revision.next();
    m_entries[key] = { value, m_revision, lease };
    record(false, { key, value, m_revision, lease });
    return { SwapOutcome::Committed, m_revision };
}

SwapResult FakeStore::applyDelete(const std::string& key, StoreRevision expected)
{
    if (expected.number == 0 || peek(key).revision != expected)
        return { SwapOutcome::Conflict, 0 };
    m_entries.erase(key);
    m_revision = m_revision.next();
    record(true, { key, "", m_revision, {} });
    return { SwapOutcome::Committed, m_revision };
}

void FakeStore::record(bool isDeletion, StoredValue current)
{
    m_history.push_back({ isDeletion, std::move(current) });
    scheduleFlush();
}

void FakeStore::armLease(StoreLease lease)
{
    Lease& state = m_leases[lease.number];
    m_scheduler.cancel(state.timer);
    state.timer = m_scheduler.callAfter(state.timeToLive, [this, lease] { expireLease(lease); });
}

void FakeStore::expireLease(StoreLease lease)
{
    auto found = m_leases.find(lease.number);
    if (found == m_leases.end())
        return;
    m_scheduler.cancel(found->second.timer);
    m_leases.erase(found);
    std::vector<std::string> bound;
    for (const auto& [key, entry] : m_entries) {
        if (entry.lease.number == lease.number)
            bound.push_back(key);
    }
    for (const auto& key : bound)
        erase(key);
}

void FakeStore::scheduleFlush()
{
    m_scheduler.callAfter(m_latency / 2, [this] { flush(); });
}

// Each watch is a series of calls that wait for a while and are answered.
void FakeStore::confirmFromTimeToTime(const std::weak_ptr<Watch>& watch)
{
    m_scheduler.callAfter(m_watchWait, [this, watch] {
        if (watch.expired())
            return;
        scheduleFlush();
        confirmFromTimeToTime(watch);
    });
}

void FakeStore::flush()
{
    if (m_isSilent)
        return;
    auto watches = m_watches;
    for (const auto& weak : watches) {
        auto watch = weak.lock();
        if (!watch || !watch->callbacks.onEvents)
            continue;
        if (m_isDown) {
            watch->end(noAnswer());
            continue;
        }
        bool isOfEarlierEra = watch->next.era < m_revision.era;
        if (isOfEarlierEra || watch->next <= m_compactedRevision) {
            watch->end(absl::OutOfRangeError("first revision of the watch was compacted"));
            continue;
        }
        std::vector<StoreEvent> events;
        for (const auto& event : m_history) {
            if (event.current.revision >= watch->next && startsWith(event.current.key, watch->prefix))
                events.push_back(event);
        }
        watch->next = std::max(watch->next, m_revision.next());
        // The callback may drop the watch, and with it the function it runs in.
        auto onEvents = watch->callbacks.onEvents;
        auto onCurrent = watch->callbacks.onCurrent;
        if (!events.empty())
            onEvents(events);
        if (onCurrent)
            onCurrent();
    }
    auto isGone = [](const auto& weak) { return weak.expired(); };
    m_watches.erase(std::remove_if(m_watches.begin(), m_watches.end(), isGone), m_watches.end());
}

namespace {

    class FakeStoreClient final : public Store {
    public:
        FakeStoreClient(FakeStore& store, Scheduler& scheduler)
            : m_store(store)
            , m_scheduler(scheduler)
        {
        }

        void get(const std::string& key, GetCallback done) override { m_store.get(key, later(std::move(done))); }
        void list(const std::string& prefix, ListCallback done) override { m_store.list(prefix, later(std::move(done))); }
        void compareAndSwap(const std::string& key, StoreRevision expected, const std::string& value, StoreLease lease, SwapCallback done) override
        {
            m_store.compareAndSwap(key, expected, value, lease, later(std::move(done)));
        }
        void compareAndDelete(const std::string& key, StoreRevision expected, SwapCallback done) override
        {
            m_store.compareAndDelete(key, expected, later(std::move(done)));
        }
        std::unique_ptr<StoreWatch> watch(const std::string& prefix, StoreRevision firstRevision, StoreWatchCallbacks callbacks) override
        {
            StoreWatchCallbacks onClient { later(std::move(callbacks.onEvents)), later(std::move(callbacks.onEnd)), {} };
            if (callbacks.onCurrent)
                onClient.onCurrent = [&scheduler = m_scheduler, onCurrent = std::move(callbacks.onCurrent)] { scheduler.callAfter(Duration::zero(), onCurrent); };
            return m_store.watch(prefix, firstRevision, std::move(onClient));
        }
        void grantLease(std::chrono::milliseconds timeToLive, LeaseCallback done) override { m_store.grantLease(timeToLive, later(std::move(done))); }
        void keepAlive(StoreLease lease, KeepAliveCallback done) override { m_store.keepAlive(lease, later(std::move(done))); }
        void revokeLease(StoreLease lease, DoneCallback done) override { m_store.revokeLease(lease, later(std::move(done))); }

    private:
        template <typename Argument>
        std::function<void(Argument)> later(std::function<void(Argument)> callback)
        {
            Scheduler& scheduler = m_scheduler;
            return [&scheduler, callback](const auto& answer) {
                scheduler.callAfter(Duration::zero(), [callback, answer] { callback(answer); });
            };
        }

        FakeStore& m_store;
        Scheduler& m_scheduler;
    };

} // namespace

std::unique_ptr<Store> FakeStore::clientOn(Scheduler& scheduler)
{
    return std::make_unique<FakeStoreClient>(*this, scheduler);
}

} // namespace catkinwing
