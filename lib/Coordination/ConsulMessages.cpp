#include "ConsulMessages.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace catkinwing {

using Json = nlohmann::json;

std::string registerBody(const Instance& instance, const std::string& service)
{
    std::map<std::string, std::string> meta = instance.meta;
    meta[metaZone] = instance.zone;
    meta[metaRegion] = instance.region;
    meta[metaIncarnation] = instance.incarnation;
    meta[metaState] = instance.state == InstanceState::Live ? metaStateLive : metaStateLeaving;
    Json entry = {
        { "ID", instance.id },
        { "Service", service },
        { "Address", instance.address.host },
        { "Port", instance.address.port },
        { "Meta", meta },
    };
    // Each instance is a node of its own, so that its entry depends on no agent.
    Json body = {
        { "Node", instance.id },
        { "Address", instance.address.host },
        { "SkipNodeUpdate", false },
        { "Service", entry },
    };
    return body.dump();
}

std::string deregisterBody(const std::string& instanceId)
{
    return Json { { "Node", instanceId }, { "ServiceID", instanceId } }.dump();
}

static std::string readText(const Json& object, const char* name)
{
    auto field = object.find(name);
    return field != object.end() && field->is_string() ? field->get<std::string>() : std::string();
}

static bool readAddress(const Json& entry, const Json& service, SocketAddress& address)
{
    address.host = readText(service, "Address");
    // An entry without an address of its own has its node's.
    auto node = entry.find("Node");
    if (address.host.empty() && node != entry.end() && node->is_object())
        address.host = readText(*node, "Address");
    auto port = service.find("Port");
    constexpr std::uint64_t highestPort = 65535;
    if (port == service.end() || !port->is_number_unsigned() || port->get<std::uint64_t>() > highestPort)
        return false;
    address.port = port->get<std::uint16_t>();
    return !address.host.empty() && address.port != 0;
}

static bool isFailingCheck(const Json& check)
{
    return check.is_object() && readText(check, "Status") == "critical";
}

static bool hasFailingCheck(const Json& entry)
{
    auto checks = entry.find("Checks");
    if (checks == entry.end() || !checks->is_array())
        return false;
    return std::any_of(checks->begin(), checks->end(), isFailingCheck);
}

static void readMeta(const Json& service, std::map<std::string, std::string>& meta)
{
    auto field = service.find("Meta");
    if (field == service.end() || !field->is_object())
        return;
    for (const auto& item : field->items()) {
        if (item.value().is_string())
            meta[item.key()] = item.value().get<std::string>();
    }
}

static bool readInstance(const Json& entry, Instance& instance)
{
    if (!entry.is_object())
        return false;
    auto service = entry.find("Service");
    if (service == entry.end() || !service->is_object())
        return false;
    instance.id = readText(*service, "ID");
    if (instance.id.empty() || !readAddress(entry, *service, instance.address))
        return false;
    readMeta(*service, instance.meta);
    instance.zone = instance.meta[metaZone];
    instance.region = instance.meta[metaRegion];
    instance.incarnation = instance.meta[metaIncarnation];
    bool isLeaving = instance.meta[metaState] == metaStateLeaving || hasFailingCheck(entry);
    instance.state = isLeaving ? InstanceState::Leaving : InstanceState::Live;
    return true;
}

absl::StatusOr<std::vector<Instance>> readHealth(absl::string_view body, std::size_t& unreadable)
{
    Json answer = Json::parse(body.begin(), body.end(), nullptr, false);
    if (!answer.is_array())
        return absl::UnavailableError("malformed answer of the directory");
    std::vector<Instance> instances;
    for (const auto& entry : answer) {
        Instance instance;
        if (readInstance(entry, instance))
            instances.push_back(std::move(instance));
        else
            ++unreadable;
    }
    std::sort(instances.begin(), instances.end(), [](const auto& a, const auto& b) { return a.id < b.id; });
    return instances;
}

} // namespace catkinwing
