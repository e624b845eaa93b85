#pragma once

#include "catkinwing/Coordination/EtcdStore.h"

namespace catkinwing {

/// Opens a watch: follows the stream of \p request, which is given a server of
/// \p options, and counts what goes wrong in \p counters, if that still lives.
std::unique_ptr<StoreWatch> openEtcdWatch(HttpClient& http, const EtcdStoreOptions& options, std::size_t firstServer,
    HttpClientRequest request, std::weak_ptr<StoreCounters> counters, StoreWatchCallbacks callbacks);

} // namespace catkinwing
