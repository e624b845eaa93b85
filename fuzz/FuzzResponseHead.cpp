#include "../lib/Http/ForeignResponseFilter.h"
#include "../lib/Http/ResponseHeadGuard.h"
#include "FuzzInput.h"
#include <algorithm>

using namespace catkinwing;

// What comes in at once and in two parts is passed over alike.
static void checkFilter(absl::string_view input, std::size_t part)
{
    using Verdict = ForeignResponseFilter::Verdict;
    ForeignResponseFilter whole("id", "1", true);
    ForeignResponseFilter parts("id", "1", true);
    std::size_t expected = 0;
    Verdict verdict = whole.read(input, expected);
    require(expected <= input.size(), "nothing is passed over that isn't there");
    std::size_t first = 0;
    Verdict early = parts.read(input.substr(0, part), first);
    if (early == Verdict::Unreadable) {
        require(verdict == Verdict::Unreadable, "more bytes mend nothing");
        return;
    }
    std::size_t rest = 0;
    require(parts.read(input.substr(first), rest) == verdict, "the parts get another verdict");
    require(verdict == Verdict::Unreadable || first + rest == expected, "the parts end elsewhere");
}

// The first byte tells how much has arrived at the first look.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    absl::string_view input = textOf(data, size);
    std::size_t part = static_cast<std::uint8_t>(takeByte(input));
    bool isFaultySoFar = responseHeadFault(input.substr(0, part)) != nullptr;
    require(!isFaultySoFar || responseHeadFault(input) != nullptr, "more bytes mend nothing");
    checkFilter(input, std::min(part, input.size()));
    return 0;
}
