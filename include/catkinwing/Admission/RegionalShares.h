#pragma once

#include "catkinwing/Admission/AdmissionLimits.h"
#include "catkinwing/Admission/DecayingRate.h"
#include "catkinwing/Admission/ServiceCounter.h"
#include <absl/container/flat_hash_map.h>
#include <map>
#include <string>

namespace catkinwing {

/// What this daemon served of a pool lately, in tokens a second.
struct LocalService {
    /// To the team in question.
    double team { 0 };
    /// To all teams.
    double all { 0 };
    /// What a backlogged team of its weight, with no other daemon, gets here.
    double level { 0 };
};

/// How a team stands in the region, seen from one of its daemons.
struct RegionalStanding {
    /// This daemon's part of the capacity of the daemons that serve the team; 1
    /// if no other does.
    double part { 1 };
    /// Logarithm of what a team of its weight gets here over what the team gets
    /// in the region: below zero if it has more than its share. Bounded.
    double lean { 0 };
    /// Whether another daemon serves the team.
    bool shared { false };
};

/// The part of a team's weight that counts in a daemon. Adapts from refresh to
/// refresh while the team is backlogged there, and forgets while it isn't.
class WeightShift {
public:
    /// Takes in the standing of a backlogged team.
    void adapt(const RegionalStanding& standing, TimePoint now);
    /// Returns the part of the weight that counts, above 0 and at most 1.5.
    double fraction(const RegionalStanding& standing) const;

private:
    double m_shift { 0 };
    TimePoint m_adaptedAt {};
};

/// What the other daemons of the region served of one pool.
class RegionalShares {
public:
    explicit RegionalShares(const SharePolicy& policy = {});
    /// Takes in a counter. The first word of a source on a team only sets the
    /// baseline; an older life's word, or one that went back, is ignored.
    void apply(const ServiceSource& source, const ServiceCounter& counter, TimePoint now);
    /// Forgets a source that is gone.
    void forget(const std::string& source);
    /// Forgets a team that vanished.
    void forgetTeam(const std::string& team) { m_teams.erase(team); }
    /// Forgets sources without a word for long, whose rates have faded.
    void prune(TimePoint now);
    /// Returns how a team stands, given what this daemon served.
    RegionalStanding standing(const std::string& team, const LocalService& local, TimePoint now) const;

private:
    struct Source {
        std::uint64_t incarnation { 0 };
        DecayingRate total;
        TimePoint heardAt {};
    };
    struct Counter {
        std::uint64_t incarnation { 0 };
        std::uint64_t tokens { 0 };
        TimePoint at {};
        /// When the count last grew.
        TimePoint servedAt {};
        DecayingRate rate;
    };
    /// By source; ordered, so that sums are the same in every run.
    using Counters = std::map<std::string, Counter>;

    SharePolicy m_policy;
    std::map<std::string, Source> m_sources;
    absl::flat_hash_map<std::string, Counters> m_teams;
};

} // namespace catkinwing
