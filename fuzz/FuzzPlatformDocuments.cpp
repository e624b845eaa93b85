#include "FuzzInput.h"
#include "platform/Documents.h"

using namespace catkinwing;

static void fuzzRouteTable(absl::string_view text)
{
    ConfigResult<RouteTable> result = platform::readRouteTable(text);
    if (!result.faults.empty())
        return;
    for (const Route& route : result.document->routes()) {
        require(!route.services.empty(), "a route has a service");
        require(route.timeout > std::chrono::milliseconds::zero(), "a route has a timeout");
        const Route* found = result.document->find(route.host, route.prefix);
        require(found && found->prefix.size() >= route.prefix.size(), "a route is found by its own prefix");
    }
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    absl::string_view text = textOf(data, size);
    fuzzRouteTable(text);
    absl::StatusOr<EndpointRecord> endpoint = platform::readEndpoint("i-1", text);
    require(!endpoint.ok() || endpoint->incarnation == "i-1", "an endpoint is known by its key");
    return 0;
}
