#pragma once

#include <absl/strings/string_view.h>
#include <string>
#include <vector>

namespace catkinwing {

/// Regions in which a team's data may be processed. The default allows no region,
/// so that requests of a team without a known configuration are refused.
struct Residency {
    /// True if every region is allowed; \c regions is then empty.
    bool anywhere { false };
    /// Names of the allowed regions, sorted and without duplicates.
    std::vector<std::string> regions;

    /// Allows every region.
    static Residency unrestricted();
    /// Allows only \p regions, which may be unsorted.
    static Residency within(std::vector<std::string> regions);

    friend bool operator==(const Residency& a, const Residency& b) { return a.anywhere == b.anywhere && a.regions == b.regions; }
};

/// Returns whether data under \p residency may be processed in \p region. Checked
/// before any scoring, and again at dispatch, at each retry and by the receiver
/// of a forward.
bool isAllowed(const Residency& residency, absl::string_view region);

/// Returns the regions that both \p a and \p b allow, possibly none.
Residency stricterOf(const Residency& a, const Residency& b);

/// Returns whether \p residency allows no region at all.
bool allowsNoRegion(const Residency& residency);

} // namespace catkinwing
