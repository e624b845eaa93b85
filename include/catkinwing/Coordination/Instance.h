#pragma once

#include "catkinwing/Support/SocketAddress.h"
#include <map>
#include <string>
#include <vector>

namespace catkinwing {

/// What the platform says of an instance.
enum class InstanceState {
    Live,
    /// Takes no new work: announced as leaving, or failing its checks.
    Leaving,
};

/// Keys of the metadata that instances of the system and endpoints carry.
constexpr const char* metaZone = "zone";
constexpr const char* metaRegion = "region";
constexpr const char* metaIncarnation = "incarnation";
constexpr const char* metaState = "state";
constexpr const char* metaCallerAddress = "caller_address";
constexpr const char* metaPeerAddress = "peer_address";
constexpr const char* metaOperatorAddress = "operator_address";
constexpr const char* metaStateLive = "live";
constexpr const char* metaStateLeaving = "leaving";

/// One instance in the platform's directory or instance list.
struct Instance {
    /// Unique in the service; stays the same when the process restarts.
    std::string id;
    SocketAddress address;
    InstanceState state { InstanceState::Live };
    std::string zone;
    std::string region;
    /// Differs whenever the process behind the address was replaced; may be empty.
    std::string incarnation;
    /// All metadata, the fields above included.
    std::map<std::string, std::string> meta;
};

bool operator==(const Instance& a, const Instance& b);

} // namespace catkinwing
