#pragma once

#include "catkinwing/Config/RouteTable.h"
#include <string>
#include <vector>

namespace catkinwing {

enum class FindingKind {
    /// The configuration is refused, or requests fail under it.
    Error,
    /// No request is ever subject to the entry.
    NeverMatches,
    /// Two limits of which one can't be reached because of the other.
    Contradiction,
};

/// One place of a configuration that an operator should look at before sending it.
struct ConfigFinding {
    FindingKind kind { FindingKind::Error };
    /// What it is about, such as "route r-1".
    std::string subject;
    std::string message;
};

/// Returns the word for \p kind in reports: "error", "never_matches" or "contradiction".
const char* findingWord(FindingKind kind);

/// Checks a configuration that can be read. The findings come in the order of its routes, services
/// and workspaces and never contain a key.
std::vector<ConfigFinding> checkRouteTable(const RouteTable& table);

/// Returns what speaks against replacing \p current by \p next, beside the findings of next itself.
std::vector<ConfigFinding> checkReplacement(const RouteTable& current, const RouteTable& next);

} // namespace catkinwing
