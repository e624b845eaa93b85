#include "catkinwing/Dispatch/AttemptSet.h"

#include <algorithm>
#include <cassert>

namespace catkinwing {

bool AttemptSet::isLive(AttemptId attempt) const
{
    AttemptState state = m_attempts[attempt].state;
    return state == AttemptState::Pending || state == AttemptState::Current;
}

bool AttemptSet::mayStart() const
{
    if (m_isCompleted || m_current)
        return false;
    if (m_isIdempotent)
        return true;
    return std::none_of(m_attempts.begin(), m_attempts.end(),
        [](const Attempt& attempt) { return attempt.mayHaveReachedEndpoint; });
}

absl::optional<AttemptId> AttemptSet::start()
{
    if (!mayStart())
        return absl::nullopt;
    m_attempts.emplace_back();
    return static_cast<AttemptId>(m_attempts.size() - 1);
}

void AttemptSet::makeCurrent(AttemptId attempt, std::vector<AttemptId>& cancel)
{
    m_current = attempt;
    m_attempts[attempt].state = AttemptState::Current;
    for (AttemptId other = 0; other < m_attempts.size(); ++other) {
        if (m_attempts[other].state != AttemptState::Pending)
            continue;
        m_attempts[other].state = AttemptState::Superseded;
        m_mayHaveRun = true;
        cancel.push_back(other);
    }
}

DeliveryDecision AttemptSet::offer(AttemptId attempt)
{
    assert(attempt < m_attempts.size() && "the attempt belongs to another request");
    DeliveryDecision decision;
    if (m_isCompleted || !isLive(attempt))
        return decision;
    if (!m_current)
        makeCurrent(attempt, decision.cancel);
    decision.deliver = true;
    return decision;
}

RequestState AttemptSet::finish(AttemptId attempt, const AttemptResult& result, std::vector<AttemptId>& cancel)
{
    assert(attempt < m_attempts.size() && "the attempt belongs to another request");
    if (m_isCompleted || !isLive(attempt))
        return RequestState::Unchanged;
    if (result.outcome == Outcome::Completed) {
        if (!m_current)
            makeCurrent(attempt, cancel);
        m_attempts[attempt].state = AttemptState::Completed;
        m_current.reset();
        m_isCompleted = true;
        return RequestState::Completed;
    }
    m_attempts[attempt].state = AttemptState::Failed;
    m_attempts[attempt].mayHaveReachedEndpoint = result.mayHaveReachedEndpoint;
    m_mayHaveRun = m_mayHaveRun || result.outcome != Outcome::NotRun;
    if (m_current == attempt)
        m_current.reset();
    return running() > 0 ? RequestState::Waiting : RequestState::Failed;
}

AttemptState AttemptSet::state(AttemptId attempt) const
{
    assert(attempt < m_attempts.size() && "the attempt belongs to another request");
    return m_attempts[attempt].state;
}

std::size_t AttemptSet::running() const
{
    std::size_t live = 0;
    for (AttemptId attempt = 0; attempt < m_attempts.size(); ++attempt)
        live += isLive(attempt) ? 1 : 0;
    return live;
}

} // namespace catkinwing
