#include "catkinwing/Coordination/LeaseKeeper.h"

#include <algorithm>
#include <utility>

namespace catkinwing {

struct LeaseKeeper::Impl : std::enable_shared_from_this<Impl> {
    Impl(Store& givenStore, Scheduler& givenScheduler, Random& givenRandom, LeaseKeeperOptions givenOptions)
        : store(givenStore)
        , scheduler(givenScheduler)
        , random(givenRandom)
        , options(std::move(givenOptions))
    {
    }

    // Wraps a callback so that it does nothing once the attempt it belongs to is over.
    template <typename Function>
    auto guarded(Function function)
    {
        return [weak = weak_from_this(), epoch = epoch, function](const auto&... arguments) {
            auto self = weak.lock();
            if (self && self->epoch == epoch)
                function(*self, arguments...);
        };
    }

    TimePoint now() const { return scheduler.clock().now(); }
    Duration spread(std::chrono::milliseconds pause);
    void setState(LeaseState next);
    void callLater(Duration delay, void (Impl::*step)());
    void endAttempt();
    void tryAgainLater();
    void drop();

    void beginAttempt();
    void onHolderRead(const absl::StatusOr<StoredValue>& current);
    void grant();
    void onGranted(TimePoint askedAt, const absl::StatusOr<StoreLease>& granted);
    void onSwapped(SwapResult result);
    void onOwnWriteRead(const absl::StatusOr<StoredValue>& current);
    void takeUp(StoreRevision revision);

    void renew();
    void onRenewed(TimePoint askedAt, const absl::StatusOr<std::chrono::milliseconds>& left);
    void onKeyConfirmed(TimePoint until, const absl::StatusOr<StoredValue>& current);
    void expireWhenDue();

    Store& store;
    Scheduler& scheduler;
    Random& random;
    LeaseKeeperOptions options;
    LeaseCounters counters;
    std::function<void(LeaseState)> changeCallback;

    LeaseState state { LeaseState::Idle };
    /// Grows with each attempt, so that callbacks of earlier ones are told apart.
    std::uint64_t epoch { 0 };
    /// Value of the key in this attempt; unique, so that a lost write can be recognised.
    std::string token;
    StoreLease lease {};
    HeldLease heldLease;
};

Duration LeaseKeeper::Impl::spread(std::chrono::milliseconds pause)
{
    auto half = static_cast<std::uint64_t>(std::max<std::int64_t>(pause.count() / 2, 1));
    return pause + std::chrono::milliseconds(random.below(half));
}

void LeaseKeeper::Impl::setState(LeaseState next)
{
    if (state == next)
        return;
    state = next;
    if (changeCallback)
        changeCallback(next);
}

void LeaseKeeper::Impl::callLater(Duration delay, void (Impl::*step)())
{
    scheduler.callAfter(delay, guarded([step](Impl& self) { (self.*step)(); }));
}

// Gives the store's lease back, which deletes the key and makes the store
// refuse a write of this attempt that is still in flight.
void LeaseKeeper::Impl::endAttempt()
{
    ++epoch;
    if (lease.number != 0)
        store.revokeLease(lease, [](const absl::Status&) {});
    lease = {};
    heldLease = {};
}

void LeaseKeeper::Impl::tryAgainLater()
{
    endAttempt();
    callLater(spread(options.retryEvery), &Impl::beginAttempt);
}

void LeaseKeeper::Impl::drop()
{
    if (state == LeaseState::Idle)
        return;
    bool wasHeld = state == LeaseState::Held;
    tryAgainLater();
    if (!wasHeld)
        return;
    ++counters.lost;
    setState(LeaseState::Lost);
}

void LeaseKeeper::Impl::beginAttempt()
{
    ++epoch;
    setState(LeaseState::Acquiring);
    store.get(options.key, guarded([](Impl& self, const absl::StatusOr<StoredValue>& current) { self.onHolderRead(current); }));
}

void LeaseKeeper::Impl::onHolderRead(const absl::StatusOr<StoredValue>& current)
{
    if (!current.ok())
        ++counters.failedCalls;
    if (!current.ok() || current->revision != 0) {
        tryAgainLater();
        return;
    }
    grant();
}

void LeaseKeeper::Impl::grant()
{
    // Counted from before the call, since the store begins to count during it.
    TimePoint askedAt = now();
    store.grantLease(options.timeToLive, guarded([askedAt](Impl& self, const absl::StatusOr<StoreLease>& granted) { self.onGranted(askedAt, granted); }));
}

void LeaseKeeper::Impl::onGranted(TimePoint askedAt, const absl::StatusOr<StoreLease>& granted)
{
    if (!granted.ok()) {
        ++counters.failedCalls;
        tryAgainLater();
        return;
    }
    lease = *granted;
    heldLease.validUntil = askedAt + options.timeToLive - options.margin;
    token = options.holder + "#" + std::to_string(epoch);
    store.compareAndSwap(options.key, 0, token, lease, guarded([](Impl& self, SwapResult result) { self.onSwapped(result); }));
}

void LeaseKeeper::Impl::onSwapped(SwapResult result)
{
    switch (result.outcome) {
    case SwapOutcome::Committed:
        takeUp(result.revision);
        return;
    case SwapOutcome::Unknown:
        ++counters.failedCalls;
        store.get(options.key, guarded([](Impl& self, const absl::StatusOr<StoredValue>& current) { self.onOwnWriteRead(current); }));
        return;
    case SwapOutcome::Conflict:
    case SwapOutcome::NotSent:
        tryAgainLater();
        return;
    }
}

void LeaseKeeper::Impl::onOwnWriteRead(const absl::StatusOr<StoredValue>& current)
{
    bool isOurs = current.ok() && current->revision != 0 && current->value == token;
    if (isOurs) {
        takeUp(current->revision);
        return;
    }
    tryAgainLater();
}

void LeaseKeeper::Impl::takeUp(StoreRevision revision)
{
    if (now() >= heldLease.validUntil) {
        tryAgainLater();
        return;
    }
    heldLease.fencing = revision.number;
    heldLease.acquiredAt = now();
    ++counters.acquired;
    callLater(options.renewEvery, &Impl::renew);
    callLater(heldLease.validUntil - now(), &Impl::expireWhenDue);
    setState(LeaseState::Held);
}

// A lease that ran out by this clock stays lost, even if the store still
// counts it: views and orders from before a freeze must not be acted on.
void LeaseKeeper::Impl::expireWhenDue()
{
    if (now() >= heldLease.validUntil) {
        drop();
        return;
    }
    callLater(heldLease.validUntil - now(), &Impl::expireWhenDue);
}

void LeaseKeeper::Impl::renew()
{
    if (now() >= heldLease.validUntil) {
        drop();
        return;
    }
    TimePoint askedAt = now();
    store.keepAlive(lease, guarded([askedAt](Impl& self, const absl::StatusOr<std::chrono::milliseconds>& left) { self.onRenewed(askedAt, left); }));
}

void LeaseKeeper::Impl::onRenewed(TimePoint askedAt, const absl::StatusOr<std::chrono::milliseconds>& left)
{
    if (now() >= heldLease.validUntil || absl::IsNotFound(left.status())) {
        drop();
        return;
    }
    if (!left.ok()) {
        ++counters.failedCalls;
        callLater(options.renewEvery / 4, &Impl::renew);
        return;
    }
    // The store's lease may live on while somebody has deleted the key.
    TimePoint until = askedAt + std::min(*left, options.timeToLive) - options.margin;
    store.get(options.key, guarded([until](Impl& self, const absl::StatusOr<StoredValue>& current) { self.onKeyConfirmed(until, current); }));
}

void LeaseKeeper::Impl::onKeyConfirmed(TimePoint until, const absl::StatusOr<StoredValue>& current)
{
    bool isAnothers = current.ok() && current->revision.number != heldLease.fencing;
    if (now() >= heldLease.validUntil || isAnothers) {
        drop();
        return;
    }
    if (!current.ok()) {
        ++counters.failedCalls;
        callLater(options.renewEvery / 4, &Impl::renew);
        return;
    }
    ++counters.renewed;
    heldLease.validUntil = std::max(heldLease.validUntil, until);
    callLater(options.renewEvery, &Impl::renew);
}

LeaseKeeper::LeaseKeeper(Store& store, Scheduler& scheduler, Random& random, LeaseKeeperOptions options)
    : m_impl(std::make_shared<Impl>(store, scheduler, random, std::move(options)))
{
}

LeaseKeeper::~LeaseKeeper()
{
    m_impl->changeCallback = nullptr;
}

void LeaseKeeper::start()
{
    if (m_impl->state == LeaseState::Idle)
        m_impl->beginAttempt();
}

void LeaseKeeper::stop()
{
    m_impl->endAttempt();
    m_impl->setState(LeaseState::Idle);
}

LeaseState LeaseKeeper::state() const
{
    return m_impl->state;
}

std::optional<HeldLease> LeaseKeeper::held(TimePoint now) const
{
    if (m_impl->state != LeaseState::Held || now >= m_impl->heldLease.validUntil)
        return std::nullopt;
    return m_impl->heldLease;
}

std::optional<HeldLease> LeaseKeeper::lastHeld() const
{
    if (m_impl->state != LeaseState::Held)
        return std::nullopt;
    return m_impl->heldLease;
}

const LeaseKeeperOptions& LeaseKeeper::options() const
{
    return m_impl->options;
}

void LeaseKeeper::dropAfterFreeze()
{
    m_impl->drop();
}

void LeaseKeeper::dropAsSuperseded()
{
    m_impl->drop();
}

void LeaseKeeper::onChange(std::function<void(LeaseState)> callback)
{
    m_impl->changeCallback = std::move(callback);
}

const LeaseCounters& LeaseKeeper::counters() const
{
    return m_impl->counters;
}

} // namespace catkinwing
