#pragma once

#include "catkinwing/Http/MemoryPressure.h"
#include <array>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace catkinwing {

/// What bytes that are held for clients belong to.
enum class HeldFor {
    /// Input that isn't parsed yet, and what HTTP/2 keeps of a connection's streams.
    Input,
    /// Bodies of requests, from their first byte until their request has ended.
    Body,
    /// Room for the copies that attempts make of these bodies.
    Attempt,
    /// Answers that their clients haven't taken yet.
    Answer,
};

/// Returns the name of a kind in metrics.
const char* heldForName(HeldFor kind);

/// How often memory was refused to clients or taken from them.
struct MemoryRefusals {
    /// Bodies above the limit of their listener.
    std::uint64_t tooLarge { 0 };
    /// Bodies that there was no room for.
    std::uint64_t noRoom { 0 };
    /// Bodies that didn't arrive in time.
    std::uint64_t timedOut { 0 };
    /// Connections that had to release what was held for them.
    std::uint64_t yielded { 0 };
};

/// Connections that can be asked to release what is held for them.
class MemoryHolder {
public:
    virtual ~MemoryHolder() = default;
    /// Appends the loads of all connections that could release something.
    virtual void appendLoads(std::vector<ConnectionLoad>& loads) = 0;
    /// Refuses or closes the connection that appendLoads() named \p connection.
    virtual void release(std::uint64_t connection) = 0;
};

/// Counts the bytes that a process holds for its clients, over all of its listeners, from their
/// arrival until they are released, and decides who yields when there are too many.
class ClientMemory {
public:
    /// \p capacity is the number of bytes above which connections have to yield.
    explicit ClientMemory(std::size_t capacity = std::numeric_limits<std::size_t>::max())
        : m_capacity(capacity)
    {
    }
    ClientMemory(const ClientMemory&) = delete;
    ClientMemory& operator=(const ClientMemory&) = delete;

    /// Returns the capacity that leaves a process of \p megabytes, of 1,000,000 bytes, the room that
    /// it needs besides; no bound if that is zero.
    static std::size_t capacityWithin(double megabytes);

    std::size_t capacity() const { return m_capacity; }
    std::size_t used() const { return m_used; }
    std::size_t used(HeldFor kind) const { return m_usedFor[static_cast<std::size_t>(kind)]; }
    /// Tells whether \p bytes more stay within the capacity.
    bool hasRoom(std::size_t bytes) const { return m_used <= m_capacity && bytes <= m_capacity - m_used; }

    /// Lets stalled connections yield if that makes room for \p bytes more; returns whether there
    /// is room then.
    bool makeRoom(std::size_t bytes);
    /// Lets connections yield until the capacity isn't exceeded, or none is left that should.
    void relieve();

    void addHolder(MemoryHolder& holder) { m_holders.push_back(&holder); }
    void removeHolder(MemoryHolder& holder);

    MemoryRefusals& refusals() { return m_refusals; }
    /// Returns what is held and refused, by the names of metrics.
    std::vector<std::pair<std::string, double>> gauges() const;

private:
    friend class HeldBytes;

    struct Loads;
    Loads gatherLoads();
    void release(const Loads& loads, const std::vector<std::size_t>& chosen);

    std::size_t m_capacity;
    std::size_t m_used { 0 };
    std::array<std::size_t, 4> m_usedFor {};
    std::vector<MemoryHolder*> m_holders;
    MemoryRefusals m_refusals;
};

/// The part of the memory that one body, answer or connection uses. Released with the object.
class HeldBytes {
public:
    HeldBytes(std::shared_ptr<ClientMemory> memory, HeldFor kind)
        : m_memory(std::move(memory))
        , m_kind(kind)
    {
    }
    ~HeldBytes() { set(0); }
    HeldBytes(const HeldBytes&) = delete;
    HeldBytes& operator=(const HeldBytes&) = delete;

    void set(std::size_t bytes);
    std::size_t bytes() const { return m_bytes; }

private:
    std::shared_ptr<ClientMemory> m_memory;
    HeldFor m_kind;
    std::size_t m_bytes { 0 };
};

} // namespace catkinwing
