#include "ClaimMessages.h"

namespace catkinwing {

static ClaimRef toRef(const ClaimId& id)
{
    return { id.entry, id.incarnation, id.serial };
}

static ClaimId toId(const ClaimRef& ref)
{
    return { ref.entry, ref.incarnation, ref.serial };
}

static ClaimOutcome toOutcome(ClaimVerdict verdict)
{
    switch (verdict) {
    case ClaimVerdict::Won:
        return ClaimOutcome::Won;
    case ClaimVerdict::AlreadyClaimed:
        return ClaimOutcome::AlreadyClaimed;
    case ClaimVerdict::NotAvailable:
        break;
    }
    return ClaimOutcome::NotAvailable;
}

static ClaimVerdict toVerdict(ClaimOutcome outcome)
{
    switch (outcome) {
    case ClaimOutcome::Won:
        return ClaimVerdict::Won;
    case ClaimOutcome::AlreadyClaimed:
        return ClaimVerdict::AlreadyClaimed;
    case ClaimOutcome::NotAvailable:
        break;
    }
    return ClaimVerdict::NotAvailable;
}

Claim toMessage(const ClaimRecord& record)
{
    return { record.key.high, record.key.low, record.fingerprint, toRef(record.id) };
}

ClaimAnswer toMessage(const ClaimRecord& record, const ClaimResult& result)
{
    ClaimAnswer answer;
    answer.serial = record.id.serial;
    answer.outcome = toOutcome(result.verdict);
    if (result.verdict == ClaimVerdict::NotAvailable)
        answer.retryAfter = result.retryAfter;
    else
        answer.holder = toRef(result.holder);
    answer.isOtherRequest = result.verdict == ClaimVerdict::AlreadyClaimed && result.isOtherRequest;
    return answer;
}

ClaimRecord toRecord(const Claim& claim)
{
    return { { claim.keyHigh, claim.keyLow }, claim.fingerprint, toId(claim.id) };
}

std::optional<ClaimResult> toResult(const ClaimRecord& record, const ClaimAnswer& answer)
{
    if (answer.serial != record.id.serial)
        return std::nullopt;
    ClaimResult result;
    result.verdict = toVerdict(answer.outcome);
    if (answer.holder)
        result.holder = toId(*answer.holder);
    result.isOtherRequest = answer.isOtherRequest;
    result.retryAfter = std::chrono::duration_cast<std::chrono::milliseconds>(answer.retryAfter);
    return result;
}

} // namespace catkinwing
