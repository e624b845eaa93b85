#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace catkinwing {

/// An entry of a region, with the data that the division into groups needs.
struct GroupedEntry {
    std::string key;
    std::string availabilityZone;
};

/// Entries of one availability zone that exchange their load reports through their
/// collectors.
struct EntryGroup {
    std::string name;
    std::vector<std::string> members;
    /// Members that sum up the load reports of the group. There are several, so that no
    /// data is lost if one fails.
    std::vector<std::string> collectors;
};

/// The position of an entry among those that take turns.
struct EntryOrder {
    /// Zero-based.
    std::size_t rank { 0 };
    std::size_t entries { 1 };
};

/// Divides the entries of a region into groups of limited size. Each group lies within
/// one availability zone, so that a zone keeps working while it is partitioned from the
/// others. The division depends only on the set of entries, not on their order.
std::vector<EntryGroup> divideIntoGroups(const std::vector<GroupedEntry>& entries);

} // namespace catkinwing
