#pragma once

#include "catkinwing/Dispatch/IdempotencyLedger.h"
#include "catkinwing/Gateway/EntryDirectory.h"
#include "catkinwing/Membership/PeerTransport.h"

namespace catkinwing {

/// Timing and bounds of forwarded claims.
struct LedgerForwarderOptions {
    /// How long a claim waits for others to the same coordinator.
    std::chrono::milliseconds batchDelay { 2 };
    /// How long a coordinator is waited for; less than LedgerOptions::forwardTimeout,
    /// so that its silence is noted here.
    std::chrono::milliseconds answerTimeout { 250 };
    /// After a coordinator failed, claims for it fail at once for this long.
    std::chrono::milliseconds retryInterval { 1'000 };
    /// Claims in one message at most.
    std::size_t maxClaimsPerBatch { 1'000 };
};

/// Sends claims to the coordinators of their shards over the inner protocol.
/// A claim goes out once and is never sent again from here.
class LedgerForwarder final : public ClaimForwarder {
public:
    /// All references must outlive this.
    LedgerForwarder(PeerTransport& transport, const EntryDirectory& entries, Scheduler& scheduler, LedgerForwarderOptions options = {});
    ~LedgerForwarder() override;
    /// Fails with NotFound if the entry isn't known, with Unavailable if it
    /// failed a moment ago or says so, with DeadlineExceeded if it is silent.
    void forward(const std::string& entry, const ClaimRecord& claim, DoneCallback done) override;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace catkinwing
