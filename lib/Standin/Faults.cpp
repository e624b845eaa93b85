#include "catkinwing/Standin/Faults.h"

#include "catkinwing/Standin/JsonReader.h"
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <iterator>

namespace catkinwing::standin {

namespace {

    template <typename Value>
    using FaultMember = std::optional<Fault<Value>> FaultSettings::*;

    template <typename Value>
    struct NamedFault {
        const char* name;
        FaultMember<Value> member;
    };

} // namespace

constexpr NamedFault<bool> flagFaults[] = {
    { "down", &FaultSettings::down },
    { "hang", &FaultSettings::hang },
    { "refuse", &FaultSettings::refuse },
    { "loseAnswer", &FaultSettings::loseAnswer },
    { "readOnly", &FaultSettings::readOnly },
    { "leaving", &FaultSettings::leaving },
};
constexpr NamedFault<std::int64_t> countFaults[] = {
    { "cutAfterBytes", &FaultSettings::cutAfterBytes },
    { "cutAfterEvents", &FaultSettings::cutAfterEvents },
};
constexpr const char* otherFaults[] = { "delay", "garbage", "slow", "blockFrom" };
constexpr const char* triggerFields[] = { "value", "probability", "times", "path" };
constexpr const char* garbageJson = "json";
constexpr const char* garbageHttp = "http";
constexpr const char* leftoverFault = "leftover";

static bool readValue(JsonReader& reader, bool& value)
{
    value = reader.flag("value");
    return value;
}

static bool readValue(JsonReader& reader, std::int64_t& value)
{
    value = reader.integer("value");
    return true;
}

static bool readValue(JsonReader& reader, Duration& value)
{
    value = reader.duration("value");
    return value > Duration::zero();
}

static bool readValue(JsonReader& reader, std::string& value)
{
    value = reader.text("value");
    return !value.empty();
}

static absl::Status inField(const char* name, const absl::Status& status)
{
    return absl::InvalidArgumentError(absl::StrCat("fault \"", name, "\": ", status.message()));
}

// A plain value stands for an object that has only the value; without a value,
// the object itself switches the fault on.
static nlohmann::json expand(const nlohmann::json& fault)
{
    if (!fault.is_object())
        return { { "value", fault } };
    nlohmann::json expanded = fault;
    if (!expanded.contains("value"))
        expanded["value"] = true;
    return expanded;
}

static absl::Status checkTrigger(const nlohmann::json& fault, const FaultTrigger& trigger)
{
    for (const auto& field : fault.items()) {
        if (std::find(std::begin(triggerFields), std::end(triggerFields), field.key()) == std::end(triggerFields))
            return absl::InvalidArgumentError(absl::StrCat("unknown field \"", field.key(), "\""));
    }
    if (trigger.probability < 0 || trigger.probability > 1)
        return absl::InvalidArgumentError("field \"probability\" is not between 0 and 1");
    if (trigger.times && *trigger.times < 0)
        return absl::InvalidArgumentError("field \"times\" is negative");
    return absl::OkStatus();
}

template <typename Value>
static absl::Status parseFault(const nlohmann::json& document, const char* name, std::optional<Fault<Value>>& result)
{
    if (!document.contains(name))
        return absl::OkStatus();
    nlohmann::json expanded = expand(document.at(name));
    JsonReader reader(expanded);
    Fault<Value> fault;
    bool isOn = readValue(reader, fault.value);
    fault.trigger.probability = reader.number("probability", 1);
    if (expanded.contains("times"))
        fault.trigger.times = reader.integer("times");
    fault.trigger.path = reader.text("path");
    if (!reader.status().ok())
        return inField(name, reader.status());
    if (absl::Status status = checkTrigger(expanded, fault.trigger); !status.ok())
        return inField(name, status);
    if (isOn)
        result = std::move(fault);
    return absl::OkStatus();
}

static absl::Status needsRaw(const char* name)
{
    return absl::UnimplementedError(absl::StrCat("fault \"", name, "\": HTTP library can't send this, use the raw stand-in"));
}

static absl::Status parseGarbage(const nlohmann::json& document, FaultSettings& settings)
{
    std::optional<Fault<std::string>> named;
    absl::Status status = parseFault(document, "garbage", named);
    if (!status.ok() || !named)
        return status;
    if (named->value == garbageHttp)
        return needsRaw("garbage");
    if (named->value != garbageJson)
        return inField("garbage", absl::InvalidArgumentError("value is not \"json\""));
    settings.garbage = Fault<bool> { true, named->trigger };
    return absl::OkStatus();
}

static absl::Status parseCut(const nlohmann::json& document, const char* name, std::optional<Fault<std::int64_t>>& result)
{
    absl::Status status = parseFault(document, name, result);
    if (status.ok() && result && result->value < 1)
        return inField(name, absl::InvalidArgumentError("value is below one"));
    return status;
}

static bool isKnownFault(const std::string& name)
{
    auto hasName = [&name](const auto& fault) { return name == fault.name; };
    return std::any_of(std::begin(flagFaults), std::end(flagFaults), hasName)
        || std::any_of(std::begin(countFaults), std::end(countFaults), hasName)
        || std::find(std::begin(otherFaults), std::end(otherFaults), name) != std::end(otherFaults);
}

static absl::Status parseStates(const nlohmann::json& document, FaultSettings& settings)
{
    JsonReader reader(document);
    settings.slow = reader.number("slow", 1);
    settings.blockFrom = reader.texts("blockFrom");
    if (reader.status().ok() && settings.slow <= 0)
        return inField("slow", absl::InvalidArgumentError("factor is not above zero"));
    return reader.status();
}

absl::StatusOr<FaultSettings> parseFaults(const nlohmann::json& document)
{
    FaultSettings settings;
    absl::Status status;
    for (const auto& field : document.items()) {
        if (field.key() == leftoverFault)
            return needsRaw(leftoverFault);
        if (!isKnownFault(field.key()))
            return absl::InvalidArgumentError(absl::StrCat("unknown fault \"", field.key(), "\""));
    }
    for (const auto& fault : flagFaults)
        status.Update(parseFault(document, fault.name, settings.*fault.member));
    for (const auto& fault : countFaults)
        status.Update(parseCut(document, fault.name, settings.*fault.member));
    status.Update(parseFault(document, "delay", settings.delay));
    status.Update(parseGarbage(document, settings));
    status.Update(parseStates(document, settings));
    if (!status.ok())
        return status;
    return settings;
}

static nlohmann::json valueToJson(bool value) { return value; }
static nlohmann::json valueToJson(std::int64_t value) { return value; }
static nlohmann::json valueToJson(const std::string& value) { return value; }

static nlohmann::json valueToJson(Duration value)
{
    return absl::StrCat(std::chrono::duration_cast<std::chrono::microseconds>(value).count(), "us");
}

template <typename Value>
static void writeFault(nlohmann::json& document, const char* name, const std::optional<Fault<Value>>& fault)
{
    if (!fault)
        return;
    nlohmann::json written = {
        { "value", valueToJson(fault->value) },
        { "probability", fault->trigger.probability },
    };
    if (fault->trigger.times)
        written["times"] = *fault->trigger.times;
    if (!fault->trigger.path.empty())
        written["path"] = fault->trigger.path;
    document[name] = std::move(written);
}

nlohmann::json faultsToJson(const FaultSettings& settings)
{
    nlohmann::json document = nlohmann::json::object();
    for (const auto& fault : flagFaults)
        writeFault(document, fault.name, settings.*fault.member);
    for (const auto& fault : countFaults)
        writeFault(document, fault.name, settings.*fault.member);
    writeFault(document, "delay", settings.delay);
    if (settings.garbage)
        writeFault(document, "garbage", std::make_optional(Fault<std::string> { garbageJson, settings.garbage->trigger }));
    document["slow"] = settings.slow;
    document["blockFrom"] = settings.blockFrom;
    return document;
}

static bool strikes(FaultTrigger& trigger, const CallIdentity& call, Random& random)
{
    if (!absl::StartsWith(call.path, trigger.path))
        return false;
    if (trigger.times && *trigger.times == 0)
        return false;
    if (trigger.probability < 1 && random.unit() >= trigger.probability)
        return false;
    if (trigger.times)
        --*trigger.times;
    return true;
}

template <typename Value>
static bool draw(std::optional<Fault<Value>>& fault, const CallIdentity& call, Random& random)
{
    return fault && strikes(fault->trigger, call, random);
}

FaultPlan drawFaults(FaultSettings& settings, const CallIdentity& call, Random& random)
{
    FaultPlan plan;
    bool isBlocked = !call.from.empty()
        && std::find(settings.blockFrom.begin(), settings.blockFrom.end(), call.from) != settings.blockFrom.end();
    plan.down = isBlocked || draw(settings.down, call, random);
    // A request that never gets in uses up no other fault.
    if (plan.down)
        return plan;
    plan.hang = draw(settings.hang, call, random);
    plan.refuse = draw(settings.refuse, call, random);
    plan.loseAnswer = draw(settings.loseAnswer, call, random);
    plan.readOnly = draw(settings.readOnly, call, random);
    plan.leaving = draw(settings.leaving, call, random);
    if (draw(settings.delay, call, random))
        plan.delay = settings.delay->value;
    if (draw(settings.cutAfterBytes, call, random))
        plan.cutAfterBytes = settings.cutAfterBytes->value;
    if (draw(settings.cutAfterEvents, call, random))
        plan.cutAfterEvents = settings.cutAfterEvents->value;
    plan.garbage = draw(settings.garbage, call, random);
    return plan;
}

} // namespace catkinwing::standin
