#include "catkinwing/Config/TeamDocument.h"

#include "ReadDocument.h"
#include <algorithm>

namespace catkinwing {

static void readService(const ObjectReader& reader, TeamService& service)
{
    reader.read("name", service.name);
    reader.read("idempotentMethods", service.idempotentMethods);
}

static void readResidency(const ObjectReader& reader, ResidencySettings& residency)
{
    reader.read("regions", residency.regions);
    reader.reportRepeats("regions", residency.regions);
}

static void readTargets(const ObjectReader& reader, ClassTargets& targets)
{
    reader.read("timeToFirstToken", targets.timeToFirstToken, DurationRange::AboveZero);
    reader.read("timePerToken", targets.timePerToken, DurationRange::AboveZero);
    reader.read("ratio", targets.ratio);
}

static void readClass(const ObjectReader& reader, RequestClass& requestClass)
{
    reader.read("name", requestClass.name);
    reader.read("timeout", requestClass.timeout, DurationRange::AboveZero);
    reader.read("priority", requestClass.priority);
    reader.read("shortRequest", requestClass.shortRequest);
    reader.read("expectedOutputTokens", requestClass.expectedOutputTokens);
    reader.read("maximumSlotFraction", requestClass.maximumSlotFraction);
    reader.readObject("targets", [&](const ObjectReader& member) { readTargets(member, requestClass.targets); });
}

static void readLimits(const ObjectReader& reader, TeamLimitSettings& limits)
{
    reader.read("maximumInFlight", limits.maximumInFlight);
    reader.read("maximumQueued", limits.maximumQueued);
    reader.read("maximumBodyBytes", limits.maximumBodyBytes);
    reader.read("maximumPerCaller", limits.maximumPerCaller);
    reader.read("requestsPerSecond", limits.requestsPerSecond);
}

/// Reports operator tokens that are also keys: a caller must not be an operator.
static void checkTokensAreNoKeys(const ObjectReader& reader, const TeamDocument& document)
{
    absl::flat_hash_set<std::string> keys;
    for (const KeySettings& key : document.keys)
        keys.insert(digestText(key));
    for (std::size_t i = 0; i < document.operatorTokens.size(); ++i) {
        std::string digest = digestText(document.operatorTokens[i]);
        if (!digest.empty() && keys.contains(digest))
            reader.reportItem("operatorTokens", i, "sha256", "a key of the team's callers is no operator token");
    }
}

static void readTeam(const ObjectReader& reader, TeamDocument& document)
{
    reader.read("share", document.share);
    readKeys(reader, "keys", document.keys);
    readKeys(reader, "operatorTokens", document.operatorTokens);
    checkTokensAreNoKeys(reader, document);
    reader.read("models", document.models);
    reader.reportRepeats("models", document.models);
    reader.read("adapters", document.adapters);
    reader.reportRepeats("adapters", document.adapters);
    reader.readList("services", document.services, readService);
    reader.reportRepeats("services", document.services, "name", nameOf<TeamService>);
    reader.readObject("residency", [&](const ObjectReader& member) { readResidency(member, document.residency.emplace()); });
    reader.readList("classes", document.classes, readClass);
    reader.reportRepeats("classes", document.classes, "name", nameOf<RequestClass>);
    reader.read("defaultClass", document.defaultClass);
    if (!document.defaultClass.empty() && !findClass(document, document.defaultClass))
        reader.report("defaultClass", absl::StrCat("the team has no class '", document.defaultClass, "'"));
    reader.readObject("limits", [&](const ObjectReader& member) { readLimits(member, document.limits); });
}

ConfigResult<TeamDocument> parseTeamDocument(absl::string_view name, absl::string_view text)
{
    auto result = readDocument<TeamDocument>(SchemaKind::Team, text, readTeam);
    if (result.ok())
        result.document->name = std::string(name);
    return result;
}

const RequestClass* findClass(const TeamDocument& team, absl::string_view name)
{
    auto found = std::find_if(team.classes.begin(), team.classes.end(), [name](const RequestClass& candidate) { return candidate.name == name; });
    return found == team.classes.end() ? nullptr : &*found;
}

bool mayProcessIn(const TeamDocument& team, absl::string_view region)
{
    if (!team.residency)
        return true;
    const auto& regions = team.residency->regions;
    return std::find(regions.begin(), regions.end(), region) != regions.end();
}

} // namespace catkinwing
