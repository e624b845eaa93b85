#include "catkinwing/Membership/RelayChoice.h"

#include "catkinwing/Support/Hash.h"
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <utility>

namespace catkinwing {

std::vector<std::string> rankRelays(std::vector<std::string> members, absl::string_view from, absl::string_view to)
{
    std::uint64_t seed = stableHash(absl::StrCat(from, "|", to));
    std::vector<std::pair<std::uint64_t, std::string>> scored;
    scored.reserve(members.size());
    for (std::string& member : members) {
        std::uint64_t score = stableHash(member, seed);
        scored.emplace_back(score, std::move(member));
    }
    std::sort(scored.begin(), scored.end());
    members.clear();
    for (auto& candidate : scored)
        members.push_back(std::move(candidate.second));
    return members;
}

} // namespace catkinwing
