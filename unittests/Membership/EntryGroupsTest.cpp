#include "catkinwing/Membership/EntryGroups.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

using namespace catkinwing;

static std::vector<GroupedEntry> entriesOf(std::size_t zones, std::size_t perZone)
{
    std::vector<GroupedEntry> entries;
    for (std::size_t i = 0; i < zones * perZone; ++i)
        entries.push_back({ "entry-" + std::to_string(i), "zone-" + std::to_string(i % zones) });
    return entries;
}

TEST_CASE("groups have a limited size for any number of entries, and each lies within one zone")
{
    for (std::size_t perZone : { 1, 3, 50, 300, 500 }) {
        std::vector<GroupedEntry> entries = entriesOf(2, perZone);
        std::size_t members = 0;
        for (const EntryGroup& group : divideIntoGroups(entries)) {
            members += group.members.size();
            CHECK(group.members.size() <= 100);
            CHECK(group.collectors.size() == std::min<std::size_t>(group.members.size(), 2));
            std::set<std::string> zones;
            for (const GroupedEntry& entry : entries) {
                if (std::count(group.members.begin(), group.members.end(), entry.key) > 0)
                    zones.insert(entry.availabilityZone);
            }
            CHECK(zones.size() == 1);
        }
        CHECK(members == entries.size());
    }
}

TEST_CASE("the division doesn't depend on the order of entries, and removing an entry changes no other collector")
{
    std::vector<GroupedEntry> entries = entriesOf(2, 40);
    std::vector<EntryGroup> before = divideIntoGroups(entries);
    std::reverse(entries.begin(), entries.end());
    std::vector<EntryGroup> reversed = divideIntoGroups(entries);
    REQUIRE(before.size() == reversed.size());
    for (std::size_t i = 0; i < before.size(); ++i)
        CHECK(before[i].collectors == reversed[i].collectors);
    for (std::size_t removed = 0; removed < entries.size(); ++removed) {
        std::vector<GroupedEntry> remaining = entries;
        std::string key = remaining[removed].key;
        remaining.erase(remaining.begin() + static_cast<std::ptrdiff_t>(removed));
        std::vector<EntryGroup> after = divideIntoGroups(remaining);
        for (std::size_t i = 0; i < before.size(); ++i) {
            for (const std::string& collector : before[i].collectors) {
                bool isStill = std::count(after[i].collectors.begin(), after[i].collectors.end(), collector) > 0;
                CHECK((isStill || collector == key));
            }
        }
    }
}
