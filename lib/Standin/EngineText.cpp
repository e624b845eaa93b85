#include "catkinwing/Standin/EngineText.h"

#include "catkinwing/Standin/ExecutionLog.h"
#include "catkinwing/Support/Hash.h"
#include <absl/strings/str_cat.h>

namespace catkinwing::standin {

constexpr const char* words[] = { "alder", "ash", "beech", "birch", "cedar", "elm", "fir", "hazel",
    "larch", "maple", "oak", "pine", "rowan", "spruce", "willow", "yew" };
constexpr std::uint64_t wordCount = sizeof(words) / sizeof(words[0]);
constexpr std::uint64_t numbersPerWord = 1000;

std::size_t countTokens(absl::string_view text)
{
    return (text.size() + bytesPerToken - 1) / bytesPerToken;
}

EngineText::EngineText(absl::string_view prompt)
    : m_promptHash(stableHash(prompt))
    , m_marker(findMarker(prompt))
{
}

std::string EngineText::token(std::size_t index) const
{
    if (index == 0 && !m_marker.empty())
        return m_marker;
    std::uint64_t hash = stableHash(absl::StrCat(index), m_promptHash);
    return absl::StrCat(index == 0 ? "" : " ", words[hash % wordCount], hash / wordCount % numbersPerWord);
}

} // namespace catkinwing::standin
