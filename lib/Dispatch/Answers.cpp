#include "catkinwing/Dispatch/Answers.h"

#include <algorithm>
#include <cassert>

namespace catkinwing {

static std::size_t sizeOf(const Answer& answer)
{
    constexpr std::size_t overhead = 512;
    std::size_t size = overhead + answer.body.size();
    for (const HttpHeader& field : answer.head.headers.fields())
        size += field.name.size() + field.value.size();
    return size;
}

void FinishedAnswers::put(const ClaimId& id, const std::shared_ptr<const Answer>& answer)
{
    std::size_t size = sizeOf(*answer);
    if (size > m_maxBytes)
        return;
    bool isNew = m_answers.emplace(id, answer).second;
    assert(isNew && "a claim has one answer");
    (void)isNew;
    m_order.push_back(id);
    m_bytes += size;
    while (m_bytes > m_maxBytes) {
        auto oldest = m_answers.find(m_order.front());
        m_bytes -= sizeOf(*oldest->second);
        m_answers.erase(oldest);
        m_order.pop_front();
    }
}

std::shared_ptr<const Answer> FinishedAnswers::find(const ClaimId& id) const
{
    auto entry = m_answers.find(id);
    return entry == m_answers.end() ? nullptr : entry->second;
}

void RunningAnswers::begin(const ClaimId& id)
{
    bool isNew = m_running.try_emplace(id).second;
    assert(isNew && "a claim is run once");
    (void)isNew;
}

void RunningAnswers::setHead(const ClaimId& id, const HttpResponseHead& head)
{
    auto entry = m_running.find(id);
    if (entry != m_running.end())
        entry->second.answer.head = head;
}

void RunningAnswers::append(const ClaimId& id, absl::string_view bytes)
{
    auto entry = m_running.find(id);
    if (entry == m_running.end() || entry->second.isOverflowed)
        return;
    Running& running = entry->second;
    bool fits = running.answer.body.size() + bytes.size() <= m_limits.maxAnswerBytes && m_bytes + bytes.size() <= m_limits.maxTotalBytes;
    if (!fits) {
        letGo(running);
        return;
    }
    running.answer.body.append(bytes.data(), bytes.size());
    m_bytes += bytes.size();
}

// The joiners are taken out first: a callback may begin or end other answers,
// which moves the entries of the table.
void RunningAnswers::letGo(Running& running)
{
    running.isOverflowed = true;
    m_bytes -= running.answer.body.size();
    running.answer.body = std::string();
    std::vector<Joiner> joiners;
    joiners.swap(running.joiners);
    for (const Joiner& joiner : joiners)
        joiner.done({ Outcome::Unknown, nullptr });
}

void RunningAnswers::finish(const ClaimId& id, Outcome outcome)
{
    auto entry = m_running.find(id);
    if (entry == m_running.end())
        return;
    Running running = std::move(entry->second);
    m_running.erase(entry);
    m_bytes -= running.answer.body.size();
    JoinedAnswer joined { outcome, nullptr };
    if (outcome == Outcome::Completed && !running.isOverflowed) {
        joined.answer = std::make_shared<const Answer>(std::move(running.answer));
        m_finished.put(id, joined.answer);
    }
    for (const Joiner& joiner : running.joiners)
        joiner.done(joined);
}

RunningAnswers::JoinerId RunningAnswers::join(const ClaimId& id, JoinCallback done)
{
    auto entry = m_running.find(id);
    if (entry == m_running.end())
        return 0;
    Running& running = entry->second;
    if (running.isOverflowed || running.joiners.size() >= m_limits.maxJoinersPerAnswer)
        return 0;
    running.joiners.push_back({ ++m_lastJoiner, std::move(done) });
    return m_lastJoiner;
}

void RunningAnswers::leave(const ClaimId& id, JoinerId joiner)
{
    auto entry = m_running.find(id);
    if (entry == m_running.end())
        return;
    auto& joiners = entry->second.joiners;
    auto isLeaver = [joiner](const Joiner& candidate) { return candidate.id == joiner; };
    joiners.erase(std::remove_if(joiners.begin(), joiners.end(), isLeaver), joiners.end());
}

} // namespace catkinwing
