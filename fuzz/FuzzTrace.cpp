#include "FuzzInput.h"
#include "catkinwing/Replay/Trace.h"

using namespace catkinwing;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    absl::StatusOr<std::vector<TraceRequest>> trace = parseTrace(textOf(data, size));
    if (!trace.ok())
        return 0;
    for (std::size_t index = 1; index < trace->size(); ++index)
        require((*trace)[index - 1].at <= (*trace)[index].at, "requests are in the order of time");
    return 0;
}
