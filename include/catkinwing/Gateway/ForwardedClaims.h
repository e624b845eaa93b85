#pragma once

#include "catkinwing/Dispatch/IdempotencyLedger.h"
#include "catkinwing/PeerProtocol/PeerMessages.h"
#include <functional>

namespace catkinwing {

/// Bounds of the claims that are recorded for other entries.
struct ForwardedClaimsOptions {
    /// A batch that isn't settled by then is answered with an error; less than
    /// LedgerForwarderOptions::answerTimeout, with time for the way back.
    std::chrono::milliseconds answerTimeout { 200 };
    /// Claims that may wait for the ledger at once; batches beyond are refused.
    std::size_t maxPendingClaims { 10'000 };
};

/// Records claims that other entries forward to this one as coordinator.
class ForwardedClaims {
public:
    using DoneCallback = std::function<void(const PeerReply&)>;

    /// \p ledger and \p scheduler must outlive this.
    ForwardedClaims(IdempotencyLedger& ledger, Scheduler& scheduler, ForwardedClaimsOptions options = {});
    /// Gives the claims to the ledger. Calls \p done once, with a ClaimReply when
    /// all are settled; with a PeerError if that takes too long or too many wait,
    /// in which case some may have been recorded or will be.
    void record(const ClaimBatch& batch, DoneCallback done);

private:
    IdempotencyLedger& m_ledger;
    Scheduler& m_scheduler;
    ForwardedClaimsOptions m_options;
    /// Shared with the ledger's callbacks, which may come after this has gone.
    std::shared_ptr<std::size_t> m_pending;
};

} // namespace catkinwing
