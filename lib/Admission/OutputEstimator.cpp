#include "catkinwing/Admission/OutputEstimator.h"

#include <absl/hash/hash.h>
#include <algorithm>
#include <cassert>
#include <tuple>

namespace catkinwing {

/// Weight of the configured prior, in responses.
static constexpr double priorResponses = 4;
/// Max weight of the past responses: each new response has a weight of at least
/// 1 / maxResponses in the mean.
static constexpr double maxResponses = 32;

std::size_t OutputKeyHash::operator()(const OutputKey& key) const
{
    return absl::HashOf(std::tie(key.team, key.requestClass, key.model));
}

OutputEstimator::OutputEstimator(std::size_t maxKeys)
    : m_maxKeys(maxKeys)
{
    assert(maxKeys && "an estimator must hold at least one key");
}

double OutputEstimator::expectedOutput(const OutputKey& key, double prior)
{
    auto found = m_index.find(key);
    if (found == m_index.end())
        return prior;
    m_entries.splice(m_entries.begin(), m_entries, found->second);
    const Entry& entry = *found->second;
    // The weight of the prior decreases with each response and is zero once
    // maxResponses responses are recorded.
    double weight = priorResponses * std::max(0.0, 1 - entry.responses / maxResponses);
    return (weight * prior + entry.responses * entry.mean) / (weight + entry.responses);
}

void OutputEstimator::recordOutput(const OutputKey& key, double outputTokens)
{
    auto found = m_index.find(key);
    if (found == m_index.end()) {
        if (m_entries.size() == m_maxKeys) {
            m_index.erase(m_entries.back().key);
            m_entries.pop_back();
        }
        m_entries.push_front({ key, 0, 0 });
        found = m_index.emplace(key, m_entries.begin()).first;
    }
    m_entries.splice(m_entries.begin(), m_entries, found->second);
    Entry& entry = *found->second;
    entry.responses = std::min(entry.responses + 1, maxResponses);
    entry.mean += (outputTokens - entry.mean) / entry.responses;
}

} // namespace catkinwing
