#include "catkinwing/Ingress/EntryRegistration.h"

#include "catkinwing/Support/Logging.h"
#include <algorithm>

namespace catkinwing {

struct EntryRegistration::Impl : std::enable_shared_from_this<Impl> {
    Impl(Store& givenStore, Scheduler& givenScheduler, EntryRegistrationOptions givenOptions)
        : store(givenStore)
        , scheduler(givenScheduler)
        , options(std::move(givenOptions))
    {
    }

    // Wraps a callback so that it does nothing after its registration attempt has ended.
    template <typename Function>
    auto ifCurrent(Function function)
    {
        return [weak = weak_from_this(), epoch = epoch, function](const auto&... arguments) {
            auto self = weak.lock();
            if (self && self->epoch == epoch)
                function(*self, arguments...);
        };
    }

    void requestLease();
    void onGranted(const absl::StatusOr<StoreLease>& granted);
    void write(const StoredValue& current);
    void onWritten(SwapResult result);
    void readOwnKey();
    void onRead(const absl::StatusOr<StoredValue>& current);
    void startRenewing();
    void renew();
    void onRenewed(const absl::StatusOr<std::chrono::milliseconds>& left);
    void restart(const char* reason);
    void loseRegistration(const char* reason);
    void forgetLease();
    void revokeLease();
    void scheduleRequest();
    std::chrono::milliseconds nextRetryDelay()
    {
        std::chrono::milliseconds delay = retryDelay;
        retryDelay = std::min(retryDelay * 2, options.maxRetryDelay);
        return delay;
    }

    Store& store;
    Scheduler& scheduler;
    EntryRegistrationOptions options;
    /// Number of the current registration attempt. Callbacks of earlier attempts do nothing.
    std::uint64_t epoch { 0 };
    StoreLease lease {};
    /// Whether the key was read since the lease was granted.
    bool hasReadKey { false };
    std::chrono::milliseconds retryDelay { options.firstRetryDelay };
    bool isRunning { false };
    bool isRegistered { false };
};

void EntryRegistration::Impl::requestLease()
{
    ++epoch;
    store.grantLease(options.timeToLive, ifCurrent([](Impl& self, const absl::StatusOr<StoreLease>& granted) { self.onGranted(granted); }));
}

void EntryRegistration::Impl::onGranted(const absl::StatusOr<StoreLease>& granted)
{
    if (!granted.ok()) {
        restart("lease not granted");
        return;
    }
    lease = *granted;
    hasReadKey = false;
    write({});
}

void EntryRegistration::Impl::write(const StoredValue& current)
{
    store.compareAndSwap(options.key, current.revision, options.value, lease, ifCurrent([](Impl& self, SwapResult result) { self.onWritten(result); }));
}

void EntryRegistration::Impl::readOwnKey()
{
    hasReadKey = true;
    store.get(options.key, ifCurrent([](Impl& self, const absl::StatusOr<StoredValue>& current) { self.onRead(current); }));
}

// A write whose response was lost may have been applied, or may be applied later. If the key
// isn't found, the registration starts over and revokes the lease. The store refuses a late
// write under a revoked lease. A conflict shows a key of this process under an earlier lease,
// such as after the store has come back from a copy.
void EntryRegistration::Impl::onWritten(SwapResult result)
{
    switch (result.outcome) {
    case SwapOutcome::Committed:
        startRenewing();
        return;
    case SwapOutcome::Unknown:
        readOwnKey();
        return;
    case SwapOutcome::Conflict:
        if (hasReadKey)
            restart("key not written");
        else
            readOwnKey();
        return;
    case SwapOutcome::NotSent:
        restart("key not written");
        return;
    }
}

void EntryRegistration::Impl::onRead(const absl::StatusOr<StoredValue>& current)
{
    bool isPresent = current.ok() && current->revision.number != 0;
    if (isPresent && current->lease == lease)
        startRenewing();
    else if (isPresent && current->value == options.value)
        write(*current);
    else
        restart("key not found");
}

void EntryRegistration::Impl::startRenewing()
{
    isRegistered = true;
    retryDelay = options.firstRetryDelay;
    logChange(LogLevel::Info, "entry_registered", { { "key", options.key } });
    scheduler.callAfter(options.renewInterval, ifCurrent([](Impl& self) { self.renew(); }));
}

void EntryRegistration::Impl::renew()
{
    store.keepAlive(lease, ifCurrent([](Impl& self, const absl::StatusOr<std::chrono::milliseconds>& left) { self.onRenewed(left); }));
}

void EntryRegistration::Impl::onRenewed(const absl::StatusOr<std::chrono::milliseconds>& left)
{
    if (absl::IsNotFound(left.status())) {
        // The store responded, so the registration needs no longer delay.
        retryDelay = options.firstRetryDelay;
        loseRegistration("lease expired");
        return;
    }
    if (left.ok())
        retryDelay = options.firstRetryDelay;
    scheduler.callAfter(left.ok() ? options.renewInterval : nextRetryDelay(), ifCurrent([](Impl& self) { self.renew(); }));
}

void EntryRegistration::Impl::forgetLease()
{
    ++epoch;
    lease = {};
    isRegistered = false;
}

void EntryRegistration::Impl::revokeLease()
{
    if (lease.number != 0)
        store.revokeLease(lease, [](const absl::Status&) {});
    forgetLease();
}

void EntryRegistration::Impl::scheduleRequest()
{
    scheduler.callAfter(nextRetryDelay(), ifCurrent([](Impl& self) { self.requestLease(); }));
}

// Revokes the lease, so that a write whose response was lost isn't applied later.
void EntryRegistration::Impl::restart(const char* reason)
{
    if (isRegistered)
        logChange(LogLevel::Warning, "entry_registration_lost", { { "key", options.key }, { "reason", reason } });
    revokeLease();
    scheduleRequest();
}

// The lease has ended, or lapses with no key. It isn't revoked, since its number may have been
// given out again.
void EntryRegistration::Impl::loseRegistration(const char* reason)
{
    logChange(LogLevel::Warning, "entry_registration_lost", { { "key", options.key }, { "reason", reason } });
    forgetLease();
    scheduleRequest();
}

EntryRegistration::EntryRegistration(Store& store, Scheduler& scheduler, EntryRegistrationOptions options)
    : m_impl(std::make_shared<Impl>(store, scheduler, std::move(options)))
{
}

EntryRegistration::~EntryRegistration() = default;

void EntryRegistration::start()
{
    if (m_impl->isRunning)
        return;
    m_impl->isRunning = true;
    m_impl->requestLease();
}

void EntryRegistration::stop()
{
    m_impl->isRunning = false;
    m_impl->revokeLease();
}

void EntryRegistration::recordKeyDeleted()
{
    if (m_impl->isRegistered)
        m_impl->loseRegistration("key deleted");
}

bool EntryRegistration::isRegistered() const
{
    return m_impl->isRegistered;
}

const std::string& EntryRegistration::key() const
{
    return m_impl->options.key;
}

} // namespace catkinwing
