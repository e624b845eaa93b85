#include "catkinwing/Gateway/OpenRequests.h"

#include <algorithm>

namespace catkinwing {

static constexpr std::size_t leastToForget = 256;

static bool isAnswered(const std::shared_ptr<HttpResponder>& responder)
{
    return !responder->isOpen() && responder->pendingBytes() == 0;
}

void OpenRequests::add(std::shared_ptr<HttpResponder> responder)
{
    // Looked through only when the list has doubled, so that a request costs
    // the same however many are open.
    if (m_responders.size() >= std::max(m_forgetAt, leastToForget)) {
        forgetAnswered();
        m_forgetAt = 2 * m_responders.size();
    }
    m_responders.push_back(std::move(responder));
}

void OpenRequests::forgetAnswered()
{
    m_responders.erase(std::remove_if(m_responders.begin(), m_responders.end(), isAnswered), m_responders.end());
}

std::size_t OpenRequests::count()
{
    forgetAnswered();
    return m_responders.size();
}

} // namespace catkinwing
