#pragma once

#include "catkinwing/Config/ConfigFault.h"
#include "catkinwing/Support/Clock.h"
#include "catkinwing/Support/SocketAddress.h"
#include <absl/strings/string_view.h>
#include <cstdint>
#include <string>
#include <vector>

namespace catkinwing {

/// An availability zone of a region.
struct AvailabilityZoneSettings {
    std::string name;
};

/// The link from a region to another.
struct RegionLink {
    std::string to;
    Duration oneWayLatency {};
};

/// Kinds of endpoint.
enum class EndpointKind {
    Engine,
    Service,
};

/// What an engine can do beyond answering.
struct EndpointCapabilities {
    bool priority { false };
    bool cancel { false };
    bool resume { false };
    bool cacheEvents { false };
};

/// A route whose requests are idempotent.
struct IdempotentRoute {
    std::string method;
    /// Matches whole segments of the path.
    std::string pathPrefix;
};

/// A model engine or an instance of a plain service.
struct EndpointSettings {
    std::string name;
    std::string availabilityZone;
    SocketAddress address;
    EndpointKind kind { EndpointKind::Engine };
    /// Models that an engine can serve.
    std::vector<std::string> models;
    /// Adapters that an engine can load.
    std::vector<std::string> adapters;
    /// Name of the plain service; empty for an engine.
    std::string service;
    /// Requests that the endpoint runs at a time.
    int slots { 1 };
    double prefillTokensPerSecond { 0 };
    /// Over all slots together.
    double decodeTokensPerSecond { 0 };
    /// Prompt tokens that the prefix cache holds.
    std::int64_t cacheTokens { 0 };
    EndpointCapabilities capabilities;
    /// Refuses an order that carries an old fencing number.
    bool honoursFencing { false };
    /// Checks who gives it an order.
    bool checksCaller { false };
    /// Every request to the endpoint is idempotent.
    bool idempotent { false };
    std::vector<IdempotentRoute> idempotentRoutes;
};

/// One region with its availability zones, links and endpoints.
struct RegionDocument {
    std::string name;
    std::vector<AvailabilityZoneSettings> availabilityZones;
    std::vector<RegionLink> links;
    /// One-way latency between two availability zones of the region.
    Duration zoneLatency { std::chrono::milliseconds(1) };
    /// One-way latency between a client and the region.
    Duration clientLatency { std::chrono::milliseconds(1) };
    std::vector<EndpointSettings> endpoints;
};

/// Reads the document `regions/NAME` of the region \p name.
ConfigResult<RegionDocument> parseRegionDocument(absl::string_view name, absl::string_view text);

} // namespace catkinwing
