#include "AnswerFraming.h"

#include "RequestGuard.h"
#include <absl/strings/str_cat.h>

namespace catkinwing {

static constexpr int http11Version = 0x101;
static constexpr int statusNoContent = 204;
static constexpr int statusNotModified = 304;

bool hasBody(const AnswerTraits& traits)
{
    return !traits.isForHead && traits.status != statusNoContent && traits.status != statusNotModified;
}

AnswerFraming framingOf(const AnswerTraits& traits)
{
    if (traits.httpVersion >= http2Version)
        return AnswerFraming::Frames;
    if (!hasBody(traits))
        return AnswerFraming::NoBody;
    if (traits.hasLength)
        return AnswerFraming::Length;
    return traits.httpVersion >= http11Version ? AnswerFraming::Chunks : AnswerFraming::ConnectionEnd;
}

std::string chunkSizeLine(std::size_t bytes)
{
    return absl::StrCat(absl::Hex(bytes), "\r\n");
}

} // namespace catkinwing
