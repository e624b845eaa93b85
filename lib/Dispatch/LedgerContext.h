#pragma once

#include "LedgerFaults.h"
#include "catkinwing/Dispatch/IdempotencyLedger.h"
#include <absl/container/flat_hash_set.h>
#include <deque>

namespace catkinwing {

/// The claims of this incarnation under which nothing was run and nothing will
/// be, though the store may hold them; the oldest are forgotten first.
class ReleasedClaims {
public:
    explicit ReleasedClaims(std::size_t maxClaims)
        : m_maxClaims(maxClaims)
    {
    }

    void add(const ClaimId& id);
    bool contains(const ClaimId& id) const { return m_ids.contains(id); }

private:
    std::size_t m_maxClaims;
    absl::flat_hash_set<ClaimId> m_ids;
    std::deque<ClaimId> m_order;
};

/// What the shards of a ledger share.
struct LedgerContext {
    Store& store;
    Scheduler& scheduler;
    LedgerOptions options;
    LedgerFaults faults;
    LedgerCounters counters;
    ReleasedClaims released;
    /// Until then the store is taken to be unreachable.
    TimePoint storeRetryAt {};

    TimePoint now() const { return scheduler.clock().now(); }
    bool isStoreDown() const { return now() < storeRetryAt; }
    void noteStoreFailure() { storeRetryAt = now() + options.storeRetryInterval; }
};

} // namespace catkinwing
