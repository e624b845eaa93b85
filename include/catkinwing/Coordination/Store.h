#pragma once

#include "catkinwing/Support/StoreRevision.h"
#include <absl/status/statusor.h>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace catkinwing {

/// One key of the store with its value.
struct StoredValue {
    std::string key;
    std::string value;
    /// Position at which the key was last written; number zero if the key is absent.
    StoreRevision revision {};
    /// Lease that the key is deleted with; a store that doesn't state it gives none.
    StoreLease lease {};
};

/// What became of a compare-and-swap.
enum class SwapOutcome {
    Committed,
    /// The key was at another revision; nothing was written.
    Conflict,
    /// The write certainly did not and will not take effect: no byte of it
    /// left, or the store refused it.
    NotSent,
    /// The answer was lost; the write may have taken effect.
    Unknown,
};

/// Result of a compare-and-swap.
struct SwapResult {
    SwapOutcome outcome { SwapOutcome::Unknown };
    /// The new revision if committed, else zero.
    StoreRevision revision { 0 };
};

/// Result of listing a prefix.
struct StoreListing {
    std::vector<StoredValue> values;
    /// Revision of the whole store as of which the listing holds.
    StoreRevision revision { 0 };
    /// Another entry told it in the store's place, which may say otherwise by now.
    bool isSecondHand { false };
};

/// A change seen by a watch; the value is empty if the key was deleted.
struct StoreEvent {
    bool isDeletion { false };
    StoredValue current;
};

/// Keeps a watch alive; dropping it ends the watch.
class StoreWatch {
public:
    virtual ~StoreWatch() = default;
};

/// What a watch tells its owner.
struct StoreWatchCallbacks {
    std::function<void(const std::vector<StoreEvent>&)> onEvents;
    /// The watch ended, for instance because the connection was lost; called
    /// once. OutOfRange if its first revision was compacted away or belongs to an
    /// earlier era of the store, or if the changes since are too many to be told: a listing
    /// has to tell then.
    std::function<void(const absl::Status&)> onEnd;
    /// The store has answered: all that had changed by now has been told. A
    /// store that only pushes changes doesn't tell.
    std::function<void()> onCurrent {};
};

/// The platform's key-value service. All callbacks run later, on the loop;
/// Unavailable means that no answer came.
class Store {
public:
    using GetCallback = std::function<void(absl::StatusOr<StoredValue>)>;
    using ListCallback = std::function<void(absl::StatusOr<StoreListing>)>;
    using SwapCallback = std::function<void(SwapResult)>;
    using LeaseCallback = std::function<void(absl::StatusOr<StoreLease>)>;
    /// Gets the time to live that is left, on the store's count.
    using KeepAliveCallback = std::function<void(absl::StatusOr<std::chrono::milliseconds>)>;
    using DoneCallback = std::function<void(absl::Status)>;

    virtual ~Store() = default;
    /// Reads one key; an absent one has revision zero.
    virtual void get(const std::string& key, GetCallback done) = 0;
    /// Reads every key that begins with \p prefix.
    virtual void list(const std::string& prefix, ListCallback done) = 0;
    /// Writes \p value if the key is still at \p expected (zero: absent).
    virtual void compareAndSwap(const std::string& key, StoreRevision expected, const std::string& value, StoreLease lease, SwapCallback done) = 0;
    /// Deletes the key if it is still at \p expected, which must not be zero.
    virtual void compareAndDelete(const std::string& key, StoreRevision expected, SwapCallback done) = 0;
    /// Watches every key that begins with \p prefix from \p firstRevision on.
    virtual std::unique_ptr<StoreWatch> watch(const std::string& prefix, StoreRevision firstRevision, StoreWatchCallbacks callbacks) = 0;
    virtual void grantLease(std::chrono::milliseconds timeToLive, LeaseCallback done) = 0;
    /// Renews a lease; NotFound if it has lapsed, or belongs to an earlier era, in which
    /// case its number may name another lease.
    virtual void keepAlive(StoreLease lease, KeepAliveCallback done) = 0;
    /// Ends a lease. Does nothing for one of an earlier era.
    virtual void revokeLease(StoreLease lease, DoneCallback done) = 0;
    /// Sets the function that is called, later, when an answer to any call shows a new era. A
    /// store without eras never calls it.
    virtual void setEraCallback(const std::function<void()>&) { }
};

} // namespace catkinwing
