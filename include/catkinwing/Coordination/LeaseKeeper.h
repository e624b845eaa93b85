#pragma once

#include "catkinwing/Coordination/Store.h"
#include "catkinwing/Support/Random.h"
#include "catkinwing/Support/Scheduler.h"
#include <optional>

namespace catkinwing {

/// Where a candidate for a lease stands.
enum class LeaseState {
    /// Not a candidate.
    Idle,
    /// Trying, or waiting for the present holder's lease to lapse.
    Acquiring,
    Held,
    /// Was held and no longer is; a new attempt follows by itself.
    Lost,
};

/// Settings of one candidate.
struct LeaseKeeperOptions {
    /// Key that names the lease; it exists while someone holds it.
    std::string key;
    /// Names the candidate; must differ between incarnations of a process.
    std::string holder;
    std::chrono::milliseconds timeToLive { 10'000 };
    /// The holder stops to act this much before the store's count ends.
    std::chrono::milliseconds margin { 2'000 };
    std::chrono::milliseconds renewEvery { 2'500 };
    /// Pause between attempts; spread by half of itself at random.
    std::chrono::milliseconds retryEvery { 3'000 };
};

/// A lease as its holder may rely on it.
struct HeldLease {
    /// Grows from holder to holder: the revision at which the key was made.
    std::int64_t fencing { 0 };
    /// When the holder knew that it had it.
    TimePoint acquiredAt {};
    /// The holder must not act from here on, unless renewed.
    TimePoint validUntil {};
};

/// Counts since the start of the process.
struct LeaseCounters {
    std::uint64_t acquired { 0 };
    std::uint64_t renewed { 0 };
    std::uint64_t lost { 0 };
    std::uint64_t failedCalls { 0 };
};

/// Holds one named lease: elected by compare-and-swap on a key that is bound to
/// a lease of the store. What counts is held(now), which reads the clock and
/// not the timers, so a holder that was frozen finds its lease gone before
/// any timer has run.
class LeaseKeeper {
public:
    /// \p store, \p scheduler and \p random must outlive the keeper.
    LeaseKeeper(Store& store, Scheduler& scheduler, Random& random, LeaseKeeperOptions options);
    ~LeaseKeeper();
    LeaseKeeper(const LeaseKeeper&) = delete;
    LeaseKeeper& operator=(const LeaseKeeper&) = delete;

    /// Becomes a candidate, until stop().
    void start();
    /// Gives the lease back and stops being a candidate.
    void stop();

    LeaseState state() const;
    /// Tells whether the holder may act at \p now.
    bool isHeld(TimePoint now) const { return held(now).has_value(); }
    /// Returns the lease if the holder may act at \p now.
    std::optional<HeldLease> held(TimePoint now) const;
    /// Returns the lease without regard to the time, for a decision that checks
    /// validUntil itself.
    std::optional<HeldLease> lastHeld() const;
    const LeaseKeeperOptions& options() const;

    /// Drops the lease because the process was frozen; one that is acquired
    /// later has a new fencing number.
    void dropAfterFreeze();
    /// Drops the lease because a higher fencing number was seen.
    void dropAsSuperseded();

    /// Calls \p callback after each change of state.
    void onChange(std::function<void(LeaseState)> callback);
    const LeaseCounters& counters() const;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace catkinwing
