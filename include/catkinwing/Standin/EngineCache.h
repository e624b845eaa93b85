#pragma once

#include "catkinwing/Support/Clock.h"
#include "catkinwing/Support/Random.h"
#include <cstdint>
#include <deque>
#include <list>
#include <unordered_map>
#include <vector>

namespace catkinwing::standin {

/// What happened to blocks of the cache.
enum class CacheEventKind { Stored,
    Evicted };

/// One event as an engine publishes it.
struct CacheEvent {
    std::uint64_t sequence { 0 };
    CacheEventKind kind { CacheEventKind::Stored };
    std::vector<std::uint64_t> hashes;
};

/// Answer to a question for events.
struct CacheEventPage {
    /// Lowest sequence number that is still kept.
    std::uint64_t first { 1 };
    /// Sequence number that comes after the last published one.
    std::uint64_t next { 1 };
    std::vector<CacheEvent> events;
};

/// How the events are published.
struct CacheEventSettings {
    /// Time from an event to its publication.
    Duration lag {};
    /// Share of events that are never published.
    double gapRate { 0 };
    /// Events kept for readers.
    std::size_t maxKept { 10'000 };
};

/// Events of a cache, published late and with gaps.
class CacheEventLog {
public:
    CacheEventLog(CacheEventSettings settings, std::uint64_t seed)
        : m_settings(settings)
        , m_random(seed)
    {
    }

    void append(CacheEventKind kind, std::vector<std::uint64_t> hashes, TimePoint now);
    /// Returns the events published by \p now with a sequence number above \p after.
    CacheEventPage read(std::uint64_t after, TimePoint now) const;

private:
    struct Entry {
        CacheEvent event;
        TimePoint publishedAt;
        bool isLost { false };
    };

    CacheEventSettings m_settings;
    Random m_random;
    std::uint64_t m_lastSequence { 0 };
    std::deque<Entry> m_entries;
};

/// Blocks of prompt prefixes, the least recently used evicted first.
class EngineCache {
public:
    explicit EngineCache(std::size_t capacity)
        : m_capacity(capacity)
    {
    }

    /// Returns how many leading blocks of \p hashes are held.
    std::size_t countCached(const std::vector<std::uint64_t>& hashes) const;
    /// What storing did.
    struct Change {
        std::vector<std::uint64_t> stored;
        std::vector<std::uint64_t> evicted;
    };
    /// Stores \p hashes, or marks them used.
    Change store(const std::vector<std::uint64_t>& hashes);
    std::size_t size() const { return m_blocks.size(); }

private:
    std::size_t m_capacity;
    /// Most recently used first.
    std::list<std::uint64_t> m_order;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_blocks;
};

} // namespace catkinwing::standin
