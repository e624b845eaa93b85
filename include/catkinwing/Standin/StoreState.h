#pragma once

#include "catkinwing/Support/Clock.h"
#include <absl/status/statusor.h>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace catkinwing::standin {

/// A key with its value and the revisions that etcd keeps of it.
struct KeyValue {
    std::string key;
    std::string value;
    std::int64_t createRevision { 0 };
    std::int64_t modRevision { 0 };
    std::int64_t version { 0 };
    std::int64_t lease { 0 };
};

/// A range of keys as etcd names it: an empty end is the one key, an end of
/// one zero byte is every key from the first on.
struct KeyRange {
    std::string key;
    std::string end;

    bool contains(const std::string& candidate) const;
};

/// Reads keys as they are now.
struct RangeRequest {
    KeyRange range;
    /// Zero is no limit.
    std::int64_t limit { 0 };
    bool keysOnly { false };
    bool countOnly { false };
};

/// Writes one key.
struct PutRequest {
    std::string key;
    std::string value;
    std::int64_t lease { 0 };
    bool returnPrevious { false };
};

/// Deletes keys.
struct DeleteRequest {
    KeyRange range;
    bool returnPrevious { false };
};

/// One operation of a transaction.
using StoreOperation = std::variant<RangeRequest, PutRequest, DeleteRequest>;

/// What a comparison looks at.
enum class CompareTarget { Version,
    CreateRevision,
    ModRevision,
    Value,
    Lease };

/// How a comparison must turn out.
enum class CompareResult { Equal,
    Greater,
    Less,
    NotEqual };

/// A condition of a transaction; an absent key has zero for every number.
struct Comparison {
    std::string key;
    CompareTarget target { CompareTarget::Version };
    CompareResult result { CompareResult::Equal };
    std::int64_t number { 0 };
    std::string value;
};

/// Runs one list of operations or the other, at one revision.
struct TransactionRequest {
    std::vector<Comparison> comparisons;
    std::vector<StoreOperation> success;
    std::vector<StoreOperation> failure;
};

/// Result of a range.
struct RangeResult {
    std::vector<KeyValue> values;
    /// Number of keys in the range, beyond the limit too.
    std::int64_t count { 0 };
    bool more { false };
};

/// Result of a put.
struct PutResult {
    std::optional<KeyValue> previous;
};

/// Result of a deletion.
struct DeleteResult {
    std::int64_t deleted { 0 };
    std::vector<KeyValue> previous;
};

/// Result of one operation.
using OperationResult = std::variant<RangeResult, PutResult, DeleteResult>;

/// Result of a transaction.
struct TransactionResult {
    bool succeeded { false };
    std::vector<OperationResult> results;
    /// Revision of the store afterwards.
    std::int64_t revision { 0 };
};

/// A change of one key; a deletion has only the key and its mod revision.
struct KeyEvent {
    bool isDeletion { false };
    KeyValue current;
    std::optional<KeyValue> previous;
};

/// What is left of a lease.
struct LeaseStatus {
    std::chrono::seconds granted {};
    std::chrono::seconds left {};
    std::vector<std::string> keys;
};

/// Limits of the store.
struct StoreLimits {
    std::size_t maxValueBytes { 1u << 20 };
    /// Revisions kept for watches; older ones are compacted.
    std::size_t maxHistory { 10'000 };
};

/// Names a watch; never zero.
using WatchId = std::int64_t;
/// Gets the events of one revision that lie in the watched range.
using WatchSink = std::function<void(std::int64_t revision, const std::vector<KeyEvent>& events)>;

/// Keys, leases and watches as the published etcd v3 interface has them.
/// Errors carry the status codes that etcd gives.
class StoreState {
private:
    struct Lease {
        std::chrono::seconds granted {};
        TimePoint expiry;
        std::set<std::string> keys;
    };

public:
    /// Keys, leases and counters at one moment.
    class Copy {
    private:
        friend class StoreState;
        std::map<std::string, KeyValue> m_values;
        std::map<std::int64_t, Lease> m_leases;
        std::int64_t m_revision { 0 };
        std::int64_t m_lastLease { 0 };
        TimePoint m_takenAt;
    };

    explicit StoreState(StoreLimits limits = {})
        : m_limits(limits)
    {
    }

    std::int64_t revision() const { return m_revision; }
    /// Revisions before this one are compacted.
    std::int64_t compactedRevision() const { return m_compacted; }

    /// Runs a transaction; nothing is written unless all of it can be.
    absl::StatusOr<TransactionResult> run(const TransactionRequest& request);
    /// Forgets the history before \p revision.
    absl::Status compact(std::int64_t revision);

    /// Grants a lease from \p now; zero as \p wanted picks an id.
    absl::StatusOr<std::int64_t> grantLease(std::int64_t wanted, std::chrono::seconds timeToLive, TimePoint now);
    /// Renews a lease and returns its time to live; NotFound once it lapsed.
    absl::StatusOr<std::chrono::seconds> keepAlive(std::int64_t lease, TimePoint now);
    /// Ends a lease and deletes its keys.
    absl::Status revokeLease(std::int64_t lease);
    absl::StatusOr<LeaseStatus> leaseStatus(std::int64_t lease, TimePoint now) const;
    /// Ends the leases whose time has passed at \p now.
    void expireLeases(TimePoint now);
    /// Returns when the next lease lapses.
    std::optional<TimePoint> nextExpiry() const;

    /// Watches a range from \p startRevision on (zero: from now). Past events
    /// reach \p sink before this returns. OutOfRange if they are compacted.
    absl::StatusOr<WatchId> watch(KeyRange range, std::int64_t startRevision, WatchSink sink);
    void cancelWatch(WatchId watch);
    std::size_t watchCount() const { return m_watches.size(); }

    Copy takeCopy(TimePoint now) const;
    /// Takes over the keys, leases and counters of \p copy, without history.
    /// A lease has the time left that it had in the copy. Watches remain and
    /// are not told.
    void restore(const Copy& copy, TimePoint now);

private:
    struct Watch {
        KeyRange range;
        std::int64_t firstRevision { 0 };
        WatchSink sink;
    };
    struct HistoryEntry {
        std::int64_t revision { 0 };
        std::vector<KeyEvent> events;
    };

    absl::Status check(const std::vector<StoreOperation>& operations) const;
    absl::Status checkPut(const PutRequest& put) const;
    bool holds(const Comparison& comparison) const;
    RangeResult apply(const RangeRequest& range) const;
    PutResult apply(const PutRequest& put);
    DeleteResult apply(const DeleteRequest& deletion);
    KeyValue erase(const std::string& key);
    std::vector<std::string> keysIn(const KeyRange& range) const;
    void detach(const KeyValue& value);
    void commit();
    void deliver(const Watch& watch, const HistoryEntry& entry) const;

    StoreLimits m_limits;
    std::int64_t m_revision { 1 };
    std::int64_t m_compacted { 0 };
    std::map<std::string, KeyValue> m_values;
    std::map<std::int64_t, Lease> m_leases;
    std::int64_t m_lastLease { 0 };
    std::map<WatchId, Watch> m_watches;
    WatchId m_lastWatch { 0 };
    std::deque<HistoryEntry> m_history;
    /// Events of the revision being written.
    std::vector<KeyEvent> m_uncommitted;
};

} // namespace catkinwing::standin
