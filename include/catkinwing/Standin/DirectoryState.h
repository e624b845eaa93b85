#pragma once

#include "catkinwing/Support/Clock.h"
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace catkinwing::standin {

/// A service instance as the directory lists it.
struct ServiceEntry {
    std::string node;
    std::string nodeAddress;
    std::string id;
    std::string name;
    std::string address;
    std::uint16_t port { 0 };
    std::vector<std::string> tags;
    std::map<std::string, std::string> meta;
    /// "passing", "warning" or "critical".
    std::string status { "passing" };
    std::uint64_t createIndex { 0 };
    std::uint64_t modifyIndex { 0 };
};

/// The services that a directory lists; each change shows only after a lag.
class DirectoryState {
public:
    explicit DirectoryState(Duration lag)
        : m_lag(lag)
    {
    }

    void registerService(ServiceEntry entry, TimePoint now);
    /// Removes a service of \p node; an empty \p id removes all of the node's.
    void deregister(const std::string& node, const std::string& id, TimePoint now);
    /// Makes the changes visible whose lag has passed at \p now.
    void update(TimePoint now);
    /// Returns when the next change becomes visible.
    std::optional<TimePoint> nextUpdate() const;

    std::vector<ServiceEntry> list(const std::string& name) const;
    /// Returns the index of the last visible change of the service; at least 1.
    std::uint64_t indexOf(const std::string& name) const;

private:
    /// A registration, or a removal if there is no entry.
    struct Change {
        TimePoint due;
        std::optional<ServiceEntry> entry;
        std::string node;
        std::string id;
    };

    void enqueue(Change change, TimePoint now);
    void apply(const Change& change);
    void insert(ServiceEntry entry);
    void remove(const std::string& node, const std::string& id);

    Duration m_lag;
    std::deque<Change> m_pending;
    /// By node and service id.
    std::map<std::pair<std::string, std::string>, ServiceEntry> m_entries;
    std::map<std::string, std::uint64_t> m_indexes;
    std::uint64_t m_index { 1 };
};

} // namespace catkinwing::standin
