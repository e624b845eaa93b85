#pragma once

#include "Entry.h"
#include "catkinwing/Support/ManualScheduler.h"

namespace catkinwing::bench {

/// Replays one trace over one policy: builds the entries and engines of a
/// scenario, carries what they tell each other, and brings about the faults.
class Driver final : private Network {
public:
    Driver(const Scenario& scenario, const PolicySettings& policy, std::uint64_t seed);
    /// Runs the whole trace and what it left behind.
    const Measures& run(const std::vector<TraceRequest>& trace);

private:
    Entry& entryOf(const std::string& zone, const std::string& session, Random& random) override;
    Duration oneWay(const Entry& from, const Entry& to) const override;
    bool isLinked(const Entry& from, const Entry& to) const override;
    void ended(const RunPointer& run, Ending ending) override;

    void build(std::uint64_t seed);
    void addEngine(const ZonePlan& zone, std::size_t index, std::uint64_t seed);
    void arrive(const TraceRequest& traced);
    Entry& steer(const TraceRequest& traced);
    RunPointer makeRun(const TraceRequest& traced);
    void deadlinePassed(const RunPointer& run);
    /// Calls \p action now and again after each \p interval.
    void every(Duration interval, const std::function<void()>& action);
    void tellStates(bool acrossZones);
    void tellDigests(bool acrossRegions);
    void sampleWaiting();
    void scheduleFault(const FaultPlan& fault);
    void beginFault(const FaultPlan& fault);
    void endFault(const FaultPlan& fault);
    void cutRuns();
    std::vector<EngineFake*> enginesOf(const FaultPlan& fault);

    const Scenario& m_scenario;
    const PolicySettings& m_policy;
    ManualScheduler m_scheduler;
    TimePoint m_start {};
    Random m_random;
    Measures m_measures;
    std::vector<std::unique_ptr<Entry>> m_entries;
    std::vector<std::unique_ptr<EngineFake>> m_engines;
    /// Region of each engine, in the same order.
    std::vector<std::string> m_engineRegions;
    std::map<RequestId, RunPointer> m_open;
    std::string m_cutRegion;
    RequestId m_lastId { 0 };
    std::uint64_t m_callers { 0 };
};

} // namespace catkinwing::bench
