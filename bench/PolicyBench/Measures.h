#pragma once

#include "Scenario.h"
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace catkinwing::bench {

/// How a request ended.
enum class Ending {
    Answered,
    /// Told that it was not run.
    Refused,
    /// Given up by the caller at its deadline.
    TimedOut,
    /// Failed, and it may have been run.
    Failed
};

/// What is known of a request at its end.
struct EndedRequest {
    std::string team;
    std::string requestClass;
    Ending ending { Ending::Answered };
    Duration arrivedAt { 0 };
    /// Empty if it had none.
    std::optional<Duration> timeToFirstToken;
    bool forwardedToRegion { false };
    bool forwardedToZone { false };
    /// Attempts after failed ones.
    unsigned retries { 0 };
};

/// Figures of the requests of one class, or of one team and class.
struct GroupFigures {
    std::size_t offered { 0 };
    std::size_t answered { 0 };
    std::size_t refused { 0 };
    std::size_t timedOut { 0 };
    std::size_t failed { 0 };
    std::size_t onTime { 0 };
    std::vector<double> timesToFirstToken;
};

/// Collects what happened in one run and works the figures out.
class Measures {
public:
    explicit Measures(const Scenario& scenario);

    void recordEnd(const EndedRequest& request);
    /// Counts tokens that admission started for a team in a region.
    void recordService(const std::string& region, const std::string& team, double tokens);
    /// Notes the requests waiting for a team in a region; called once a second.
    void recordWaiting(const std::string& region, const std::string& team, std::size_t requests);
    /// Ends the present second.
    void endSecond();
    void recordEngines(const EngineTotals& totals);

    /// Returns all figures of the run.
    nlohmann::json figures() const;
    /// Returns the p99 of the short classes in each ten seconds of arrivals.
    std::vector<double> shortTailByTime() const;
    /// Returns the sorted times to first token of the short classes.
    std::vector<double> shortTimes() const;

    /// One second of a team in a region.
    struct Second {
        double tokens { 0 };
        std::size_t waiting { 0 };
    };

private:
    /// Some seconds in a row of a team in a region.
    struct Window {
        double tokens { 0 };
        bool active { false };
        /// Requests waited in each second.
        bool backlogged { false };
    };
    using RegionTeam = std::pair<std::string, std::string>;

    const ClassPlan& classPlan(const std::string& name) const;
    double shareOf(const std::string& team) const;
    static Window windowOf(const std::vector<Second>& seconds, std::size_t from);
    std::optional<double> shortfallIn(const RegionTeam& key, std::size_t from) const;
    nlohmann::json shortfall() const;

    const Scenario& m_scenario;
    std::map<std::string, GroupFigures> m_byClass;
    std::map<std::string, GroupFigures> m_byTeam;
    std::map<std::size_t, std::vector<double>> m_shortByTime;
    std::map<RegionTeam, std::vector<Second>> m_seconds;
    std::size_t m_second { 0 };
    std::size_t m_offered { 0 };
    std::size_t m_answered { 0 };
    std::size_t m_toRegions { 0 };
    std::size_t m_toZones { 0 };
    std::size_t m_retries { 0 };
    EngineTotals m_engines;
};

/// Returns the value below which \p part of \p samples lie; 0 without samples.
double percentile(std::vector<double> samples, double part);

} // namespace catkinwing::bench
