#include "catkinwing/Standin/CallCounters.h"

namespace catkinwing::standin {

void CallCounters::count(const std::string& kind, const std::string& role)
{
    ++m_total;
    ++m_byKind[kind];
    if (!role.empty())
        ++m_byRole[role][kind];
}

nlohmann::json CallCounters::toJson() const
{
    return {
        { "total", m_total },
        { "by_kind", m_byKind },
        { "by_role", m_byRole },
    };
}

} // namespace catkinwing::standin
