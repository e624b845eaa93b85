// Obtains the requests that the limits of endpoints allow, and records the limits that their
// answers name.
#include "catkinwing/Ingress/RoutedRun.h"

namespace catkinwing {

bool RoutedRun::areLimitsUsedUp() const
{
    return isAllowedHere() && m_parts.endpoints.areLimitsUsedUp(m_service, now());
}

// If the limits of all endpoints here leave this entry no request, another entry may have
// one. That takes a few milliseconds, less than forwarding to another region.
bool RoutedRun::askLimitHolders()
{
    if (m_hasAskedLimitHolders || !m_parts.limitExchange || !areLimitsUsedUp())
        return false;
    m_hasAskedLimitHolders = m_parts.limitExchange->ask(m_service, [self = shared_from_this()] {
        if (!self->m_isDone)
            self->dispatch();
    });
    return m_hasAskedLimitHolders;
}

// An answer that names a limit is obeyed whoever made it. Only the endpoint's own answer to
// this request shows that it names none.
void RoutedRun::recordRequestLimit(const Attempt& attempt) const
{
    const ResponseFacts& facts = attempt.facts;
    bool isOwnAnswer = attempt.isForThisRequest && (facts.isEndpointAnswer || facts.wasNotExecuted);
    if (facts.requestLimit || (isOwnAnswer && !facts.isRequestLimitInvalid))
        m_parts.endpoints.limits().recordAnswer(attempt.endpoint, facts.requestLimit, now());
}

} // namespace catkinwing
