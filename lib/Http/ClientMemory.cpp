#include "catkinwing/Http/ClientMemory.h"

#include <algorithm>

namespace catkinwing {

/// Fraction of a process's memory that may be held for clients. The rest is for its own state, what
/// the allocator keeps, and a body whose buffer grows, which is there twice then.
static constexpr std::size_t memoryFraction = 2;

const char* heldForName(HeldFor kind)
{
    switch (kind) {
    case HeldFor::Input:
        return "input";
    case HeldFor::Body:
        return "body";
    case HeldFor::Attempt:
        return "attempt";
    case HeldFor::Answer:
        break;
    }
    return "answer";
}

std::size_t ClientMemory::capacityWithin(double megabytes)
{
    constexpr double bytesPerMegabyte = 1e6;
    return megabytes > 0 ? static_cast<std::size_t>(megabytes * bytesPerMegabyte) / memoryFraction : std::numeric_limits<std::size_t>::max();
}

/// The loads of all holders, and for each the holder that it is of.
struct ClientMemory::Loads {
    std::vector<ConnectionLoad> loads;
    std::vector<MemoryHolder*> holders;
};

ClientMemory::Loads ClientMemory::gatherLoads()
{
    Loads gathered;
    for (MemoryHolder* holder : m_holders) {
        holder->appendLoads(gathered.loads);
        gathered.holders.resize(gathered.loads.size(), holder);
    }
    return gathered;
}

void ClientMemory::release(const Loads& loads, const std::vector<std::size_t>& chosen)
{
    for (std::size_t index : chosen) {
        ++m_refusals.yielded;
        loads.holders[index]->release(loads.loads[index].connection);
    }
}

bool ClientMemory::makeRoom(std::size_t bytes)
{
    if (hasRoom(bytes))
        return true;
    if (bytes > m_capacity)
        return false;
    Loads gathered = gatherLoads();
    release(gathered, chooseStalled(gathered.loads, m_used - (m_capacity - bytes)));
    return hasRoom(bytes);
}

void ClientMemory::relieve()
{
    if (m_used <= m_capacity)
        return;
    Loads gathered = gatherLoads();
    release(gathered, chooseYielding(gathered.loads, m_used - m_capacity));
}

std::vector<std::pair<std::string, double>> ClientMemory::gauges() const
{
    std::vector<std::pair<std::string, double>> gauges;
    for (HeldFor kind : { HeldFor::Input, HeldFor::Body, HeldFor::Attempt, HeldFor::Answer })
        gauges.emplace_back(std::string("client_memory_bytes_") + heldForName(kind), static_cast<double>(used(kind)));
    gauges.emplace_back("client_memory_refused_too_large", static_cast<double>(m_refusals.tooLarge));
    gauges.emplace_back("client_memory_refused_no_room", static_cast<double>(m_refusals.noRoom));
    gauges.emplace_back("client_memory_refused_not_in_time", static_cast<double>(m_refusals.timedOut));
    gauges.emplace_back("client_memory_yielded", static_cast<double>(m_refusals.yielded));
    return gauges;
}

void ClientMemory::removeHolder(MemoryHolder& holder)
{
    m_holders.erase(std::remove(m_holders.begin(), m_holders.end(), &holder), m_holders.end());
}

void HeldBytes::set(std::size_t bytes)
{
    if (!m_memory)
        return;
    std::size_t& used = m_memory->m_usedFor[static_cast<std::size_t>(m_kind)];
    used = used - m_bytes + bytes;
    m_memory->m_used = m_memory->m_used - m_bytes + bytes;
    m_bytes = bytes;
}

} // namespace catkinwing
