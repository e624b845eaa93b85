#pragma once

#include "LedgerContext.h"
#include "catkinwing/Dispatch/LedgerView.h"
#include <memory>
#include <vector>

namespace catkinwing {

/// A claim on its way into a shard.
struct PendingClaim {
    /// \p mayLand tells whether the claim may yet be recorded though it is given up.
    using DoneCallback = std::function<void(const ClaimResult&, bool mayLand)>;

    ClaimRecord record;
    TimePoint giveUpAt;
    /// A write or message that may record the claim is out of this entry's hands.
    bool mayLand { false };
    /// The claim is in the swap under way.
    bool isInSwap { false };
    DoneCallback done;
};

/// Gathers the claims of one shard into swaps, one at a time.
class ShardWriter : public std::enable_shared_from_this<ShardWriter> {
public:
    ShardWriter(std::shared_ptr<LedgerContext> context, unsigned shard)
        : m_context(std::move(context))
        , m_shard(shard)
    {
    }

    /// Takes a claim; its callback runs later, once.
    void submit(PendingClaim claim);
    std::size_t pending() const { return m_queue.size(); }

private:
    struct Settled {
        PendingClaim claim;
        ClaimResult result;
    };

    void schedule();
    void step();
    void load();
    void finishLoad(const absl::StatusOr<StoreListing>& listing);
    void swap();
    void finishSwap(LedgerSwap swap, SwapResult result);
    void settleOverdue();
    void settleHeld();
    void settleSwapped(ClaimVerdict verdict);
    void refuseAll(std::chrono::milliseconds retryAfter);
    std::vector<ClaimRecord> nextBatch() const;
    absl::optional<ClaimResult> verdictFor(const PendingClaim& claim) const;
    bool isReplaceable(const ClaimRecord& holder, const ClaimRecord& claim) const;
    bool isUnseen(const ClaimKey& key) const;
    bool isSettledAtOnce(const PendingClaim& claim) const;
    /// Takes the claims for which \p judge has a result out of the queue, and tells them.
    void settle(const std::function<absl::optional<ClaimResult>(const PendingClaim&)>& judge);

    std::shared_ptr<LedgerContext> m_context;
    unsigned m_shard;
    std::vector<PendingClaim> m_queue;
    absl::optional<LedgerView> m_view;
    bool m_isBusy { false };
    TimerId m_timer { 0 };
    TimePoint m_timerDue;
    TimePoint m_nextSwapAt {};
};

} // namespace catkinwing
