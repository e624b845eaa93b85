#pragma once

#include "catkinwing/Dispatch/IdempotencyLedger.h"
#include "catkinwing/Dispatch/IssuedKeys.h"
#include "catkinwing/Gateway/EntryDirectory.h"
#include "catkinwing/Gateway/RequestBroker.h"

namespace catkinwing {

/// Runs requests with an idempotency key at most once, and answers repeats of a
/// key with the first answer.
class KeyedRequests {
public:
    /// All references must outlive this.
    KeyedRequests(Store& store, RequestBroker& broker, const EntryDirectory& entries, LedgerOptions options, CoordinatorOf coordinatorOf,
        ClaimForwarder* forwarder, const IssuedKeys::Secret& secret);

    /// Runs a keyed request, joins its running answer, or refuses.
    void run(AcceptedRequest request, std::shared_ptr<HttpResponder> responder);
    /// Issues a key that this entry alone may run.
    absl::StatusOr<std::string> issue(const std::string& team) { return m_issued.issue(team); }
    IdempotencyLedger& ledger() { return m_ledger; }
    const IdempotencyLedger& ledger() const { return m_ledger; }
    /// Says what this entry knows of a run.
    bool isRunning(const ClaimId& id) const { return m_running.isRunning(id); }

private:
    using Responder = std::shared_ptr<HttpResponder>;

    bool isOwn(const ClaimId& id) const;
    void claimAndRun(AcceptedRequest request, Responder responder);
    void runForwarded(AcceptedRequest request, Responder responder);
    void runIssued(AcceptedRequest request, Responder responder, const KeyAuthority& authority);
    void settle(AcceptedRequest request, Responder responder, const ClaimResult& result);
    void runUnder(AcceptedRequest request, Responder responder, const ClaimId& id, bool isIssued);
    void join(const AcceptedRequest& request, const Responder& responder, const ClaimId& id);
    void askHolder(const AcceptedRequest& request, const Responder& responder, const ClaimId& id, bool isIssued);

    RequestBroker& m_broker;
    const EntryDirectory& m_entries;
    IdempotencyLedger m_ledger;
    IssuedKeys m_issued;
    FinishedAnswers m_finished;
    RunningAnswers m_running;
};

} // namespace catkinwing
