#include "catkinwing/Ingress/StreamOrigins.h"

namespace catkinwing {

/// Maximum number of streams kept, at some 130 bytes each: 200 streams a second for over two
/// and a half minutes.
static constexpr std::size_t maxKnown = 32'768;

void StreamOrigins::record(const RequestFingerprint& stream, const Statement& statement, TimePoint now)
{
    auto [found, isNew] = m_known.try_emplace(stream, Known { statement, now, false });
    if (isNew) {
        m_byAge.emplace_back(now, stream);
        if (m_known.size() > maxKnown) {
            m_known.erase(m_byAge.front().second);
            m_byAge.pop_front();
        }
        return;
    }
    Known& known = found->second;
    known.at = now;
    if (known.statement.sender != statement.sender) {
        known.isContested = known.isContested || known.statement.build != statement.build;
        return;
    }
    if (statement.sequence > known.statement.sequence)
        known.statement = statement;
}

std::optional<BuildId> StreamOrigins::find(const RequestFingerprint& stream) const
{
    auto found = m_known.find(stream);
    if (found == m_known.end())
        return std::nullopt;
    return found->second.isContested ? uncertainBuild : found->second.statement.build;
}

void StreamOrigins::expire(Duration lifetime, TimePoint now)
{
    while (!m_byAge.empty() && now - m_byAge.front().first >= lifetime) {
        auto [statedAt, stream] = m_byAge.front();
        m_byAge.pop_front();
        auto found = m_known.find(stream);
        if (found == m_known.end())
            continue;
        // A stream that was stated again meanwhile is kept from then on.
        if (now - found->second.at < lifetime)
            m_byAge.emplace_back(found->second.at, stream);
        else
            m_known.erase(found);
    }
}

} // namespace catkinwing
