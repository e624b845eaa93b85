#include "Scenario.h"

namespace catkinwing::bench {

using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr const char* question = "question";
static constexpr const char* review = "review";

static std::vector<ZonePlan> manizalesZones()
{
    return { { "caldas-a", "caldas", 2, 2 }, { "caldas-b", "caldas", 1, 2 }, { "antioquia-a", "antioquia", 1, 2 },
        { "antioquia-b", "antioquia", 1, 2 }, { "valle-a", "valle", 1, 2 }, { "valle-b", "valle", 1, 2 } };
}

static std::vector<ZonePlan> swanRiverZones()
{
    return { { "perth-a", "perth", 2, 2 }, { "perth-b", "perth", 1, 2 }, { "kalgoorlie-a", "kalgoorlie", 1, 2 },
        { "kalgoorlie-b", "kalgoorlie", 1, 1 }, { "bunbury-a", "bunbury", 1, 1 }, { "bunbury-b", "bunbury", 1, 1 } };
}

static std::vector<ClassPlan> usualClasses()
{
    return { { question, WorkKind::Short, 4, seconds(10), seconds(2) }, { review, WorkKind::Long, 1, seconds(60), seconds(15) } };
}

static LoadPlan questions(const ZonePlan& zone, const std::string& team, double perSecond)
{
    LoadPlan load;
    load.zone = zone.name;
    load.team = team;
    load.requestClass = question;
    load.perSecond = perSecond;
    load.sessions = 150;
    load.sessionBlocks = 20;
    return load;
}

static LoadPlan reviews(const ZonePlan& zone, const std::string& team, double perSecond)
{
    LoadPlan load;
    load.zone = zone.name;
    load.team = team;
    load.requestClass = review;
    load.perSecond = perSecond;
    load.sessions = 40;
    load.sessionBlocks = 80;
    load.tailTokens = 500;
    load.outputTokens = 400;
    return load;
}

/// What the zones of a deployment ask for, for each engine of theirs.
struct Demand {
    double questionsOfFirst { 1.0 };
    double questionsOfSecond { 0.6 };
    double reviewsOfFirst { 0.06 };
};

/// Adds steady load in proportion to each zone's engines.
static void addLoad(Scenario& scenario, const Demand& demand)
{
    for (const ZonePlan& zone : scenario.zones) {
        auto engines = static_cast<double>(zone.engines);
        scenario.loads.push_back(questions(zone, scenario.teams[0].name, demand.questionsOfFirst * engines));
        scenario.loads.push_back(questions(zone, scenario.teams[1].name, demand.questionsOfSecond * engines));
        scenario.loads.push_back(reviews(zone, scenario.teams[0].name, demand.reviewsOfFirst * engines));
    }
}

static Scenario manizales(const std::string& name)
{
    Scenario scenario;
    scenario.name = name;
    scenario.zones = manizalesZones();
    scenario.teams = { { "fitting", 2 }, { "portal", 1 } };
    scenario.classes = usualClasses();
    return scenario;
}

static Scenario swanRiver(const std::string& name)
{
    Scenario scenario;
    scenario.name = name;
    scenario.zones = swanRiverZones();
    scenario.teams = { { "renewals", 2 }, { "branches", 1 } };
    scenario.classes = usualClasses();
    scenario.zoneLatency = std::chrono::microseconds(500);
    scenario.clientLatency = milliseconds(3);
    return scenario;
}

/// Lets each region have its peak in its own third of the time.
static void addPeaks(Scenario& scenario, double factor)
{
    std::vector<std::string> regions;
    for (const ZonePlan& zone : scenario.zones) {
        if (regions.empty() || regions.back() != zone.region)
            regions.push_back(zone.region);
    }
    Duration part = scenario.length / static_cast<int>(regions.size());
    for (LoadPlan& load : scenario.loads) {
        for (std::size_t i = 0; i < regions.size(); ++i) {
            if (load.zone.compare(0, regions[i].size(), regions[i]) == 0)
                load.phases.push_back({ part * static_cast<int>(i), part * static_cast<int>(i + 1), load.perSecond * factor });
        }
    }
}

static Scenario manizalesPeaks()
{
    Scenario scenario = manizales("manizales-peaks");
    scenario.overload = true;
    addLoad(scenario, {});
    addPeaks(scenario, 2.0);
    return scenario;
}

static Scenario swanRiverPeaks()
{
    Scenario scenario = swanRiver("swan-river-peaks");
    scenario.overload = true;
    addLoad(scenario, { 0.7, 0.8, 0.08 });
    addPeaks(scenario, 2.0);
    return scenario;
}

static Scenario teamFlooding()
{
    Scenario scenario = manizales("team-flooding");
    scenario.overload = true;
    addLoad(scenario, { 1.2, 0.6, 0.03 });
    for (LoadPlan& load : scenario.loads) {
        if (load.team == "portal")
            load.phases.push_back({ seconds(100), seconds(220), load.perSecond * 8 });
    }
    return scenario;
}

static Scenario longReviews()
{
    Scenario scenario = swanRiver("long-reviews");
    scenario.overload = true;
    addLoad(scenario, { 0.5, 0.5, 0.05 });
    for (LoadPlan& load : scenario.loads) {
        if (load.requestClass == review)
            load.phases.push_back({ seconds(60), seconds(260), load.perSecond * 12 });
    }
    return scenario;
}

static Scenario regionLoss()
{
    Scenario scenario = manizales("region-loses-half");
    scenario.overload = true;
    addLoad(scenario, { 1.3, 0.7, 0.05 });
    scenario.faults.push_back({ FaultKind::EnginesDead, seconds(100), seconds(220), "caldas", 0.5, 1 });
    return scenario;
}

static Scenario partitionAndHeal()
{
    Scenario scenario = manizales("partition-and-heal");
    scenario.overload = true;
    addLoad(scenario, { 1.0, 0.6, 0.05 });
    for (LoadPlan& load : scenario.loads) {
        if (load.zone.compare(0, 5, "valle") == 0)
            load.perSecond *= 2;
    }
    scenario.faults.push_back({ FaultKind::Partition, seconds(100), seconds(180), "valle", 1, 1 });
    for (const char* region : { "caldas", "antioquia" })
        scenario.faults.push_back({ FaultKind::CachesCleared, seconds(180), seconds(180), region, 1, 1 });
    return scenario;
}

static Scenario slowEngine()
{
    Scenario scenario = manizales("slow-engine");
    addLoad(scenario, {});
    scenario.faults.push_back({ FaultKind::EngineSlow, seconds(60), seconds(220), "caldas", 0.25, 5 });
    return scenario;
}

static Scenario staleReports()
{
    Scenario scenario = manizales("stale-reports");
    scenario.engine.reportLag = seconds(2);
    addLoad(scenario, { 1.4, 0.8, 0.05 });
    return scenario;
}

/// Three teams of the same share, all with more than they can get: the first
/// uses both zones of a region, the others one each.
static Scenario teamInTwoZones()
{
    Scenario scenario;
    scenario.name = "team-in-two-zones";
    scenario.overload = true;
    scenario.zones = { { "perth-a", "perth", 1, 2 }, { "perth-b", "perth", 1, 2 } };
    scenario.teams = { { "both", 1 }, { "only-a", 1 }, { "only-b", 1 } };
    scenario.classes = { { question, WorkKind::Short, 1, seconds(30), seconds(30) } };
    for (const ZonePlan& zone : scenario.zones) {
        for (const std::string& team : { std::string("both"), zone.name == "perth-a" ? std::string("only-a") : std::string("only-b") }) {
            LoadPlan load = questions(zone, team, 8);
            load.sessions = 0;
            load.sessionBlocks = 0;
            load.tailTokens = 600;
            scenario.loads.push_back(load);
        }
    }
    return scenario;
}

std::vector<Scenario> allScenarios()
{
    return { manizalesPeaks(), swanRiverPeaks(), teamFlooding(), longReviews(), regionLoss(), partitionAndHeal(), slowEngine(), staleReports(), teamInTwoZones() };
}

} // namespace catkinwing::bench
