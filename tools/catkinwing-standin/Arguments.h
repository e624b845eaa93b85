#pragma once

#include "catkinwing/PlatformStandin/EndpointStandin.h"
#include "catkinwing/Standin/RawAnswerer.h"
#include "catkinwing/Standin/Services.h"
#include "catkinwing/Standin/StandinServer.h"
#include <absl/status/statusor.h>
#include <optional>
#include <string>

namespace catkinwing::standin {

/// What a stand-in takes the place of.
enum class StandinKind {
    Store,
    Directory,
    Weights,
    Engine,
    Service,
    Raw,
    PlatformStore,
    PlatformEndpoint,
};

/// The command line of a stand-in.
struct Arguments {
    /// Text to print instead of running.
    std::optional<std::string> message;
    StandinKind kind { StandinKind::Store };
    StandinServerOptions server;
    StoreLimits store;
    Duration directoryLag {};
    WeightLimits weights;
    EngineServiceSettings engine;
    /// Weight store of the engine.
    std::optional<SocketAddress> weightServer;
    std::uint64_t adapterMegabytes { 1 };
    PlainServiceSettings service;
    /// File with the answer of the raw stand-in.
    std::string answerFile;
    bool closesAfterAnswer { false };
    platform::EndpointStandinSettings platformEndpoint;
};

/// Reads the command line; InvalidArgument says what is wrong with it.
absl::StatusOr<Arguments> parseArguments(int count, const char* const* arguments);

} // namespace catkinwing::standin
