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
    /// The store deletes the key this long after the last renewal of the lease.
    std::chrono::milliseconds timeToLive { 4'000 };
    std::chrono::milliseconds renewInterval { 1'000 };
    /// First delay after a failure. Each further failure doubles it, up to maxRetryDelay.
    std::chrono::milliseconds firstRetryDelay { 400 };
    std::chrono::milliseconds maxRetryDelay { 1'600 };
};

/// Keeps a key in the store under a lease while this process runs. The class doesn't poll
/// whether the key still exists, since each check would cost a call to the store; the
/// caller, which watches the key, reports its deletion by recordKeyDeleted().
class EntryRegistration {
public:
    /// \p store and \p scheduler must outlive the registration.
    EntryRegistration(Store& store, Scheduler& scheduler, EntryRegistrationOptions options);
    ~EntryRegistration();
    EntryRegistration(const EntryRegistration&) = delete;
    EntryRegistration& operator=(const EntryRegistration&) = delete;

    /// Writes the key, and writes it again whenever the lease is lost, until stop().
    void start();
    /// Revokes the lease, which deletes the key.
    void stop();
    /// Registers again after the key was deleted, even if the lease is still valid.
    void recordKeyDeleted();
    bool isRegistered() const;
    const std::string& key() const;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace catkinwing
