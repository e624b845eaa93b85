#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace catkinwing::standin {

/// Counts calls by kind and by the role of the caller.
class CallCounters {
public:
    void count(const std::string& kind, const std::string& role);
    /// Returns {"total", "by_kind", "by_role"}.
    nlohmann::json toJson() const;

private:
    using CountsByKind = std::map<std::string, std::uint64_t>;

    std::uint64_t m_total { 0 };
    CountsByKind m_byKind;
    std::map<std::string, CountsByKind> m_byRole;
};

} // namespace catkinwing::standin
