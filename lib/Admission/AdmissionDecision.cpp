#include "catkinwing/Admission/AdmissionDecision.h"

namespace catkinwing {

const char* refusalReasonName(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::UnknownTeam:
        return "unknown-team";
    case RefusalReason::UnknownClass:
        return "unknown-class";
    case RefusalReason::DuplicateId:
        return "duplicate-id";
    case RefusalReason::RequestRate:
        return "request-rate";
    case RefusalReason::CallerConcurrency:
        return "caller-concurrency";
    case RefusalReason::TeamQueueFull:
        return "team-queue-full";
    case RefusalReason::QueueFull:
        return "queue-full";
    case RefusalReason::QueueBytesFull:
        return "queue-bytes-full";
    case RefusalReason::PredictedLate:
        return "predicted-late";
    case RefusalReason::Expired:
        return "expired";
    case RefusalReason::Evicted:
        return "evicted";
    case RefusalReason::PolicyRemoved:
        return "policy-removed";
    }
    return "unknown";
}

} // namespace catkinwing
