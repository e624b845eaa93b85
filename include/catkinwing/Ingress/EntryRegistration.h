#pragma once

#include "catkinwing/Coordination/Store.h"
#include "catkinwing/Support/Scheduler.h"
#include <functional>
#include <memory>
#include <string>

namespace catkinwing {

/// Settings of a registration.
struct EntryRegistrationOptions {
    std::string key;
    std::string value;
    /// The key vanishes this long after the last renewal.
    std::chrono::milliseconds timeToLive { 4'000 };
    std::chrono::milliseconds renewEvery { 1'000 };
    /// First pause after a failure; doubled up to the longest.
    std::chrono::milliseconds retryEvery { 400 };
    std::chrono::milliseconds longestRetry { 1'600 };
};

/// Keeps one key in the store for as long as this process lives. Whether the
/// key is still there is not asked, since that costs a call each time: whoever
/// watches it tells by noteVanished().
class EntryRegistration {
public:
    /// \p store and \p scheduler must outlive the registration.
    EntryRegistration(Store& store, Scheduler& scheduler, EntryRegistrationOptions options);
    ~EntryRegistration();
    EntryRegistration(const EntryRegistration&) = delete;
    EntryRegistration& operator=(const EntryRegistration&) = delete;

    /// Registers, and again whenever the lease is lost, until stop().
    void start();
    /// Takes the key back.
    void stop();
    /// The key is gone although the lease may live on.
    void noteVanished();
    bool isRegistered() const;
    const std::string& key() const;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace catkinwing
