#pragma once

#include "catkinwing/Standin/EngineAssignment.h"
#include "catkinwing/Standin/EngineModel.h"
#include "catkinwing/Standin/StandinFrontend.h"
#include "catkinwing/Standin/StoreState.h"
#include "catkinwing/Standin/WeightQueue.h"
#include <memory>
#include <string>

namespace catkinwing::standin {

/// Settings of the engine beyond its speed.
struct EngineServiceSettings {
    EngineSettings engine;
    DesiredState initial;
    bool honoursFencing { false };
    /// Names this start of the engine.
    std::string incarnation;
    std::size_t defaultOutputTokens { 16 };
};

/// Settings of the plain service.
struct PlainServiceSettings {
    std::string name { "service" };
    /// Time from the start of an execution to its answer.
    Duration delay {};
};

/// Makes the key-value store, which speaks the published etcd v3 JSON gateway.
std::unique_ptr<StandinService> makeStoreService(Scheduler& scheduler, ExecutionLog& log, StoreLimits limits);
/// Makes the directory, which speaks the published Consul catalog and health API.
std::unique_ptr<StandinService> makeDirectoryService(Scheduler& scheduler, ExecutionLog& log, Duration lag);
/// Makes the rate-limited weight store.
std::unique_ptr<StandinService> makeWeightsService(Scheduler& scheduler, ExecutionLog& log, WeightLimits limits);
/// Makes the OpenAI-compatible engine; a null \p fetcher loads adapters at once.
std::unique_ptr<StandinService> makeEngineService(Scheduler& scheduler, ExecutionLog& log, EngineServiceSettings settings, WeightFetcher fetcher);
/// Makes the plain service.
std::unique_ptr<StandinService> makePlainService(Scheduler& scheduler, ExecutionLog& log, PlainServiceSettings settings);

} // namespace catkinwing::standin
