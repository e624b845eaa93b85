#include "catkinwing/Gateway/ForwardedClaims.h"

#include "ClaimMessages.h"

namespace catkinwing {

namespace {

    /// A batch whose claims are with the ledger.
    struct OpenBatch {
        ClaimReply reply;
        std::size_t unsettled { 0 };
        bool isAnswered { false };
        TimerId timer { 0 };
        ForwardedClaims::DoneCallback done;
    };

} // namespace

ForwardedClaims::ForwardedClaims(IdempotencyLedger& ledger, Scheduler& scheduler, ForwardedClaimsOptions options)
    : m_ledger(ledger)
    , m_scheduler(scheduler)
    , m_options(options)
    , m_pending(std::make_shared<std::size_t>(0))
{
}

static void answer(OpenBatch& batch, const PeerReply& reply)
{
    if (batch.isAnswered)
        return;
    batch.isAnswered = true;
    batch.done(reply);
}

static PeerError unavailable(const char* message)
{
    return { PeerErrorCode::Unavailable, message, std::nullopt };
}

void ForwardedClaims::record(const ClaimBatch& batch, DoneCallback done)
{
    if (batch.claims.empty()) {
        done(ClaimReply {});
        return;
    }
    if (*m_pending + batch.claims.size() > m_options.maxPendingClaims) {
        done(unavailable("too many claims wait"));
        return;
    }
    auto open = std::make_shared<OpenBatch>();
    open->reply.answers.resize(batch.claims.size());
    open->unsettled = batch.claims.size();
    open->done = std::move(done);
    open->timer = m_scheduler.callAfter(m_options.answerTimeout, [open] { answer(*open, unavailable("the claims are not settled yet")); });
    *m_pending += batch.claims.size();
    for (std::size_t i = 0; i < batch.claims.size(); ++i) {
        ClaimRecord record = toRecord(batch.claims[i]);
        m_ledger.handleForwarded(record, [open, i, record, pending = m_pending, &scheduler = m_scheduler](const ClaimResult& result) {
            --*pending;
            open->reply.answers[i] = toMessage(record, result);
            if (--open->unsettled > 0)
                return;
            scheduler.cancel(open->timer);
            answer(*open, open->reply);
        });
    }
}

} // namespace catkinwing
