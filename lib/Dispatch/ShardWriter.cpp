#include "ShardWriter.h"

#include <absl/container/flat_hash_set.h>
#include <algorithm>

namespace catkinwing {

// How a lost answer is settled. A claim keeps its id through every attempt to
// record it, and its own presence in the shard, however it got there, is the
// proof that it was won. After an unknown swap the shard is read again: either
// the claim is there, or it is tried again. If the lost write is still under
// way, it and the next one expect the same revision, so at most one of them
// commits, and both carry the claim; if the shard has moved on, the lost write
// can't commit any more. A claim that is given up in between may still be
// recorded later. That does no harm, since only its claimant could run it, and
// the claimant has released it.

void ReleasedClaims::add(const ClaimId& id)
{
    if (!m_ids.insert(id).second)
        return;
    m_order.push_back(id);
    if (m_order.size() <= m_maxClaims)
        return;
    m_ids.erase(m_order.front());
    m_order.pop_front();
}

void ShardWriter::submit(PendingClaim claim)
{
    if (m_context->faults.grantsBeforeSwap && isUnseen(claim.record.key))
        claim.done({ ClaimVerdict::Won, claim.record.id, false, {} }, true);
    std::weak_ptr<ShardWriter> weak = weak_from_this();
    m_context->scheduler.callAfter(claim.giveUpAt - m_context->now(), [weak] {
        if (auto self = weak.lock())
            self->settleOverdue();
    });
    m_queue.push_back(std::move(claim));
    schedule();
}

bool ShardWriter::isUnseen(const ClaimKey& key) const
{
    bool isQueued = std::any_of(m_queue.begin(), m_queue.end(), [&key](const PendingClaim& claim) { return claim.record.key == key; });
    return !isQueued && !(m_view && m_view->find(key));
}

bool ShardWriter::isSettledAtOnce(const PendingClaim& claim) const
{
    return m_context->isStoreDown() || (m_view && verdictFor(claim));
}

void ShardWriter::schedule()
{
    if (m_isBusy || m_queue.empty())
        return;
    TimePoint now = m_context->now();
    TimePoint due = isSettledAtOnce(m_queue.back()) ? now : std::max(now + m_context->options.batchDelay, m_nextSwapAt);
    if (m_timer != 0 && m_timerDue <= due)
        return;
    if (m_timer != 0)
        m_context->scheduler.cancel(m_timer);
    m_timerDue = due;
    std::weak_ptr<ShardWriter> weak = weak_from_this();
    m_timer = m_context->scheduler.callAfter(due - now, [weak] {
        if (auto self = weak.lock())
            self->step();
    });
}

void ShardWriter::step()
{
    m_timer = 0;
    settleOverdue();
    settleHeld();
    if (m_queue.empty() || m_isBusy)
        return;
    if (m_context->isStoreDown()) {
        refuseAll(m_context->options.storeRetryInterval);
        return;
    }
    // An early step settled what it could; the rest waits for its batch.
    if (m_context->now() < m_nextSwapAt) {
        schedule();
        return;
    }
    if (!m_view)
        load();
    else
        swap();
}

void ShardWriter::load()
{
    m_isBusy = true;
    ++m_context->counters.loads;
    std::weak_ptr<ShardWriter> weak = weak_from_this();
    m_context->store.list(shardPrefix(m_context->options.layout, m_shard), [weak](const absl::StatusOr<StoreListing>& listing) {
        if (auto self = weak.lock())
            self->finishLoad(listing);
    });
}

void ShardWriter::finishLoad(const absl::StatusOr<StoreListing>& listing)
{
    m_isBusy = false;
    settleOverdue();
    if (!listing.ok()) {
        m_context->noteStoreFailure();
        refuseAll(m_context->options.storeRetryInterval);
        return;
    }
    auto view = LedgerView::fromListing(m_context->options.layout, m_shard, *listing, m_context->now());
    if (!view.ok()) {
        ++m_context->counters.unreadableShards;
        m_context->noteStoreFailure();
        refuseAll(m_context->options.storeRetryInterval);
        return;
    }
    m_view = *std::move(view);
    swap();
}

bool ShardWriter::isReplaceable(const ClaimRecord& holder, const ClaimRecord& claim) const
{
    bool isSameClaimant = holder.id.incarnation == claim.id.incarnation && holder.id.entry == claim.id.entry;
    return isSameClaimant && holder.fingerprint == claim.fingerprint && m_context->released.contains(holder.id);
}

absl::optional<ClaimResult> ShardWriter::verdictFor(const PendingClaim& claim) const
{
    absl::optional<ClaimRecord> holder = m_view->find(claim.record.key);
    if (!holder)
        return absl::nullopt;
    if (holder->id == claim.record.id)
        return ClaimResult { ClaimVerdict::Won, holder->id, false, {} };
    if (isReplaceable(*holder, claim.record))
        return absl::nullopt;
    bool isOtherRequest = holder->fingerprint != claim.record.fingerprint;
    return ClaimResult { ClaimVerdict::AlreadyClaimed, holder->id, isOtherRequest, {} };
}

void ShardWriter::settle(const std::function<absl::optional<ClaimResult>(const PendingClaim&)>& judge)
{
    std::vector<Settled> settled;
    std::vector<PendingClaim> left;
    for (PendingClaim& claim : m_queue) {
        absl::optional<ClaimResult> result = judge(claim);
        if (result)
            settled.push_back({ std::move(claim), *result });
        else
            left.push_back(std::move(claim));
    }
    m_queue = std::move(left);
    // The queue is in order before any callback, which may submit more.
    for (const Settled& entry : settled)
        entry.claim.done(entry.result, entry.claim.mayLand || entry.claim.isInSwap);
}

void ShardWriter::settleOverdue()
{
    if (m_context->faults.ignoresClaimTimeout)
        return;
    TimePoint now = m_context->now();
    settle([now](const PendingClaim& claim) -> absl::optional<ClaimResult> {
        if (now < claim.giveUpAt)
            return absl::nullopt;
        return ClaimResult {};
    });
}

void ShardWriter::settleHeld()
{
    if (!m_view)
        return;
    settle([this](const PendingClaim& claim) { return verdictFor(claim); });
}

void ShardWriter::settleSwapped(ClaimVerdict verdict)
{
    settle([verdict](const PendingClaim& claim) -> absl::optional<ClaimResult> {
        if (!claim.isInSwap)
            return absl::nullopt;
        return ClaimResult { verdict, claim.record.id, false, {} };
    });
}

void ShardWriter::refuseAll(std::chrono::milliseconds retryAfter)
{
    settle([retryAfter](const PendingClaim&) -> absl::optional<ClaimResult> {
        ClaimResult result;
        result.retryAfter = retryAfter;
        return result;
    });
}

// Of several claims with one key the first goes ahead; the others stay in the
// queue and find it there.
std::vector<ClaimRecord> ShardWriter::nextBatch() const
{
    std::vector<ClaimRecord> batch;
    absl::flat_hash_set<ClaimKey> keys;
    for (const PendingClaim& claim : m_queue) {
        if (batch.size() >= m_context->options.maxClaimsPerSwap)
            break;
        if (keys.insert(claim.record.key).second)
            batch.push_back(claim.record);
    }
    return batch;
}

void ShardWriter::swap()
{
    settleHeld();
    if (m_queue.empty() || m_isBusy)
        return;
    std::vector<ClaimRecord> batch = nextBatch();
    absl::optional<LedgerSwap> planned = m_view->plan(batch, m_context->now(), m_context->faults);
    if (!planned) {
        refuseAll(m_view->timeUntilRoom(m_context->now()));
        return;
    }
    absl::flat_hash_set<ClaimId> ids;
    for (const ClaimRecord& claim : batch)
        ids.insert(claim.id);
    for (PendingClaim& claim : m_queue)
        claim.isInSwap = planned->addsClaims && ids.contains(claim.record.id);
    m_isBusy = true;
    m_nextSwapAt = m_context->now() + m_context->options.minSwapInterval;
    ++m_context->counters.swaps;
    std::string key = slotKey(m_context->options.layout, m_shard, planned->slot);
    std::string value = encodeGeneration(planned->generation, m_context->options.layout.slots);
    StoreRevision expected = planned->expected;
    std::weak_ptr<ShardWriter> weak = weak_from_this();
    m_context->store.compareAndSwap(key, expected, value, 0, [weak, planned = *std::move(planned)](SwapResult result) mutable {
        if (auto self = weak.lock())
            self->finishSwap(std::move(planned), result);
    });
}

void ShardWriter::finishSwap(LedgerSwap swap, SwapResult result)
{
    m_isBusy = false;
    if (result.outcome == SwapOutcome::Unknown) {
        ++m_context->counters.swapsUnknown;
        if (m_context->faults.takesUnknownForCommitted)
            settleSwapped(ClaimVerdict::Won);
        for (PendingClaim& claim : m_queue)
            claim.mayLand = claim.mayLand || claim.isInSwap;
    }
    if (result.outcome == SwapOutcome::Committed) {
        m_context->counters.claimsRecorded += static_cast<std::uint64_t>(
            std::count_if(m_queue.begin(), m_queue.end(), [](const PendingClaim& claim) { return claim.isInSwap; }));
        m_view->commit(std::move(swap), result.revision, m_context->now());
    }
    settleOverdue();
    for (PendingClaim& claim : m_queue)
        claim.isInSwap = false;
    switch (result.outcome) {
    case SwapOutcome::Committed:
        settleHeld();
        schedule();
        return;
    case SwapOutcome::Conflict:
        ++m_context->counters.swapConflicts;
        break;
    case SwapOutcome::NotSent:
        m_context->noteStoreFailure();
        refuseAll(m_context->options.storeRetryInterval);
        return;
    case SwapOutcome::Unknown:
        break;
    }
    m_view.reset();
    if (!m_queue.empty())
        load();
}

} // namespace catkinwing
