#pragma once

#include "catkinwing/Routing/EndpointView.h"
#include "catkinwing/Routing/PrefixIndex.h"
#include "catkinwing/Support/Random.h"
#include "catkinwing/Support/Scheduler.h"
#include <absl/container/flat_hash_map.h>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <string>
#include <vector>

namespace catkinwing::bench {

/// What a model engine can do.
struct EngineSettings {
    unsigned slots { 8 };
    double prefillTokensPerSecond { 8000 };
    /// Output tokens a second of one request that is alone in the batch.
    double decodeTokensPerSecond { 40 };
    /// How much slower all work is with a full batch: 0.5 means half more time.
    double batchSlowdown { 0.5 };
    /// Prompt blocks that the prefix cache holds.
    std::size_t cacheBlocks { 3000 };
    double tokensPerBlock { 64 };
    Duration reportInterval { std::chrono::milliseconds(500) };
    /// Age of a load report when it arrives.
    Duration reportLag { std::chrono::milliseconds(200) };
    Duration eventDelay { std::chrono::milliseconds(500) };
    /// Part of the cache events that are never published.
    double eventLoss { 0.02 };
};

/// A request as an engine sees it.
struct EngineRequest {
    std::vector<std::uint64_t> hashes;
    double promptTokens { 0 };
    double outputTokens { 0 };
    /// Lower goes first.
    int priority { 0 };
    std::function<void()> onFirstToken;
    std::function<void()> onDone;
    /// Called with whether the request may have been executed in part.
    std::function<void(bool mayHaveRun)> onFailed;
};

/// Work that an engine did.
struct EngineTotals {
    double promptTokens { 0 };
    double cachedTokens { 0 };
    double outputTokens { 0 };
    std::size_t submitted { 0 };
};

/// Least recently used blocks of prompt prefixes, bounded in number.
class PrefixCache {
public:
    explicit PrefixCache(std::size_t maxBlocks);
    /// Returns how many of the first blocks are held, and marks them as used.
    std::size_t match(const std::vector<std::uint64_t>& hashes);
    /// Holds all of \p hashes; returns those that were new and adds to
    /// \p evicted those that gave way.
    std::vector<std::uint64_t> store(const std::vector<std::uint64_t>& hashes, std::vector<std::uint64_t>& evicted);
    void clear();
    std::size_t size() const { return m_places.size(); }

private:
    using Blocks = std::list<std::uint64_t>;

    std::size_t m_maxBlocks;
    /// Most recently used first.
    Blocks m_blocks;
    absl::flat_hash_map<std::uint64_t, Blocks::iterator> m_places;
};

/// A model engine on a manual clock: batches continuously in slots, prefills one
/// prompt at a time by priority, and reports load and cache events with a lag.
class EngineFake {
public:
    using Id = std::uint64_t;

    EngineFake(std::string name, const EngineSettings& settings, Scheduler& scheduler, std::uint64_t seed);

    const std::string& name() const { return m_name; }
    /// Takes a request; its callbacks are called later, never before this returns.
    Id submit(EngineRequest request);
    /// Drops a request without calling it back.
    void cancel(Id id);
    /// Makes all work take \p factor times as long from now on.
    void setSlowFactor(double factor) { m_slowFactor = factor; }
    /// A dead engine fails what it has and refuses connections.
    void setDead(bool dead);
    /// Drops the whole prefix cache, as a restart does.
    void clearCache();
    const EngineTotals& totals() const { return m_totals; }
    const EngineSettings& settings() const { return m_settings; }

    std::function<void(const EndpointLoadReport&)> onReport;
    std::function<void(const CacheEvent&)> onCacheEvent;

private:
    struct Job {
        EngineRequest request;
        bool prefilled { false };
        double decoded { 0 };
        TimerId timer { 0 };
    };
    using Place = std::pair<int, Id>;

    double slowdown() const;
    void fillSlots();
    void startPrefill();
    void endPrefill(Id id);
    void decode(Id id);
    void leave(Id id);
    void publish(CacheEventKind kind, std::vector<std::uint64_t> hashes);
    void report();

    std::string m_name;
    EngineSettings m_settings;
    Scheduler& m_scheduler;
    Random m_random;
    PrefixCache m_cache;
    EngineTotals m_totals;
    Id m_lastId { 0 };
    double m_slowFactor { 1 };
    bool m_dead { false };
    std::uint64_t m_sequence { 0 };
    std::map<Id, Job> m_jobs;
    /// Without a slot, by priority.
    std::map<Place, Id> m_waiting;
    /// In a slot and not prefilled, by priority.
    std::map<Place, Id> m_toPrefill;
    std::size_t m_running { 0 };
    Id m_prefilling { 0 };
};

} // namespace catkinwing::bench
