#include "catkinwing/Config/References.h"

#include "JsonPointer.h"
#include <absl/container/flat_hash_set.h>
#include <absl/strings/str_cat.h>
#include <algorithm>

namespace catkinwing {

namespace {

    /// Names that references may lead to.
    struct KnownNames {
        absl::flat_hash_set<std::string> adapters;
        absl::flat_hash_set<std::string> services;
    };

    KnownNames collectNames(const ConfigSnapshot& snapshot)
    {
        KnownNames names;
        for (const auto& [name, model] : snapshot.models) {
            for (const AdapterSettings& adapter : model->adapters)
                names.adapters.insert(adapter.name);
        }
        for (const auto& [name, region] : snapshot.regions) {
            for (const EndpointSettings& endpoint : region->document.endpoints)
                names.services.insert(endpoint.service);
        }
        return names;
    }

    /// Gathers the warnings of one document.
    class DocumentCheck {
    public:
        DocumentCheck(const ConfigSnapshot& snapshot, const KnownNames& names, std::vector<ConfigWarning>& warnings)
            : m_snapshot(snapshot)
            , m_names(names)
            , m_warnings(warnings)
        {
        }

        void checkRegion(const RegionDocument& region);
        void checkTeam(const TeamDocument& team);

    private:
        void checkEndpoint(const EndpointSettings& endpoint, const std::string& pointer);
        void checkModels(const std::vector<std::string>& models, const std::string& pointer);
        void checkAdapters(const std::vector<std::string>& adapters, const std::string& pointer);
        void checkKeys(const std::vector<KeySettings>& keys, const KeyIndex& index, const std::string& pointer);
        void checkRegionName(const std::string& name, const std::string& pointer);
        void warn(const std::string& pointer, std::string message) { m_warnings.push_back({ m_path, pointer, std::move(message) }); }

        const ConfigSnapshot& m_snapshot;
        const KnownNames& m_names;
        std::vector<ConfigWarning>& m_warnings;
        DocumentPath m_path;
    };

    void DocumentCheck::checkRegion(const RegionDocument& region)
    {
        m_path = { DocumentKind::Region, region.name };
        for (std::size_t i = 0; i < region.links.size(); ++i)
            checkRegionName(region.links[i].to, memberPointer(itemPointer("/links", i), "to"));
        for (std::size_t i = 0; i < region.endpoints.size(); ++i)
            checkEndpoint(region.endpoints[i], itemPointer("/endpoints", i));
    }

    void DocumentCheck::checkEndpoint(const EndpointSettings& endpoint, const std::string& pointer)
    {
        checkModels(endpoint.models, memberPointer(pointer, "models"));
        checkAdapters(endpoint.adapters, memberPointer(pointer, "adapters"));
    }

    void DocumentCheck::checkTeam(const TeamDocument& team)
    {
        m_path = { DocumentKind::Team, team.name };
        checkKeys(team.keys, m_snapshot.callerKeys, "/keys");
        checkKeys(team.operatorTokens, m_snapshot.operatorTokens, "/operatorTokens");
        checkModels(team.models, "/models");
        checkAdapters(team.adapters, "/adapters");
        for (std::size_t i = 0; i < team.services.size(); ++i) {
            if (!m_names.services.contains(team.services[i].name))
                warn(memberPointer(itemPointer("/services", i), "name"), absl::StrCat("no endpoint serves '", team.services[i].name, "'"));
        }
        if (!team.residency)
            return;
        for (std::size_t i = 0; i < team.residency->regions.size(); ++i)
            checkRegionName(team.residency->regions[i], itemPointer("/residency/regions", i));
    }

    void DocumentCheck::checkModels(const std::vector<std::string>& models, const std::string& pointer)
    {
        for (std::size_t i = 0; i < models.size(); ++i) {
            if (!findModel(m_snapshot, models[i]))
                warn(itemPointer(pointer, i), absl::StrCat("unknown model '", models[i], "'"));
        }
    }

    void DocumentCheck::checkAdapters(const std::vector<std::string>& adapters, const std::string& pointer)
    {
        for (std::size_t i = 0; i < adapters.size(); ++i) {
            if (!m_names.adapters.contains(adapters[i]))
                warn(itemPointer(pointer, i), absl::StrCat("unknown adapter '", adapters[i], "'"));
        }
    }

    void DocumentCheck::checkKeys(const std::vector<KeySettings>& keys, const KeyIndex& index, const std::string& pointer)
    {
        for (std::size_t i = 0; i < keys.size(); ++i) {
            auto found = index.find(keys[i].digest);
            if (found != index.end() && !found->second.team)
                warn(memberPointer(itemPointer(pointer, i), "sha256"), "another team names the same digest, so it is refused for both");
        }
    }

    void DocumentCheck::checkRegionName(const std::string& name, const std::string& pointer)
    {
        if (!findRegion(m_snapshot, name))
            warn(pointer, absl::StrCat("unknown region '", name, "'"));
    }

} // namespace

std::vector<ConfigWarning> findUnresolvedReferences(const ConfigSnapshot& snapshot)
{
    std::vector<ConfigWarning> warnings;
    KnownNames names = collectNames(snapshot);
    DocumentCheck check(snapshot, names, warnings);
    for (const auto& [name, region] : snapshot.regions)
        check.checkRegion(region->document);
    for (const auto& [name, team] : snapshot.teams)
        check.checkTeam(*team);
    return warnings;
}

std::vector<ConfigFault> findUnresolvedReferences(const DaemonSettings& settings, const ConfigSnapshot& snapshot)
{
    const RegionDocument* region = findRegion(snapshot, settings.region);
    if (!region)
        return { { "/region", absl::StrCat("unknown region '", settings.region, "'") } };
    const auto& zones = region->availabilityZones;
    auto isOwnZone = [&](const AvailabilityZoneSettings& zone) { return zone.name == settings.availabilityZone; };
    if (std::none_of(zones.begin(), zones.end(), isOwnZone))
        return { { "/availabilityZone", absl::StrCat("region '", settings.region, "' has no availability zone '", settings.availabilityZone, "'") } };
    return {};
}

} // namespace catkinwing
