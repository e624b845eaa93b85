#pragma once

#include "catkinwing/Support/Scheduler.h"
#include <absl/status/statusor.h>
#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

namespace catkinwing::standin {

/// What an engine is to hold and do.
struct DesiredState {
    std::vector<std::string> models;
    std::vector<std::string> adapters;
    std::string role;
};

/// An order to an engine.
struct EngineOrder {
    std::int64_t fencing { 0 };
    DesiredState desired;
};

/// Reads {"fencing", "desired": {"models", "adapters", "role"}}.
absl::StatusOr<EngineOrder> parseEngineOrder(const nlohmann::json& document);

/// How the fetch of a weight ended.
struct WeightFetchResult {
    absl::Status status;
    /// When to try again after a failure.
    Duration retryAfter { std::chrono::seconds(1) };
};

/// Fetches the weight of an adapter; calls back later, on the loop.
using WeightFetcher = std::function<void(const std::string& adapter, std::function<void(const WeightFetchResult&)> done)>;

/// The models, adapters and role of an engine, and the orders it took.
class EngineAssignment {
public:
    /// A null \p fetcher makes adapters load at once.
    EngineAssignment(Scheduler& scheduler, DesiredState initial, bool honoursFencing, WeightFetcher fetcher);
    ~EngineAssignment();
    EngineAssignment(const EngineAssignment&) = delete;
    EngineAssignment& operator=(const EngineAssignment&) = delete;

    /// Takes an order; Aborted if the engine honours fencing and its number is old.
    absl::Status take(const EngineOrder& order);
    std::int64_t fencing() const { return m_fencing; }
    const DesiredState& desired() const { return m_desired; }
    /// Returns the adapters that are loaded.
    std::vector<std::string> loadedAdapters() const;
    /// Tells whether requests for \p model can run; an engine without any
    /// assignment runs all.
    bool serves(const std::string& model) const;

private:
    void load(const std::string& adapter);
    void loaded(const std::string& adapter, const WeightFetchResult& result);

    Scheduler& m_scheduler;
    DesiredState m_desired;
    bool m_honoursFencing;
    WeightFetcher m_fetcher;
    std::int64_t m_fencing { 0 };
    std::set<std::string> m_loaded;
    std::set<std::string> m_loading;
    std::shared_ptr<bool> m_alive;
};

} // namespace catkinwing::standin
