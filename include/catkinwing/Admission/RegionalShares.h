#pragma once

#include "catkinwing/Admission/AdmissionLimits.h"
#include "catkinwing/Admission/DecayingRate.h"
#include "catkinwing/Admission/ServiceCounter.h"
#include <absl/container/flat_hash_map.h>
#include <map>
#include <optional>
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

/// What the other daemons of the region served of one pool, and the part of a
/// team's weight that therefore counts here.
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
    /// Returns the part of a team's weight that counts here; 1 if no other daemon
    /// serves it, else above 0 and at most 1.5.
    double fraction(const std::string& team, const LocalService& local, TimePoint now) const;

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
        DecayingRate rate;
    };
    /// By source; ordered, so that sums are the same in every run.
    using Counters = std::map<std::string, Counter>;

    double remoteTotal(TimePoint now) const;

    SharePolicy m_policy;
    std::map<std::string, Source> m_sources;
    absl::flat_hash_map<std::string, Counters> m_teams;
    /// The sum over the sources and the time it was made for.
    mutable double m_total { 0 };
    mutable std::optional<TimePoint> m_totalAt;
};

} // namespace catkinwing
