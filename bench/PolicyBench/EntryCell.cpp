// The part of an entry that deals with its own cell: engines, slots, peers.

#include "Entry.h"
#include <algorithm>

namespace catkinwing::bench {

void Entry::addEngine(EngineFake& engine)
{
    const EngineSettings& settings = engine.settings();
    EndpointView view;
    view.name = engine.name();
    view.zone = zone();
    view.incarnation = "1";
    view.models = { benchModel };
    view.slots = settings.slots;
    view.credits = settings.slots;
    view.prefillTokensPerSecond = settings.prefillTokensPerSecond;
    view.decodeTokensPerSecond = settings.decodeTokensPerSecond;
    view.roundTripTime = m_parts.scenario.zoneLatency;
    EndpointHandle handle = m_cell.upsert(std::move(view));
    m_prefixes.setIncarnation(handle, "1");
    m_outliers.add(engine.name(), benchModel, "1", now());
    m_engines[engine.name()] = &engine;
}

void Entry::applyReport(const std::string& engine, const EndpointLoadReport& report)
{
    m_cell.recordReport(*m_cell.find(engine), report);
}

void Entry::applyCacheEvent(const std::string& engine, const CacheEvent& event)
{
    m_prefixes.applyEvent(*m_cell.find(engine), event);
}

std::size_t Entry::slots() const
{
    std::size_t slots = 0;
    for (EndpointHandle handle : m_cell.endpointsFor(benchModel)) {
        if (m_cell.endpoint(handle).state == EndpointState::Live)
            slots += inFlightLimit(m_cell.endpoint(handle));
    }
    return slots;
}

Duration Entry::plainWait() const
{
    if (m_cell.freeCredits(benchModel) > 0)
        return Duration::zero();
    const EndpointView& endpoint = m_cell.endpoint(m_cell.endpointsFor(benchModel).front());
    return endpoint.requestDuration * (1 + m_waiting) / std::max<std::size_t>(1, slots());
}

EntryState Entry::state() const
{
    EntryState state;
    state.name = m_name;
    state.demand = m_waiting;
    for (EndpointHandle handle : m_cell.endpointsFor(benchModel))
        state.demand += m_cell.endpoint(handle).ownInFlight;
    state.served = m_admission.servedCounters();
    return state;
}

void Entry::applyState(const EntryState& state, bool sameZone)
{
    if (sameZone)
        m_peerDemand[state.name] = state.demand;
    for (const ServiceCounter& counter : state.served)
        m_admission.applyRemoteService({ state.name, 1 }, counter, now());
}

void Entry::tick()
{
    std::size_t own = state().demand;
    for (const auto& [name, engine] : m_engines) {
        std::vector<EntryDemand> demands { { m_name, own } };
        for (const auto& [peer, demand] : m_peerDemand)
            demands.push_back({ peer, demand });
        EndpointHandle handle = *m_cell.find(name);
        std::vector<EntryCredit> credits = divideSlots(m_cell.endpoint(handle).slots, std::move(demands));
        auto mine = std::find_if(credits.begin(), credits.end(), [this](const EntryCredit& credit) { return credit.entry == m_name; });
        std::size_t granted = std::max<std::size_t>(1, m_credits[name].update(mine->slots, now()));
        m_cell.modify(handle, [granted](EndpointView& view) { view.credits = static_cast<unsigned>(granted); });
    }
    m_outliers.evaluate(now());
    refreshEndpoints();
    schedulePump();
}

void Entry::refreshEndpoints()
{
    for (const auto& [name, engine] : m_engines) {
        EndpointState state = m_outliers.isEjected(name) ? EndpointState::Ejected : EndpointState::Live;
        double weight = state == EndpointState::Live ? m_outliers.weight(name, now()) : 1;
        m_cell.modify(*m_cell.find(name), [&](EndpointView& view) {
            view.state = state;
            view.slowStartWeight = std::max(weight, m_parts.policy.slowStart.initialWeight);
        });
    }
}

} // namespace catkinwing::bench
