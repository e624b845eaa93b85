#pragma once

#include "catkinwing/Support/Clock.h"
#include "catkinwing/Support/Random.h"
#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace catkinwing {

/// How readily a region takes the requests of one service, learnt from its
/// refusals: one takes everything, near zero refuses nearly everything.
class RegionPressure {
public:
    void noteTaken(const std::string& region, TimePoint now);
    void noteRefused(const std::string& region, TimePoint now);
    /// Returns a figure between zero and one; it recovers with time, so that a
    /// region that is no longer asked is asked again.
    double readiness(const std::string& region, TimePoint now) const;

private:
    struct Learnt {
        double readiness { 1 };
        TimePoint at {};
    };

    std::map<std::string, Learnt> m_regions;
};

/// Tells whether to send a request away at once, without asking \p home first:
/// with the probability by which \p home refuses, unless the others refuse as much.
bool shouldSpill(const RegionPressure& pressure, const std::string& home, const std::map<std::string, std::size_t>& others, TimePoint now, Random& random);

/// Chooses among \p regions, given with their endpoints, by endpoints and readiness.
std::optional<std::string> chooseSpillRegion(const RegionPressure& pressure, const std::map<std::string, std::size_t>& regions, TimePoint now, Random& random);

} // namespace catkinwing
