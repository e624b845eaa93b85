#pragma once

#include <absl/container/flat_hash_map.h>
#include <cstddef>
#include <list>
#include <string>

namespace catkinwing {

/// Attributes of a request that determine the expected length of its response.
struct OutputKey {
    std::string team;
    std::string requestClass;
    std::string model;

    friend bool operator==(const OutputKey& a, const OutputKey& b)
    {
        return a.team == b.team && a.requestClass == b.requestClass && a.model == b.model;
    }
};

/// Hash of an OutputKey for hash tables.
struct OutputKeyHash {
    std::size_t operator()(const OutputKey& key) const;
};

/// Estimates the output tokens of each key from past responses. Holds a bounded
/// number of keys and evicts the least recently used one.
class OutputEstimator {
public:
    explicit OutputEstimator(std::size_t maxKeys = 8192);
    /// Returns the expected output tokens. \p prior has the weight of a few responses.
    double expectedOutput(const OutputKey&, double prior);
    /// Records a response of \p outputTokens.
    void recordOutput(const OutputKey&, double outputTokens);
    /// Returns the number of keys held.
    std::size_t size() const { return m_entries.size(); }

private:
    struct Entry {
        OutputKey key;
        double mean { 0 };
        double responses { 0 };
    };
    using Entries = std::list<Entry>;

    std::size_t m_maxKeys;
    Entries m_entries;
    absl::flat_hash_map<OutputKey, Entries::iterator, OutputKeyHash> m_index;
};

} // namespace catkinwing
