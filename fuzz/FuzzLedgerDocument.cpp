#include "FuzzInput.h"
#include "catkinwing/Dispatch/LedgerDocument.h"

using namespace catkinwing;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const unsigned slots = LedgerLayout().slots;
    absl::StatusOr<LedgerGeneration> generation = decodeGeneration(textOf(data, size), slots);
    if (!generation.ok())
        return 0;
    for (std::size_t index = 0; index < generation->claims.size(); ++index)
        generation->recordAt(index);
    std::string again = encodeGeneration(*generation, slots);
    require(again.size() <= maxEncodedBytes(*generation), "a document is no longer than its bound");
    absl::StatusOr<LedgerGeneration> decoded = decodeGeneration(again, slots);
    require(decoded.ok(), "what is encoded can be decoded");
    require(encodeGeneration(*decoded, slots) == again, "a generation comes back as it was");
    return 0;
}
