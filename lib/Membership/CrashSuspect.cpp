#include "catkinwing/Membership/CrashSuspect.h"

#include "catkinwing/Support/Hash.h"
#include <algorithm>
#include <cassert>

namespace catkinwing {

/// The last bytes of the name of a suspect that isn't a request are zeros and the kind. A
/// fingerprint ends like this once in four billion requests.
static constexpr std::size_t markBytes = 4;

SuspectKind kindOf(const SuspectId& suspect)
{
    static constexpr std::array<unsigned char, markBytes> segmentMark { 0, 0, 0, static_cast<unsigned char>(SuspectKind::PromptSegment) };
    bool isSegment = std::equal(segmentMark.rbegin(), segmentMark.rend(), suspect.bytes.rbegin());
    return isSegment ? SuspectKind::PromptSegment : SuspectKind::Request;
}

// Callers choose the text of a segment, so that a hash that resists forgery gains nothing.
SuspectId suspectId(SuspectKind kind, absl::string_view text)
{
    assert(kind != SuspectKind::Request && "the name of a request is its fingerprint");
    SuspectId suspect;
    auto unmarked = suspect.bytes.end() - markBytes;
    std::uint64_t seed = 0;
    for (auto next = suspect.bytes.begin(); next != unmarked; ++seed) {
        for (std::uint64_t hash = stableHash(text, seed), count = 0; count < sizeof(hash) && next != unmarked; ++count, hash >>= 8)
            *next++ = static_cast<unsigned char>(hash);
    }
    suspect.bytes.back() = static_cast<unsigned char>(kind);
    return suspect;
}

RequestSuspects requestSuspects(const RequestFingerprint& request, const std::vector<absl::string_view>& segments)
{
    RequestSuspects suspects { request };
    std::size_t shared = std::min(segments.empty() ? 0 : segments.size() - 1, maxSegmentSuspects);
    for (std::size_t i = 0; i < shared; ++i) {
        SuspectId segment = suspectId(SuspectKind::PromptSegment, segments[i]);
        if (std::find(suspects.begin(), suspects.end(), segment) == suspects.end())
            suspects.push_back(segment);
    }
    return suspects;
}

} // namespace catkinwing
