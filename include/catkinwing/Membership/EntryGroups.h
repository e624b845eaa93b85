#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace catkinwing {

/// An entry of a region, as the division into groups needs it.
struct GroupedEntry {
    std::string key;
    std::string availabilityZone;
};

/// Entries of one availability zone that tell each other of their loads through
/// their collectors.
struct EntryGroup {
    std::string name;
    std::vector<std::string> members;
    /// Members that add up what the others report, so that the death of one
    /// costs nothing.
    std::vector<std::string> collectors;
};

/// An entry's place among those that take turns.
struct EntryOrder {
    /// From 0 on.
    std::size_t rank { 0 };
    std::size_t entries { 1 };
};

/// Divides the entries of a region into groups of bounded size, each within one
/// availability zone, so that one that is cut off goes on. All that know the
/// same entries divide them alike.
std::vector<EntryGroup> divideIntoGroups(const std::vector<GroupedEntry>& entries);

} // namespace catkinwing
