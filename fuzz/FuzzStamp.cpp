#include "FuzzInput.h"
#include "catkinwing/PeerProtocol/ForwardStamp.h"
#include <absl/strings/str_split.h>

using namespace catkinwing;

static std::vector<StampHeader> readHeaders(absl::string_view text)
{
    std::vector<StampHeader> headers;
    for (absl::string_view line : absl::StrSplit(text, '\n', absl::SkipEmpty())) {
        std::pair<std::string, std::string> header = absl::StrSplit(line, absl::MaxSplits(": ", 1));
        headers.push_back({ std::move(header.first), std::move(header.second) });
    }
    return headers;
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    absl::StatusOr<ForwardStamp> stamp = decodeStamp(readHeaders(textOf(data, size)));
    if (!stamp.ok())
        return 0;
    StampVerdict verdict = checkStamp(*stamp, "bunbury-a", "bunbury");
    require(verdict != StampVerdict::Accepted || stamp->hop == maxStampHops, "a request is forwarded once at most");
    absl::StatusOr<ForwardStamp> again = decodeStamp(encodeStamp(*stamp));
    require(again.ok(), "what is encoded can be decoded");
    require(checkStamp(*again, "bunbury-a", "bunbury") == verdict, "the verdict stays the same");
    return 0;
}
