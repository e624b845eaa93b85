#pragma once

#include "catkinwing/Support/Clock.h"
#include "catkinwing/Support/Random.h"
#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace catkinwing {

/// Tracks the acceptance of each region for one service: the share of requests
/// that the region accepts, estimated from its refusals. The acceptance is 1 if
/// the region accepts all requests and near 0 if it refuses almost all.
class RegionAcceptance {
public:
    void recordAccepted(const std::string& region, TimePoint now);
    void recordRefused(const std::string& region, TimePoint now);
    /// Returns the acceptance of \p region, between 0 and 1. The acceptance recovers
    /// with time, so that a region that no longer receives requests is tried again.
    double acceptanceOf(const std::string& region, TimePoint now) const;

private:
    struct Estimate {
        double acceptance { 1 };
        TimePoint updatedAt {};
    };

    std::map<std::string, Estimate> m_regions;
};

/// Returns whether to forward a request to another region without trying
/// \p home first. The probability is the share of requests that \p home refuses;
/// it is zero if \p home refuses few requests or none of the regions in \p others,
/// which maps each region to its number of endpoints, accepts a larger share.
bool shouldSpill(const RegionAcceptance& tracker, const std::string& home, const std::map<std::string, std::size_t>& others, TimePoint now, Random& random);

/// Chooses at random among \p regions, which maps each region to its number of
/// endpoints. The weight of a region is its number of endpoints times its
/// acceptance. Returns nothing if all weights are zero.
std::optional<std::string> chooseSpillRegion(const RegionAcceptance& tracker, const std::map<std::string, std::size_t>& regions, TimePoint now, Random& random);

} // namespace catkinwing
