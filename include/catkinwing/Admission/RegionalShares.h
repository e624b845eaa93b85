#pragma once

#include "catkinwing/Admission/AdmissionLimits.h"
#include "catkinwing/Admission/DecayingRate.h"
#include "catkinwing/Admission/ServiceCounter.h"
#include <absl/container/flat_hash_map.h>
#include <map>
#include <string>

namespace catkinwing {

/// Recent rates at which this daemon served a pool, in tokens per second.
struct LocalServiceRates {
    /// Rate served to the team in question.
    double teamRate { 0 };
    /// Rate served to all teams.
    double totalRate { 0 };
    /// Rate that a backlogged team of the same weight gets here if no other daemon
    /// serves it.
    double fairRate { 0 };
};

/// Service that a team gets in the region relative to its fair share, computed by
/// one daemon.
struct RegionalStanding {
    /// This daemon's share of the capacity of all daemons that serve the team; 1
    /// if no other daemon does.
    double capacityShare { 1 };
    /// Logarithm of the rate that a team of this weight gets here divided by the
    /// rate that the team gets in the region. Negative if the team gets more than
    /// its share. Bounded.
    double logDeficit { 0 };
    /// Whether another daemon serves the team.
    bool isShared { false };
};

/// Adapts the factor by which a team's weight is multiplied in this daemon. The shift of
/// the factor is updated at each refresh while the team is backlogged here, and decays
/// while the team isn't backlogged.
class WeightShift {
public:
    /// Updates the shift from the standing of a backlogged team.
    void adapt(const RegionalStanding& standing, TimePoint now);
    /// Returns the factor for the weight, above 0 and at most 1.5.
    double weightFactor(const RegionalStanding& standing) const;

private:
    double m_shift { 0 };
    TimePoint m_adaptedAt {};
};

/// Tracks the service that the other daemons of the region give from one pool.
class RegionalShares {
public:
    explicit RegionalShares(const SharePolicy& policy = {});
    /// Updates the rates from a received counter. The first counter of a source for
    /// a team only sets the baseline. Counters of an older incarnation, and counters
    /// that decreased, are ignored.
    void apply(const ServiceSource& source, const ServiceCounter& counter, TimePoint now);
    /// Removes a source that has left.
    void removeSource(const std::string& source);
    /// Removes a team that no longer exists.
    void removeTeam(const std::string& team) { m_teams.erase(team); }
    /// Removes sources that have reported nothing for so long that their rates have
    /// decayed.
    void removeExpired(TimePoint now);
    /// Returns the standing of a team, given the rates of this daemon.
    RegionalStanding standing(const std::string& team, const LocalServiceRates& local, TimePoint now) const;

private:
    struct Source {
        std::uint64_t incarnation { 0 };
        DecayingRate total;
        TimePoint reportedAt {};
    };
    struct Counter {
        std::uint64_t incarnation { 0 };
        std::uint64_t tokens { 0 };
        TimePoint reportedAt {};
        /// Time of the last increase of the count.
        TimePoint servedAt {};
        DecayingRate rate;
    };
    /// Counters by source. Ordered, so that floating-point sums are the same in
    /// every run.
    using Counters = std::map<std::string, Counter>;

    SharePolicy m_policy;
    std::map<std::string, Source> m_sources;
    absl::flat_hash_map<std::string, Counters> m_teams;
};

} // namespace catkinwing
