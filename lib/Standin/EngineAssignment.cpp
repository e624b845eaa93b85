#include "catkinwing/Standin/EngineAssignment.h"

#include "catkinwing/Standin/JsonReader.h"
#include <algorithm>
#include <iterator>
#include <utility>

namespace catkinwing::standin {

static bool contains(const std::vector<std::string>& names, const std::string& name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

absl::StatusOr<EngineOrder> parseEngineOrder(const nlohmann::json& document)
{
    JsonReader reader(document);
    EngineOrder order;
    order.fencing = reader.integer("fencing");
    const auto* desired = reader.object("desired");
    if (!reader.status().ok())
        return reader.status();
    if (!document.contains("fencing") || !desired)
        return absl::InvalidArgumentError("an order needs fencing and desired");
    JsonReader fields(*desired);
    order.desired.models = fields.texts("models");
    order.desired.adapters = fields.texts("adapters");
    order.desired.role = fields.text("role");
    if (!fields.status().ok())
        return fields.status();
    return order;
}

EngineAssignment::EngineAssignment(Scheduler& scheduler, DesiredState initial, bool honoursFencing, WeightFetcher fetcher)
    : m_scheduler(scheduler)
    , m_desired(std::move(initial))
    , m_honoursFencing(honoursFencing)
    , m_fetcher(std::move(fetcher))
    , m_loaded(m_desired.adapters.begin(), m_desired.adapters.end())
    , m_alive(std::make_shared<bool>(true))
{
}

EngineAssignment::~EngineAssignment() = default;

absl::Status EngineAssignment::take(const EngineOrder& order)
{
    if (m_honoursFencing && order.fencing < m_fencing)
        return absl::AbortedError("the order has an old fencing number");
    m_fencing = order.fencing;
    m_desired = order.desired;
    for (const std::string& adapter : m_desired.adapters) {
        if (m_loaded.count(adapter) == 0)
            load(adapter);
    }
    for (auto adapter = m_loaded.begin(); adapter != m_loaded.end();)
        adapter = contains(m_desired.adapters, *adapter) ? std::next(adapter) : m_loaded.erase(adapter);
    return absl::OkStatus();
}

std::vector<std::string> EngineAssignment::loadedAdapters() const
{
    return { m_loaded.begin(), m_loaded.end() };
}

bool EngineAssignment::serves(const std::string& model) const
{
    if (m_desired.models.empty() && m_desired.adapters.empty())
        return true;
    return contains(m_desired.models, model) || m_loaded.count(model) != 0;
}

void EngineAssignment::load(const std::string& adapter)
{
    if (!m_fetcher) {
        m_loaded.insert(adapter);
        return;
    }
    if (!m_loading.insert(adapter).second)
        return;
    m_fetcher(adapter, [this, adapter, alive = std::weak_ptr<bool>(m_alive)](const WeightFetchResult& result) {
        if (alive.lock())
            loaded(adapter, result);
    });
}

// An adapter that is no longer wanted when its weight arrives is dropped.
void EngineAssignment::loaded(const std::string& adapter, const WeightFetchResult& result)
{
    m_loading.erase(adapter);
    if (!contains(m_desired.adapters, adapter))
        return;
    if (result.status.ok()) {
        m_loaded.insert(adapter);
        return;
    }
    m_scheduler.callAfter(result.retryAfter, [this, adapter, alive = std::weak_ptr<bool>(m_alive)] {
        if (alive.lock() && contains(m_desired.adapters, adapter) && m_loaded.count(adapter) == 0)
            load(adapter);
    });
}

} // namespace catkinwing::standin
