#include "catkinwing/Standin/StoreState.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <cassert>

namespace catkinwing::standin {

// The messages are those of the published interface, which clients may match.
constexpr const char* emptyKeyMessage = "etcdserver: key is not provided";
constexpr const char* duplicateKeyMessage = "etcdserver: duplicate key given in txn request";
constexpr const char* tooLargeMessage = "etcdserver: request is too large";
constexpr const char* tooManyOperationsMessage = "etcdserver: too many operations in txn request";
constexpr const char* leaseNotFoundMessage = "etcdserver: requested lease not found";
constexpr const char* leaseExistsMessage = "etcdserver: lease already exists";
constexpr const char* compactedMessage = "etcdserver: mvcc: required revision has been compacted";
constexpr const char* futureRevisionMessage = "etcdserver: mvcc: required revision is a future revision";
constexpr std::size_t maxOperations = 128;
constexpr std::int64_t firstLease = 7'587'862'094'000'000'000;

static bool isWholeTail(const KeyRange& range)
{
    return range.end.size() == 1 && range.end[0] == '\0';
}

bool KeyRange::contains(const std::string& candidate) const
{
    if (end.empty())
        return candidate == key;
    return candidate >= key && (isWholeTail(*this) || candidate < end);
}

absl::StatusOr<TransactionResult> StoreState::run(const TransactionRequest& request)
{
    if (request.comparisons.size() > maxOperations)
        return absl::InvalidArgumentError(tooManyOperationsMessage);
    for (const Comparison& comparison : request.comparisons) {
        if (comparison.key.empty())
            return absl::InvalidArgumentError(emptyKeyMessage);
    }
    if (absl::Status status = check(request.success); !status.ok())
        return status;
    if (absl::Status status = check(request.failure); !status.ok())
        return status;
    TransactionResult result;
    result.succeeded = std::all_of(request.comparisons.begin(), request.comparisons.end(),
        [this](const Comparison& comparison) { return holds(comparison); });
    const auto& operations = result.succeeded ? request.success : request.failure;
    for (const StoreOperation& operation : operations)
        result.results.push_back(std::visit([this](const auto& one) { return OperationResult(apply(one)); }, operation));
    commit();
    result.revision = m_revision;
    return result;
}

absl::Status StoreState::check(const std::vector<StoreOperation>& operations) const
{
    if (operations.size() > maxOperations)
        return absl::InvalidArgumentError(tooManyOperationsMessage);
    std::set<std::string> written;
    for (const StoreOperation& operation : operations) {
        if (const auto* range = std::get_if<RangeRequest>(&operation); range && range->range.key.empty())
            return absl::InvalidArgumentError(emptyKeyMessage);
        if (const auto* deletion = std::get_if<DeleteRequest>(&operation); deletion && deletion->range.key.empty())
            return absl::InvalidArgumentError(emptyKeyMessage);
        const auto* put = std::get_if<PutRequest>(&operation);
        if (!put)
            continue;
        if (absl::Status status = checkPut(*put); !status.ok())
            return status;
        if (!written.insert(put->key).second)
            return absl::InvalidArgumentError(duplicateKeyMessage);
    }
    for (const StoreOperation& operation : operations) {
        const auto* deletion = std::get_if<DeleteRequest>(&operation);
        if (!deletion)
            continue;
        auto isDeleted = [deletion](const std::string& key) { return deletion->range.contains(key); };
        if (std::any_of(written.begin(), written.end(), isDeleted))
            return absl::InvalidArgumentError(duplicateKeyMessage);
    }
    return absl::OkStatus();
}

absl::Status StoreState::checkPut(const PutRequest& put) const
{
    if (put.key.empty())
        return absl::InvalidArgumentError(emptyKeyMessage);
    if (put.value.size() > m_limits.maxValueBytes)
        return absl::InvalidArgumentError(tooLargeMessage);
    if (put.lease != 0 && m_leases.count(put.lease) == 0)
        return absl::NotFoundError(leaseNotFoundMessage);
    return absl::OkStatus();
}

template <typename Value>
static bool compares(const Value& actual, CompareResult result, const Value& wanted)
{
    switch (result) {
    case CompareResult::Equal:
        return actual == wanted;
    case CompareResult::Greater:
        return actual > wanted;
    case CompareResult::Less:
        return actual < wanted;
    case CompareResult::NotEqual:
        break;
    }
    return actual != wanted;
}

bool StoreState::holds(const Comparison& comparison) const
{
    auto found = m_values.find(comparison.key);
    // The published interface lets no comparison of the value of an absent key hold.
    if (comparison.target == CompareTarget::Value && found == m_values.end())
        return false;
    const KeyValue absent;
    const KeyValue& value = found == m_values.end() ? absent : found->second;
    switch (comparison.target) {
    case CompareTarget::Version:
        return compares(value.version, comparison.result, comparison.number);
    case CompareTarget::CreateRevision:
        return compares(value.createRevision, comparison.result, comparison.number);
    case CompareTarget::ModRevision:
        return compares(value.modRevision, comparison.result, comparison.number);
    case CompareTarget::Lease:
        return compares(value.lease, comparison.result, comparison.number);
    case CompareTarget::Value:
        break;
    }
    return compares(value.value, comparison.result, comparison.value);
}

std::vector<std::string> StoreState::keysIn(const KeyRange& range) const
{
    std::vector<std::string> keys;
    for (auto entry = m_values.lower_bound(range.key); entry != m_values.end(); ++entry) {
        if (!range.contains(entry->first))
            break;
        keys.push_back(entry->first);
    }
    return keys;
}

RangeResult StoreState::apply(const RangeRequest& range) const
{
    RangeResult result;
    for (const std::string& key : keysIn(range.range)) {
        ++result.count;
        if (range.countOnly)
            continue;
        if (range.limit > 0 && result.count > range.limit) {
            result.more = true;
            continue;
        }
        result.values.push_back(m_values.at(key));
        if (range.keysOnly)
            result.values.back().value.clear();
    }
    return result;
}

PutResult StoreState::apply(const PutRequest& put)
{
    std::int64_t revision = m_revision + 1;
    PutResult result;
    KeyEvent event;
    auto found = m_values.find(put.key);
    if (found != m_values.end()) {
        event.previous = found->second;
        detach(found->second);
        if (put.returnPrevious)
            result.previous = found->second;
    }
    KeyValue& value = m_values[put.key];
    value.key = put.key;
    value.value = put.value;
    value.createRevision = event.previous ? value.createRevision : revision;
    value.modRevision = revision;
    ++value.version;
    value.lease = put.lease;
    if (put.lease != 0)
        m_leases.at(put.lease).keys.insert(put.key);
    event.current = value;
    m_uncommitted.push_back(std::move(event));
    return result;
}

DeleteResult StoreState::apply(const DeleteRequest& deletion)
{
    DeleteResult result;
    for (const std::string& key : keysIn(deletion.range)) {
        KeyValue previous = erase(key);
        ++result.deleted;
        if (deletion.returnPrevious)
            result.previous.push_back(std::move(previous));
    }
    return result;
}

KeyValue StoreState::erase(const std::string& key)
{
    auto found = m_values.find(key);
    assert(found != m_values.end() && "only a key that exists is erased");
    KeyValue previous = found->second;
    detach(previous);
    m_values.erase(found);
    KeyEvent event;
    event.isDeletion = true;
    event.current.key = key;
    event.current.modRevision = m_revision + 1;
    event.previous = previous;
    m_uncommitted.push_back(std::move(event));
    return previous;
}

void StoreState::detach(const KeyValue& value)
{
    auto lease = m_leases.find(value.lease);
    if (lease != m_leases.end())
        lease->second.keys.erase(value.key);
}

void StoreState::commit()
{
    if (m_uncommitted.empty())
        return;
    HistoryEntry entry { ++m_revision, std::move(m_uncommitted) };
    m_uncommitted.clear();
    m_history.push_back(entry);
    if (m_history.size() > m_limits.maxHistory) {
        m_history.pop_front();
        m_compacted = m_history.front().revision;
    }
    // A sink may cancel any watch.
    std::vector<WatchId> ids;
    for (const auto& watch : m_watches)
        ids.push_back(watch.first);
    for (WatchId id : ids) {
        auto found = m_watches.find(id);
        if (found == m_watches.end())
            continue;
        Watch watch = found->second;
        deliver(watch, entry);
    }
}

void StoreState::deliver(const Watch& watch, const HistoryEntry& entry) const
{
    if (entry.revision < watch.firstRevision)
        return;
    std::vector<KeyEvent> events;
    std::copy_if(entry.events.begin(), entry.events.end(), std::back_inserter(events),
        [&watch](const KeyEvent& event) { return watch.range.contains(event.current.key); });
    if (!events.empty())
        watch.sink(entry.revision, events);
}

absl::Status StoreState::compact(std::int64_t revision)
{
    if (revision <= m_compacted)
        return absl::OutOfRangeError(compactedMessage);
    if (revision > m_revision)
        return absl::OutOfRangeError(futureRevisionMessage);
    m_compacted = revision;
    while (!m_history.empty() && m_history.front().revision < revision)
        m_history.pop_front();
    return absl::OkStatus();
}

absl::StatusOr<std::int64_t> StoreState::grantLease(std::int64_t wanted, std::chrono::seconds timeToLive, TimePoint now)
{
    if (timeToLive <= std::chrono::seconds::zero())
        return absl::InvalidArgumentError("etcdserver: lease TTL is not positive");
    if (wanted != 0 && m_leases.count(wanted) != 0)
        return absl::FailedPreconditionError(leaseExistsMessage);
    std::int64_t id = wanted != 0 ? wanted : firstLease + ++m_lastLease;
    m_leases[id] = Lease { timeToLive, now + timeToLive, {} };
    return id;
}

absl::StatusOr<std::chrono::seconds> StoreState::keepAlive(std::int64_t lease, TimePoint now)
{
    auto found = m_leases.find(lease);
    if (found == m_leases.end() || found->second.expiry <= now)
        return absl::NotFoundError(leaseNotFoundMessage);
    found->second.expiry = now + found->second.granted;
    return found->second.granted;
}

absl::Status StoreState::revokeLease(std::int64_t lease)
{
    auto found = m_leases.find(lease);
    if (found == m_leases.end())
        return absl::NotFoundError(leaseNotFoundMessage);
    std::set<std::string> keys = std::move(found->second.keys);
    m_leases.erase(found);
    for (const std::string& key : keys)
        erase(key);
    commit();
    return absl::OkStatus();
}

absl::StatusOr<LeaseStatus> StoreState::leaseStatus(std::int64_t lease, TimePoint now) const
{
    auto found = m_leases.find(lease);
    if (found == m_leases.end() || found->second.expiry <= now)
        return absl::NotFoundError(leaseNotFoundMessage);
    LeaseStatus status;
    status.granted = found->second.granted;
    status.left = std::chrono::duration_cast<std::chrono::seconds>(found->second.expiry - now);
    status.keys.assign(found->second.keys.begin(), found->second.keys.end());
    return status;
}

void StoreState::expireLeases(TimePoint now)
{
    std::vector<std::int64_t> lapsed;
    for (const auto& lease : m_leases) {
        if (lease.second.expiry <= now)
            lapsed.push_back(lease.first);
    }
    for (std::int64_t lease : lapsed) {
        absl::Status revoked = revokeLease(lease);
        assert(revoked.ok() && "a lapsed lease exists until it is revoked");
    }
}

std::optional<TimePoint> StoreState::nextExpiry() const
{
    std::optional<TimePoint> next;
    for (const auto& lease : m_leases) {
        if (!next || lease.second.expiry < *next)
            next = lease.second.expiry;
    }
    return next;
}

absl::StatusOr<WatchId> StoreState::watch(KeyRange range, std::int64_t startRevision, WatchSink sink)
{
    if (startRevision != 0 && startRevision < m_compacted)
        return absl::OutOfRangeError(compactedMessage);
    WatchId id = ++m_lastWatch;
    Watch watch { std::move(range), startRevision, std::move(sink) };
    m_watches[id] = watch;
    if (startRevision == 0)
        return id;
    // A copy, since a sink may come back into this object.
    std::deque<HistoryEntry> past = m_history;
    for (const HistoryEntry& entry : past)
        deliver(watch, entry);
    return id;
}

void StoreState::cancelWatch(WatchId watch)
{
    m_watches.erase(watch);
}

StoreState::Copy StoreState::takeCopy(TimePoint now) const
{
    Copy copy;
    copy.m_values = m_values;
    copy.m_leases = m_leases;
    copy.m_revision = m_revision;
    copy.m_lastLease = m_lastLease;
    copy.m_takenAt = now;
    return copy;
}

void StoreState::restore(const Copy& copy, TimePoint now)
{
    m_values = copy.m_values;
    m_leases = copy.m_leases;
    for (auto& lease : m_leases)
        lease.second.expiry += now - copy.m_takenAt;
    m_revision = copy.m_revision;
    m_lastLease = copy.m_lastLease;
    m_history.clear();
    m_compacted = m_revision + 1;
}

} // namespace catkinwing::standin
