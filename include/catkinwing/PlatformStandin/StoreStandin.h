#pragma once

#include "catkinwing/Standin/StandinFrontend.h"
#include "catkinwing/Standin/StoreState.h"

namespace catkinwing::platform {

/// Makes a stand-in for the platform's store: keys, leases, watches that end
/// when their history is gone, and the faults that every stand-in has.
std::unique_ptr<standin::StandinService> makeStoreStandin(Scheduler& scheduler, standin::ExecutionLog& log, standin::StoreLimits limits);

} // namespace catkinwing::platform
