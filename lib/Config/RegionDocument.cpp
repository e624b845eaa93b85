#include "catkinwing/Config/RegionDocument.h"

#include "ReadDocument.h"
#include <absl/container/flat_hash_set.h>

namespace catkinwing {

static void readZone(const ObjectReader& reader, AvailabilityZoneSettings& zone)
{
    reader.read("name", zone.name);
}

static void readLink(const ObjectReader& reader, RegionLink& link)
{
    reader.read("to", link.to);
    reader.read("oneWayLatency", link.oneWayLatency, DurationRange::FromZero);
}

static void readCapabilities(const ObjectReader& reader, EndpointCapabilities& capabilities)
{
    reader.read("priority", capabilities.priority);
    reader.read("cancel", capabilities.cancel);
    reader.read("resume", capabilities.resume);
    reader.read("cacheEvents", capabilities.cacheEvents);
}

static void readRoute(const ObjectReader& reader, IdempotentRoute& route)
{
    reader.read("method", route.method);
    reader.read("pathPrefix", route.pathPrefix);
}

/// Checks the fields that are demanded of engines or that only services have.
static void checkEngine(const ObjectReader& reader, const EndpointSettings& endpoint)
{
    if (endpoint.models.empty())
        reader.report("models", "an engine serves at least one model");
    for (const char* member : { "prefillTokensPerSecond", "decodeTokensPerSecond" }) {
        if (!reader.has(member))
            reader.report(member, "the field is required for an engine");
    }
    if (reader.has("service"))
        reader.report("service", "an engine has no service");
}

/// Checks the fields that are demanded of services or that only engines have.
static void checkService(const ObjectReader& reader, const EndpointSettings& endpoint)
{
    if (!reader.has("service"))
        reader.report("service", "the field is required for a service");
    if (!endpoint.models.empty())
        reader.report("models", "a service has no models");
    if (!endpoint.adapters.empty())
        reader.report("adapters", "a service has no adapters");
}

static void readEndpoint(const ObjectReader& reader, EndpointSettings& endpoint)
{
    std::string kind;
    reader.read("name", endpoint.name);
    reader.read("availabilityZone", endpoint.availabilityZone);
    reader.read("address", endpoint.address, PortRange::AboveZero);
    reader.read("kind", kind);
    reader.read("models", endpoint.models);
    reader.reportRepeats("models", endpoint.models);
    reader.read("adapters", endpoint.adapters);
    reader.reportRepeats("adapters", endpoint.adapters);
    reader.read("service", endpoint.service);
    reader.read("slots", endpoint.slots);
    reader.read("prefillTokensPerSecond", endpoint.prefillTokensPerSecond);
    reader.read("decodeTokensPerSecond", endpoint.decodeTokensPerSecond);
    reader.read("cacheTokens", endpoint.cacheTokens);
    reader.readObject("capabilities", [&](const ObjectReader& member) { readCapabilities(member, endpoint.capabilities); });
    reader.read("honoursFencing", endpoint.honoursFencing);
    reader.read("checksCaller", endpoint.checksCaller);
    reader.read("idempotent", endpoint.idempotent);
    reader.readList("idempotentRoutes", endpoint.idempotentRoutes, readRoute);
    if (kind == "engine")
        checkEngine(reader, endpoint);
    if (kind == "service") {
        endpoint.kind = EndpointKind::Service;
        checkService(reader, endpoint);
    }
}

static std::string addressText(const EndpointSettings& endpoint)
{
    return endpoint.address.host.empty() ? std::string() : endpoint.address.toString();
}

using ZoneNames = absl::flat_hash_set<std::string>;

static ZoneNames zoneNames(const RegionDocument& document)
{
    ZoneNames names;
    for (const AvailabilityZoneSettings& zone : document.availabilityZones)
        names.insert(zone.name);
    return names;
}

static void checkZoneOfEndpoint(const ObjectReader& reader, const EndpointSettings& endpoint, const ZoneNames& zones)
{
    if (!endpoint.availabilityZone.empty() && !zones.contains(endpoint.availabilityZone))
        reader.report("availabilityZone", absl::StrCat("the region has no availability zone '", endpoint.availabilityZone, "'"));
}

static void readRegion(const ObjectReader& reader, RegionDocument& document)
{
    reader.readList("availabilityZones", document.availabilityZones, readZone);
    reader.reportRepeats("availabilityZones", document.availabilityZones, "name", nameOf<AvailabilityZoneSettings>);
    reader.readList("links", document.links, [&](const ObjectReader& item, RegionLink& link) {
        readLink(item, link);
        if (link.to == document.name)
            item.report("to", "a region has no link to itself");
    });
    reader.reportRepeats("links", document.links, "to", [](const RegionLink& link) { return link.to; });
    reader.read("zoneLatency", document.zoneLatency, DurationRange::FromZero);
    reader.read("clientLatency", document.clientLatency, DurationRange::FromZero);
    ZoneNames zones = zoneNames(document);
    reader.readList("endpoints", document.endpoints, [&](const ObjectReader& item, EndpointSettings& endpoint) {
        readEndpoint(item, endpoint);
        checkZoneOfEndpoint(item, endpoint, zones);
    });
    reader.reportRepeats("endpoints", document.endpoints, "name", nameOf<EndpointSettings>);
    reader.reportRepeats("endpoints", document.endpoints, "address", addressText);
}

ConfigResult<RegionDocument> parseRegionDocument(absl::string_view name, absl::string_view text)
{
    return readDocument<RegionDocument>(SchemaKind::Region, text, [name](const ObjectReader& reader, RegionDocument& document) {
        document.name = std::string(name);
        readRegion(reader, document);
    });
}

} // namespace catkinwing
