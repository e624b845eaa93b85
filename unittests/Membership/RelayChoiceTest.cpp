#include "catkinwing/Membership/RelayChoice.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

using namespace catkinwing;

static std::vector<std::string> nineMembers()
{
    std::vector<std::string> members;
    members.reserve(9);
    for (int i = 0; i < 9; ++i)
        members.push_back(absl::StrCat("entry-", i));
    return members;
}

TEST_CASE("relays are the same for any order of the members")
{
    std::vector<std::string> members = nineMembers();
    std::vector<std::string> ranked = rankRelays(members, "a", "b");
    std::reverse(members.begin(), members.end());
    CHECK(rankRelays(members, "a", "b") == ranked);
}

TEST_CASE("removing a member reassigns only its own zones")
{
    std::vector<std::string> members = nineMembers();
    for (int zone = 0; zone < 59; ++zone) {
        std::vector<std::string> before = rankRelays(members, "a", absl::StrCat("zone-", zone));
        std::vector<std::string> remaining = before;
        remaining.erase(remaining.begin() + 4);
        CHECK(rankRelays(remaining, "a", absl::StrCat("zone-", zone)).front() == before.front());
    }
}

TEST_CASE("zones are distributed over the members")
{
    std::map<std::string, int> zonesOf;
    for (int zone = 0; zone < 590; ++zone)
        ++zonesOf[rankRelays(nineMembers(), "a", absl::StrCat("zone-", zone)).front()];
    CHECK(zonesOf.size() == 9);
    for (const auto& [member, zones] : zonesOf)
        CHECK((zones > 30 && zones < 110));
}
