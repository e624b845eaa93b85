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
    void onWritten(SwapResult result);
    void onRead(const absl::StatusOr<StoredValue>& current);
    void startRenewing();
    void renew();
    void onRenewed(const absl::StatusOr<std::chrono::milliseconds>& left);
    void restart(const char* reason);
    void dropLease();
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
    StoreLease lease { 0 };
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
    store.compareAndSwap(options.key, 0, options.value, lease, ifCurrent([](Impl& self, SwapResult result) { self.onWritten(result); }));
}

// A write whose response was lost may have been applied, or may be applied later. If the key
// isn't found, the registration starts over and revokes the lease. The store refuses a late
// write under a revoked lease.
void EntryRegistration::Impl::onWritten(SwapResult result)
{
    switch (result.outcome) {
    case SwapOutcome::Committed:
        startRenewing();
        return;
    case SwapOutcome::Unknown:
        store.get(options.key, ifCurrent([](Impl& self, const absl::StatusOr<StoredValue>& current) { self.onRead(current); }));
        return;
    case SwapOutcome::Conflict:
    case SwapOutcome::NotSent:
        restart("key not written");
        return;
    }
}

void EntryRegistration::Impl::onRead(const absl::StatusOr<StoredValue>& current)
{
    if (current.ok() && current->revision != 0)
        startRenewing();
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
        restart("lease expired");
        return;
    }
    if (left.ok())
        retryDelay = options.firstRetryDelay;
    scheduler.callAfter(left.ok() ? options.renewInterval : nextRetryDelay(), ifCurrent([](Impl& self) { self.renew(); }));
}

void EntryRegistration::Impl::dropLease()
{
    ++epoch;
    if (lease != 0)
        store.revokeLease(lease, [](const absl::Status&) {});
    lease = 0;
    isRegistered = false;
}

void EntryRegistration::Impl::restart(const char* reason)
{
    if (isRegistered)
        logChange(LogLevel::Warning, "entry_registration_lost", { { "key", options.key }, { "reason", reason } });
    dropLease();
    scheduler.callAfter(nextRetryDelay(), ifCurrent([](Impl& self) { self.requestLease(); }));
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
    m_impl->dropLease();
}

void EntryRegistration::recordKeyDeleted()
{
    if (m_impl->isRegistered)
        m_impl->restart("key deleted");
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
