#include "catkinwing/Gateway/EndpointRegistry.h"

#include "catkinwing/Gateway/CallerRequest.h"
#include "catkinwing/Routing/SlowStart.h"
#include "catkinwing/Support/Logging.h"
#include <algorithm>
#include <set>

namespace catkinwing {

EndpointRegistry::EndpointRegistry(std::string self, std::string region, std::string zone, Random& random)
    : m_self(std::move(self))
    , m_region(std::move(region))
    , m_zone(std::move(zone))
    , m_random(random)
    , m_cell(m_region, m_zone)
{
}

static OutlierPolicy outlierPolicy(const GlobalDocument& global)
{
    OutlierPolicy policy;
    policy.consecutiveErrors = static_cast<unsigned>(global.outlierEjection.failureThreshold);
    policy.baseEjection = global.outlierEjection.baseEjectionTime;
    policy.maxEjectedFraction = global.outlierEjection.maximumEjectedFraction;
    policy.slowStart.window = global.slowStart;
    return policy;
}

static std::vector<std::string> modelsOf(const EndpointSettings& settings)
{
    if (settings.kind == EndpointKind::Service)
        return { serviceModelName(settings.service) };
    return settings.models;
}

void EndpointRegistry::configure(const std::shared_ptr<const ConfigSnapshot>& snapshot, TimePoint now)
{
    bool isPolicyNew = !m_snapshot || m_snapshot->global != snapshot->global;
    if (isPolicyNew) {
        m_outliers = OutlierDetector(outlierPolicy(*snapshot->global));
        m_slowStart.window = snapshot->global->slowStart;
    }
    m_snapshot = snapshot;
    std::map<std::string, const EndpointSettings*> wanted;
    for (const EndpointSettings* settings : endpointsInZone(*snapshot, m_region, m_zone))
        wanted[settings->name] = settings;
    for (const auto& [name, settings] : m_settings) {
        if (wanted.count(name))
            continue;
        std::optional<EndpointHandle> handle = m_cell.find(name);
        if (handle)
            m_prefixes.remove(*handle);
        m_cell.remove(name);
        m_outliers.remove(name);
        m_credits.erase(name);
    }
    m_settings = std::move(wanted);
    for (const auto& [name, settings] : m_settings)
        upsert(*settings, now);
    if (onCapacity)
        onCapacity();
}

void EndpointRegistry::upsert(const EndpointSettings& settings, TimePoint now)
{
    std::optional<EndpointHandle> known = m_cell.find(settings.name);
    EndpointView view = known ? m_cell.endpoint(*known) : EndpointView {};
    view.name = settings.name;
    view.zone = settings.availabilityZone;
    view.models = modelsOf(settings);
    view.adapters = settings.adapters;
    view.slots = static_cast<unsigned>(settings.slots);
    if (!known)
        view.credits = view.slots;
    if (!known && settings.prefillTokensPerSecond > 0)
        view.prefillTokensPerSecond = settings.prefillTokensPerSecond;
    if (!known && settings.decodeTokensPerSecond > 0)
        view.decodeTokensPerSecond = settings.decodeTokensPerSecond / settings.slots;
    EndpointHandle handle = m_cell.upsert(std::move(view));
    m_outliers.add(settings.name, modelsOf(settings).empty() ? "" : modelsOf(settings).front(), m_cell.endpoint(handle).incarnation, now);
    refresh(handle, now);
}

void EndpointRegistry::refresh(EndpointHandle handle, TimePoint now)
{
    const std::string name = m_cell.endpoint(handle).name;
    const LifecycleStatus* status = m_lifecycle.status(name);
    EndpointState state = EndpointState::Live;
    if (status && status->leaving)
        state = EndpointState::Leaving;
    else if (m_outliers.isEjected(name))
        state = EndpointState::Ejected;
    double weight = state == EndpointState::Live ? m_outliers.weight(name, now) : 1;
    m_cell.modify(handle, [&](EndpointView& view) {
        view.state = state;
        view.slowStartWeight = std::max(weight, m_slowStart.initialWeight);
        if (status)
            view.incarnation = status->incarnation;
    });
    if (status)
        m_prefixes.setIncarnation(handle, status->incarnation);
}

LifecycleChange EndpointRegistry::record(const LifecycleReport& sign, TimePoint now)
{
    LifecycleChange change = m_lifecycle.record(sign, now);
    if (change == LifecycleChange::None)
        return change;
    std::optional<EndpointHandle> handle = m_cell.find(sign.endpoint);
    if (handle)
        refresh(*handle, now);
    logChange(LogLevel::Info, change == LifecycleChange::Leaving ? "endpoint_leaving" : "endpoint_started", { { "endpoint", sign.endpoint }, { "incarnation", sign.incarnation } });
    if (change == LifecycleChange::Started && onCapacity)
        onCapacity();
    return change;
}

void EndpointRegistry::applyInstances(const std::vector<Instance>& instances, TimePoint now)
{
    for (const Instance& instance : instances) {
        if (!m_settings.count(instance.id))
            continue;
        bool isLeaving = instance.state == InstanceState::Leaving;
        if (record({ instance.id, instance.incarnation, LifecycleSource::InstanceList, isLeaving }, now) == LifecycleChange::Leaving && onLeaving)
            onLeaving({ instance.id, instance.incarnation });
    }
}

bool EndpointRegistry::applyPeerLeaving(const EndpointLeaving& leaving, TimePoint now)
{
    return record({ leaving.endpoint, leaving.incarnation, LifecycleSource::Peer, true }, now) == LifecycleChange::Leaving;
}

bool EndpointRegistry::applyStatus(const std::string& endpoint, const EndpointStatus& status, TimePoint now)
{
    std::optional<EndpointHandle> handle = m_cell.find(endpoint);
    if (!handle)
        return false;
    LifecycleChange change = record({ endpoint, status.incarnation, LifecycleSource::Endpoint, status.isLeaving }, now);
    m_cell.recordReport(*handle, { now - status.age, status.running, status.waiting, status.queuedPrefillTokens });
    if (change == LifecycleChange::Leaving && onLeaving)
        onLeaving({ endpoint, status.incarnation });
    return change == LifecycleChange::Leaving;
}

bool EndpointRegistry::applyRefusal(EndpointHandle endpoint, TimePoint now)
{
    if (!m_cell.contains(endpoint))
        return false;
    const EndpointView& view = m_cell.endpoint(endpoint);
    EndpointLeaving leaving { view.name, view.incarnation };
    bool isNews = record({ leaving.endpoint, leaving.incarnation, LifecycleSource::Endpoint, true }, now) == LifecycleChange::Leaving;
    if (isNews && onLeaving)
        onLeaving(leaving);
    return isNews;
}

void EndpointRegistry::applyCacheEvents(const std::string& endpoint, const std::vector<CacheEvent>& events)
{
    std::optional<EndpointHandle> handle = m_cell.find(endpoint);
    if (!handle)
        return;
    for (const CacheEvent& event : events)
        m_prefixes.applyEvent(*handle, event);
}

static std::size_t demandFor(const std::vector<GroupDemand>& demand, const EndpointView& view)
{
    std::size_t requests = 0;
    for (const GroupDemand& group : demand) {
        if (std::find(view.models.begin(), view.models.end(), group.group) != view.models.end())
            requests += group.requests;
    }
    return requests;
}

std::size_t EndpointRegistry::creditFor(const EndpointView& view, const std::vector<MemberView>& members, const std::map<std::string, std::size_t>& queued, TimePoint now)
{
    std::vector<EntryDemand> demands;
    std::size_t own = view.ownInFlight;
    for (const std::string& model : view.models) {
        auto waiting = queued.find(model);
        own += waiting == queued.end() ? 0 : waiting->second;
    }
    demands.push_back({ m_self, own });
    for (const MemberView& member : members) {
        if (member.state != MemberState::Dead)
            demands.push_back({ member.identity.ref.name, demandFor(member.demand, view) });
    }
    std::vector<EntryCredit> credits = divideSlots(view.slots, std::move(demands));
    auto mine = std::find_if(credits.begin(), credits.end(), [this](const EntryCredit& credit) { return credit.entry == m_self; });
    std::size_t granted = m_credits[view.name].update(mine->slots, now);
    // One at least: a lost heartbeat must never stop service, and an engine
    // queues what comes on top of its slots.
    return std::max<std::size_t>(granted, 1);
}

void EndpointRegistry::divideCredits(const std::vector<MemberView>& members, const std::map<std::string, std::size_t>& queued, TimePoint now)
{
    for (const auto& [name, settings] : m_settings) {
        std::optional<EndpointHandle> handle = m_cell.find(name);
        if (!handle)
            continue;
        std::size_t credits = creditFor(m_cell.endpoint(*handle), members, queued, now);
        if (credits == m_cell.endpoint(*handle).credits)
            continue;
        m_cell.modify(*handle, [credits](EndpointView& view) { view.credits = static_cast<unsigned>(credits); });
    }
    if (onCapacity)
        onCapacity();
}

void EndpointRegistry::evaluate(TimePoint now)
{
    for (const EjectionChange& change : m_outliers.evaluate(now))
        logChange(LogLevel::Warning, change.cause ? "endpoint_ejected" : "endpoint_returned", { { "endpoint", change.endpoint } });
    for (const auto& [name, settings] : m_settings) {
        std::optional<EndpointHandle> handle = m_cell.find(name);
        if (handle)
            refresh(*handle, now);
    }
}

PlacementResult EndpointRegistry::place(const RoutingRequest& request, TimePoint now)
{
    return choosePlacement(request, m_cell, m_prefixes, m_policy, m_random, now);
}

void EndpointRegistry::began(EndpointHandle endpoint, const RoutingRequest& request, double prefillTokens, TimePoint now)
{
    m_cell.recordDispatch(endpoint, prefillTokens, now);
    m_prefixes.recordDispatch(endpoint, request.prefixHashes);
}

void EndpointRegistry::firstToken(EndpointHandle endpoint, double prefillTokens)
{
    if (m_cell.contains(endpoint))
        m_cell.recordFirstToken(endpoint, prefillTokens);
}

void EndpointRegistry::ended(const EndpointUse& use, TimePoint now)
{
    if (!m_cell.contains(use.endpoint))
        return;
    if (!use.gotFirstToken)
        m_cell.recordFirstToken(use.endpoint, use.prefillTokens);
    m_cell.recordRequestEnded(use.endpoint, now);
    const EndpointView& view = m_cell.endpoint(use.endpoint);
    EndpointOutcome outcome { view.name, view.models.empty() ? "" : view.models.front(), view.incarnation, use.failed, std::nullopt, use.unreachable };
    bool isMeasured = !use.failed && use.gotFirstToken && use.outputTokens > 1;
    if (isMeasured) {
        Duration decodeTime = use.total - use.timeToFirstToken;
        outcome.latency = std::chrono::duration_cast<Duration>(decodeTime / (use.outputTokens - 1));
        // The prefill speed is left as stated: the time to the first token has
        // the endpoint's own queue in it, which the prediction adds by itself.
        m_cell.modify(use.endpoint, [&](EndpointView& changed) {
            updateSpeeds(changed, { 0, Duration::zero(), use.outputTokens - 1, decodeTime, use.total });
        });
    }
    m_outliers.record(outcome, now);
    if (use.failed)
        evaluate(now);
    if (onCapacity)
        onCapacity();
}

const EndpointSettings* EndpointRegistry::settings(EndpointHandle endpoint) const
{
    return m_cell.contains(endpoint) ? settings(m_cell.endpoint(endpoint).name) : nullptr;
}

const EndpointSettings* EndpointRegistry::settings(const std::string& endpoint) const
{
    auto found = m_settings.find(endpoint);
    return found == m_settings.end() ? nullptr : found->second;
}

std::vector<std::string> EndpointRegistry::names() const
{
    std::vector<std::string> names;
    for (const auto& [name, settings] : m_settings)
        names.push_back(name);
    return names;
}

std::vector<EndpointLoad> EndpointRegistry::ownLoad() const
{
    std::vector<EndpointLoad> loads;
    for (const auto& [name, settings] : m_settings) {
        std::optional<EndpointHandle> handle = m_cell.find(name);
        if (handle)
            loads.push_back({ name, m_cell.endpoint(*handle).ownInFlight });
    }
    return loads;
}

unsigned EndpointRegistry::slotsOf(const std::string& model) const
{
    unsigned slots = 0;
    for (EndpointHandle handle : m_cell.endpointsFor(model)) {
        if (m_cell.endpoint(handle).state == EndpointState::Live)
            slots += inFlightLimit(m_cell.endpoint(handle));
    }
    return slots;
}

std::vector<std::string> EndpointRegistry::models() const
{
    std::set<std::string> models;
    for (const auto& [name, settings] : m_settings) {
        for (std::string& model : modelsOf(*settings))
            models.insert(std::move(model));
    }
    return { models.begin(), models.end() };
}

} // namespace catkinwing
