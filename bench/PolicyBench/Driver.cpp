#include "Driver.h"

#include "catkinwing/Routing/CallerSteering.h"
#include <algorithm>
#include <cmath>

namespace catkinwing::bench {

/// Heartbeats and digests, as the daemons exchange them.
static constexpr Duration heartbeatInterval = std::chrono::seconds(1);
static constexpr Duration regionDigestInterval = std::chrono::seconds(3);
static constexpr Duration remoteDigestInterval = std::chrono::seconds(15);
static constexpr Duration expiryInterval = std::chrono::milliseconds(100);
/// Silence after which a cell counts as unreachable.
static constexpr Duration failureTimeout = std::chrono::seconds(3);
/// Time after the end of the trace in which all requests come to their end.
static constexpr Duration tail = std::chrono::seconds(70);

Driver::Driver(const Scenario& scenario, const PolicySettings& policy, std::uint64_t seed)
    : m_scenario(scenario)
    , m_policy(policy)
    , m_random(seed)
    , m_measures(scenario)
{
    // Slow start must not take the start of the replay for a return.
    m_scheduler.advance(std::chrono::hours(1));
    m_start = m_scheduler.clock().now();
    build(seed);
    for (const FaultPlan& fault : scenario.faults)
        scheduleFault(fault);
}

void Driver::build(std::uint64_t seed)
{
    std::uint64_t next = seed * 1000;
    for (const ZonePlan& zone : m_scenario.zones) {
        for (std::size_t i = 0; i < zone.entries; ++i) {
            EntryParts parts { m_scheduler, m_scenario, m_policy, *this, m_measures };
            m_entries.push_back(std::make_unique<Entry>(parts, zone.name + "-entry" + std::to_string(i), zone.name, zone.region, ++next));
        }
        for (std::size_t i = 0; i < zone.engines; ++i)
            addEngine(zone, i, ++next);
    }
    every(heartbeatInterval, [this] { tellStates(false); });
    every(regionDigestInterval, [this] { tellStates(true); });
    every(regionDigestInterval, [this] { tellDigests(false); });
    every(remoteDigestInterval, [this] { tellDigests(true); });
    every(std::chrono::seconds(1), [this] { sampleWaiting(); });
    every(expiryInterval, [this] {
        for (auto& entry : m_entries)
            entry->expire();
    });
}

void Driver::addEngine(const ZonePlan& zone, std::size_t index, std::uint64_t seed)
{
    m_engines.push_back(std::make_unique<EngineFake>(zone.name + "-engine" + std::to_string(index), m_scenario.engine, m_scheduler, seed));
    m_engineRegions.push_back(zone.region);
    EngineFake& engine = *m_engines.back();
    std::vector<Entry*> entries;
    for (auto& entry : m_entries) {
        if (entry->zone() != zone.name)
            continue;
        entry->addEngine(engine);
        entries.push_back(entry.get());
    }
    std::string name = engine.name();
    engine.onReport = [entries, name](const EndpointLoadReport& report) {
        for (Entry* entry : entries)
            entry->applyReport(name, report);
    };
    engine.onCacheEvent = [entries, name](const CacheEvent& event) {
        for (Entry* entry : entries)
            entry->applyCacheEvent(name, event);
    };
}

void Driver::every(Duration interval, const std::function<void()>& action)
{
    action();
    m_scheduler.callAfter(interval, [this, interval, action] { every(interval, action); });
}

const Measures& Driver::run(const std::vector<TraceRequest>& trace)
{
    for (const TraceRequest& traced : trace) {
        Duration due = m_start + traced.at - m_scheduler.clock().now();
        m_scheduler.advance(due);
        arrive(traced);
    }
    m_scheduler.advance(tail);
    for (const auto& engine : m_engines)
        m_measures.recordEngines(engine->totals());
    return m_measures;
}

RunPointer Driver::makeRun(const TraceRequest& traced)
{
    auto run = std::make_shared<RequestRun>();
    run->id = ++m_lastId;
    run->traced = &traced;
    run->plan = &*std::find_if(m_scenario.classes.begin(), m_scenario.classes.end(), [&](const ClassPlan& plan) { return plan.name == traced.requestClass; });
    run->routing.model = benchModel;
    run->routing.residency = traced.home.empty() ? Residency::unrestricted() : Residency::within({ traced.home });
    run->routing.prefixHashes = scopedPrefixHashes(blockHashes(traced), benchModel, "");
    run->routing.promptTokens = promptTokens(traced, m_scenario.engine.tokensPerBlock);
    run->arrivedAt = m_scheduler.clock().now();
    run->deadline = run->arrivedAt + run->plan->timeout;
    run->returnDelay = m_scenario.clientLatency;
    return run;
}

Entry& Driver::steer(const TraceRequest& traced)
{
    std::vector<EntryView> views;
    std::vector<std::size_t> ofZone;
    std::string region;
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        const Entry& entry = *m_entries[i];
        auto plan = std::find_if(m_scenario.zones.begin(), m_scenario.zones.end(), [&](const ZonePlan& zone) { return zone.name == entry.zone(); });
        EntryView view;
        view.name = entry.name();
        view.zone = entry.zone();
        view.region = entry.region();
        view.models = { benchModel };
        view.weight = static_cast<double>(plan->engines) / static_cast<double>(plan->entries);
        views.push_back(std::move(view));
        if (entry.zone() == traced.zone) {
            ofZone.push_back(i);
            region = entry.region();
        }
    }
    ++m_callers;
    // Callers of a baseline take the entries of their zone in turn.
    if (!m_policy.ours)
        return *m_entries[ofZone[m_callers % ofZone.size()]];
    SteeringRequest request;
    request.residency = traced.home.empty() ? Residency::unrestricted() : Residency::within({ traced.home });
    request.model = benchModel;
    request.team = traced.team;
    request.session = traced.session;
    request.spread = m_random.bits();
    request.zone = traced.zone;
    request.region = region;
    return *m_entries[rankEntries(request, views, m_policy.slowStart, m_scheduler.clock().now()).front()];
}

void Driver::arrive(const TraceRequest& traced)
{
    RunPointer run = makeRun(traced);
    m_open[run->id] = run;
    run->deadlineTimer = m_scheduler.callAfter(run->plan->timeout, [this, run] { deadlinePassed(run); });
    Entry& entry = steer(traced);
    // Set before the caller's bytes arrive, so that a deadline finds them.
    run->origin = &entry;
    run->entry = &entry;
    m_scheduler.callAfter(m_scenario.clientLatency, [run, &entry] { entry.begin(run); });
}

void Driver::deadlinePassed(const RunPointer& run)
{
    if (run->phase == RequestRun::Phase::Done)
        return;
    run->entry->giveUp(run);
    ended(run, Ending::TimedOut);
}

void Driver::ended(const RunPointer& run, Ending ending)
{
    run->phase = RequestRun::Phase::Done;
    m_scheduler.cancel(run->deadlineTimer);
    m_open.erase(run->id);
    if (run->entry != run->origin)
        m_scheduler.callAfter(oneWay(*run->entry, *run->origin), [run] { run->origin->forwardEnded(*run); });
    EndedRequest request;
    request.team = run->traced->team;
    request.requestClass = run->traced->requestClass;
    request.ending = ending;
    request.arrivedAt = run->arrivedAt - m_start;
    request.timeToFirstToken = run->timeToFirstToken;
    request.forwardedToRegion = run->toRegion;
    request.forwardedToZone = run->toZone;
    request.retries = run->retries;
    m_measures.recordEnd(request);
}

Entry& Driver::entryOf(const std::string& zone, const std::string& session, Random& random)
{
    std::vector<ForwardEntry> candidates;
    std::vector<Entry*> entries;
    for (auto& entry : m_entries) {
        if (entry->zone() != zone)
            continue;
        candidates.push_back({ entry->name(), false, true });
        entries.push_back(entry.get());
    }
    return *entries[*chooseEntryForForward(candidates, session, random)];
}

Duration Driver::oneWay(const Entry& from, const Entry& to) const
{
    return from.region() == to.region() ? m_scenario.zoneLatency : m_scenario.regionLatency;
}

bool Driver::isLinked(const Entry& from, const Entry& to) const
{
    return m_cutRegion.empty() || from.region() == to.region() || (from.region() != m_cutRegion && to.region() != m_cutRegion);
}

void Driver::tellStates(bool acrossZones)
{
    for (auto& from : m_entries) {
        EntryState state = from->state();
        for (auto& to : m_entries) {
            bool sameZone = from->zone() == to->zone();
            if (from == to || from->region() != to->region() || sameZone == acrossZones)
                continue;
            m_scheduler.callAfter(oneWay(*from, *to), [target = to.get(), state, sameZone] { target->applyState(state, sameZone); });
        }
    }
    if (acrossZones)
        return;
    for (auto& entry : m_entries)
        entry->tick();
}

void Driver::tellDigests(bool acrossRegions)
{
    std::map<std::string, ZoneDigest> digests;
    std::map<std::string, int> counted;
    for (auto& entry : m_entries) {
        ZoneDigest digest = entry->digest();
        ++counted[digest.zone];
        auto [known, isNew] = digests.emplace(digest.zone, digest);
        if (isNew)
            continue;
        known->second.freeSlots += digest.freeSlots;
        known->second.predictedWait += digest.predictedWait;
    }
    for (auto& [zone, digest] : digests) {
        digest.predictedWait /= counted[zone];
        const Entry& from = entryOf(zone, "", m_random);
        for (auto& to : m_entries) {
            bool isOtherRegion = to->region() != digest.region;
            if (to->zone() == zone || isOtherRegion != acrossRegions || !isLinked(from, *to))
                continue;
            m_scheduler.callAfter(oneWay(from, *to), [target = to.get(), digest = digest] { target->applyDigest(digest); });
        }
    }
}

void Driver::sampleWaiting()
{
    Duration passed = m_scheduler.clock().now() - m_start;
    if (passed >= m_scenario.length)
        return;
    if (passed > Duration::zero())
        m_measures.endSecond();
    for (auto& entry : m_entries) {
        for (const auto& [team, waiting] : entry->waitingByTeam())
            m_measures.recordWaiting(entry->region(), team, waiting);
    }
}

void Driver::scheduleFault(const FaultPlan& fault)
{
    m_scheduler.callAfter(fault.from, [this, fault] { beginFault(fault); });
    if (fault.until > fault.from)
        m_scheduler.callAfter(fault.until, [this, fault] { endFault(fault); });
}

std::vector<EngineFake*> Driver::enginesOf(const FaultPlan& fault)
{
    std::vector<EngineFake*> engines;
    for (std::size_t i = 0; i < m_engines.size(); ++i) {
        if (m_engineRegions[i] == fault.region)
            engines.push_back(m_engines[i].get());
    }
    engines.resize(static_cast<std::size_t>(std::ceil(static_cast<double>(engines.size()) * fault.part)));
    return engines;
}

void Driver::beginFault(const FaultPlan& fault)
{
    if (fault.kind == FaultKind::Partition) {
        m_cutRegion = fault.region;
        cutRuns();
        m_scheduler.callAfter(failureTimeout, [this] {
            for (auto& entry : m_entries) {
                for (const auto& other : m_entries)
                    entry->setReachable(other->zone(), isLinked(*entry, *other));
            }
        });
        return;
    }
    for (EngineFake* engine : enginesOf(fault)) {
        if (fault.kind == FaultKind::EnginesDead)
            engine->setDead(true);
        else if (fault.kind == FaultKind::EngineSlow)
            engine->setSlowFactor(fault.slowFactor);
        else
            engine->clearCache();
    }
}

void Driver::endFault(const FaultPlan& fault)
{
    if (fault.kind == FaultKind::Partition) {
        m_cutRegion.clear();
        for (auto& entry : m_entries) {
            for (const auto& other : m_entries)
                entry->setReachable(other->zone(), true);
        }
        return;
    }
    for (EngineFake* engine : enginesOf(fault)) {
        if (fault.kind == FaultKind::EnginesDead)
            engine->setDead(false);
        else
            engine->setSlowFactor(1);
    }
}

// A forwarded request whose link breaks is lost to its caller; the origin can't
// tell whether it was run.
void Driver::cutRuns()
{
    std::vector<RunPointer> cut;
    for (const auto& [id, run] : m_open) {
        if (run->entry != run->origin && !isLinked(*run->origin, *run->entry))
            cut.push_back(run);
    }
    for (const RunPointer& run : cut) {
        run->entry->giveUp(run);
        run->origin->forwardFailed(run, true);
    }
}

} // namespace catkinwing::bench
