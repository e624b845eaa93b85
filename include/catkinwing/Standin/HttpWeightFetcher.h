#pragma once

#include "catkinwing/Http/HttpClient.h"
#include "catkinwing/Standin/EngineAssignment.h"

namespace catkinwing::standin {

/// Returns a fetcher that asks the weight store at \p server for \p megabytes
/// for each adapter; \p client must outlive it.
WeightFetcher makeHttpWeightFetcher(HttpClient& client, SocketAddress server, std::uint64_t megabytes);

} // namespace catkinwing::standin
