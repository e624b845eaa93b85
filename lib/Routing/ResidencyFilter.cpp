#include "catkinwing/Routing/ResidencyFilter.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace catkinwing {

Residency Residency::unrestricted()
{
    Residency residency;
    residency.anywhere = true;
    return residency;
}

Residency Residency::within(std::vector<std::string> regions)
{
    std::sort(regions.begin(), regions.end());
    regions.erase(std::unique(regions.begin(), regions.end()), regions.end());
    Residency residency;
    residency.regions = std::move(regions);
    return residency;
}

bool isAllowed(const Residency& residency, absl::string_view region)
{
    if (residency.anywhere)
        return true;
    return std::any_of(residency.regions.begin(), residency.regions.end(), [region](const std::string& allowed) { return allowed == region; });
}

Residency stricterOf(const Residency& a, const Residency& b)
{
    if (a.anywhere)
        return b;
    if (b.anywhere)
        return a;
    // std::set_intersection needs sorted input, but a residency that was not made
    // by within() may be unsorted, and a wrong result would violate residency.
    std::vector<std::string> common;
    std::copy_if(a.regions.begin(), a.regions.end(), std::back_inserter(common), [&b](const std::string& region) { return isAllowed(b, region); });
    return Residency::within(std::move(common));
}

bool allowsNoRegion(const Residency& residency)
{
    return !residency.anywhere && residency.regions.empty();
}

} // namespace catkinwing
