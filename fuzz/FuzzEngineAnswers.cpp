#include "FuzzInput.h"
#include "catkinwing/Gateway/CallerRequest.h"
#include "catkinwing/Gateway/EndpointPoller.h"

using namespace catkinwing;

static void fuzzModelCall(CallerRoute route, const std::string& body)
{
    std::variant<ModelCall, ApiError> parsed = parseModelCall(route, body);
    const auto* call = std::get_if<ModelCall>(&parsed);
    require(!call || call->promptTokens >= 0, "no prompt has fewer than no tokens");
    require(!call || !call->maximumOutputTokens || *call->maximumOutputTokens > 0, "a limit on output leaves some");
}

static void fuzzCacheEvents(absl::string_view body)
{
    absl::StatusOr<CacheEventPage> page = parseCacheEvents(body, { "fitting" });
    if (!page.ok())
        return;
    for (const CacheEvent& event : page->events)
        require(event.sequence <= page->last, "the last event has the highest number");
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    absl::string_view body = textOf(data, size);
    absl::StatusOr<EndpointStatus> status = parseLoadPage(body);
    require(!status.ok() || status->age >= Duration::zero(), "a load page isn't from the future");
    fuzzCacheEvents(body);
    fuzzModelCall(CallerRoute::ChatCompletions, std::string(body));
    fuzzModelCall(CallerRoute::Completions, std::string(body));
    return 0;
}
