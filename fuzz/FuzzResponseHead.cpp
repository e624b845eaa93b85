#include "../lib/Http/ResponseHeadGuard.h"
#include "FuzzInput.h"

using namespace catkinwing;

// The first byte tells how much has arrived at the first look.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    absl::string_view input = textOf(data, size);
    std::size_t part = static_cast<std::uint8_t>(takeByte(input));
    bool isFaultySoFar = responseHeadFault(input.substr(0, part)) != nullptr;
    require(!isFaultySoFar || responseHeadFault(input) != nullptr, "more bytes mend nothing");
    return 0;
}
