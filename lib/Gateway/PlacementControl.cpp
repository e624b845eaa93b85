#include "catkinwing/Gateway/PlacementControl.h"

#include <absl/strings/str_cat.h>
#include <cmath>

namespace catkinwing {

static constexpr double bytesPerMegabyte = 1e6;
/// What one zone may take from the weight store; the store's whole rate is
/// shared by all zones.
static constexpr double weightBytesPerSecond = 200 * bytesPerMegabyte;
static constexpr std::chrono::seconds weightBurst { 10 };
/// Time constant of the smoothed demand.
static constexpr double demandMemorySeconds = 60;

static LeaseKeeperOptions leaseOptions(const DaemonSettings& settings, const std::string& holder)
{
    LeaseKeeperOptions options;
    options.key = absl::StrCat("/catkinwing/leases/placement/", settings.region, "/", settings.availabilityZone);
    options.holder = holder;
    return options;
}

static HttpEndpointAdminOptions adminOptions(const DaemonSettings& settings)
{
    HttpEndpointAdminOptions options;
    options.callerName = settings.name;
    return options;
}

PlacementControl::PlacementControl(Store& store, Scheduler& scheduler, Random& random, HttpClient& endpointClient, const DaemonSettings& settings, const std::string& holder, EndpointRegistry& endpoints)
    : m_scheduler(scheduler)
    , m_endpoints(endpoints)
    , m_lease(store, scheduler, random, leaseOptions(settings, holder))
    , m_admin(endpointClient, scheduler, adminOptions(settings))
    , m_sender(m_admin, m_lease, scheduler, {})
    , m_rate(weightBytesPerSecond, weightBurst, scheduler.clock().now())
    , m_orderer(m_lease, m_sender, m_rate, scheduler, {}, [this] { return observe(); })
{
}

void PlacementControl::setCandidate(bool isCandidate)
{
    if (isCandidate == m_isCandidate)
        return;
    m_isCandidate = isCandidate;
    if (isCandidate) {
        m_lease.start();
        m_orderer.start();
        return;
    }
    m_orderer.stop();
    m_lease.stop();
}

void PlacementControl::dropAfterFreeze()
{
    m_lease.dropAfterFreeze();
}

void PlacementControl::configure(const std::shared_ptr<const ConfigSnapshot>& snapshot)
{
    m_snapshot = snapshot;
}

double PlacementControl::rateOf(const Demand& demand, TimePoint now)
{
    double age = std::chrono::duration<double>(now - demand.at).count();
    return demand.tokens * std::exp(-age / demandMemorySeconds) / demandMemorySeconds;
}

void PlacementControl::add(std::map<std::string, Demand>& demands, const std::string& name, double tokens)
{
    TimePoint now = m_scheduler.clock().now();
    Demand& demand = demands[name];
    demand.tokens = rateOf(demand, now) * demandMemorySeconds + tokens;
    demand.at = now;
}

void PlacementControl::noteDemand(const std::string& model, const std::string& adapter, double tokens)
{
    add(m_modelDemand, model, tokens);
    if (!adapter.empty())
        add(m_adapterDemand, adapter, tokens);
}

OrdererView PlacementControl::observe()
{
    OrdererView view;
    if (!m_snapshot)
        return view;
    TimePoint now = m_scheduler.clock().now();
    for (const auto& [name, model] : m_snapshot->models) {
        auto bytes = static_cast<std::uint64_t>(model->sizeMegabytes * bytesPerMegabyte);
        view.input.models[name] = { bytes, "", 1 };
        for (const AdapterSettings& adapter : model->adapters)
            view.input.adapters[adapter.name] = { static_cast<std::uint64_t>(adapter.sizeMegabytes * bytesPerMegabyte), name, 0 };
    }
    for (const auto& [name, demand] : m_modelDemand)
        view.input.modelDemand[name] = rateOf(demand, now);
    for (const auto& [name, demand] : m_adapterDemand)
        view.input.adapterDemand[name] = rateOf(demand, now);
    for (const std::string& name : m_endpoints.names()) {
        const EndpointSettings* settings = m_endpoints.settings(name);
        if (settings->kind != EndpointKind::Engine)
            continue;
        const LifecycleStatus* lifecycle = m_endpoints.lifecycle(name);
        PlannedEndpoint planned;
        planned.name = name;
        planned.capacity = settings->decodeTokensPerSecond;
        planned.isLeaving = lifecycle && lifecycle->leaving;
        planned.current.models.insert(settings->models.begin(), settings->models.end());
        planned.current.adapters.insert(settings->adapters.begin(), settings->adapters.end());
        // An engine has room for what its document names and no more.
        for (const std::string& model : settings->models)
            planned.memoryBytes += view.input.models.count(model) ? view.input.models[model].bytes : 0;
        for (const std::string& adapter : settings->adapters)
            planned.memoryBytes += view.input.adapters.count(adapter) ? view.input.adapters[adapter].bytes : 0;
        view.endpoints.push_back({ name, settings->address, settings->honoursFencing, settings->checksCaller });
        view.input.endpoints.push_back(std::move(planned));
    }
    return view;
}

} // namespace catkinwing
