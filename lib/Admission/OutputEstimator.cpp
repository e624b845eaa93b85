#include "catkinwing/Admission/OutputEstimator.h"

#include <absl/hash/hash.h>
#include <algorithm>
#include <cassert>
#include <tuple>

namespace catkinwing {

/// Answers that the document's prior counts for.
static constexpr double priorAnswers = 4;
/// Answers remembered at most: an answer moves the mean by at least 1 / this.
static constexpr double maxAnswers = 32;

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
    // The prior fades as answers come in, and is gone once the memory is full.
    double weight = priorAnswers * std::max(0.0, 1 - entry.answers / maxAnswers);
    return (weight * prior + entry.answers * entry.mean) / (weight + entry.answers);
}

void OutputEstimator::learn(const OutputKey& key, double outputTokens)
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
    entry.answers = std::min(entry.answers + 1, maxAnswers);
    entry.mean += (outputTokens - entry.mean) / entry.answers;
}

} // namespace catkinwing
