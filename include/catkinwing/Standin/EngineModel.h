#pragma once

#include "catkinwing/Standin/EngineCache.h"
#include "catkinwing/Standin/EngineText.h"
#include "catkinwing/Support/Scheduler.h"
#include <absl/status/statusor.h>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace catkinwing::standin {

/// Speed and limits of an engine.
struct EngineSettings {
    /// Streams in the batch.
    std::size_t slots { 8 };
    /// Requests that may wait for a slot.
    std::size_t maxWaiting { 256 };
    double prefillTokensPerSecond { 8'000 };
    /// Of one stream alone.
    double decodeTokensPerSecond { 50 };
    /// Share by which each further decoding stream lengthens a step.
    double batchSlowdown { 0.03 };
    /// Prompt tokens that one step of the batch takes in.
    std::size_t prefillChunkTokens { 512 };
    std::size_t cacheBlocks { 4'096 };
    /// Time between two samples of the load.
    Duration loadLag { std::chrono::milliseconds(500) };
    CacheEventSettings events;
    std::uint64_t seed { 1 };
};

/// A request to an engine.
struct EngineJob {
    std::string prompt;
    std::size_t outputTokens { 0 };
    /// Output tokens that the caller already has.
    std::size_t resumeFrom { 0 };
    /// Lower runs first.
    int priority { 0 };
};

/// What a job tells its owner; a cancelled job tells nothing.
struct EngineJobCallbacks {
    /// The job got a slot; \p cachedTokens of its prompt were in the cache.
    std::function<void(std::size_t cachedTokens)> onStart;
    std::function<void(std::size_t index, const std::string& text)> onToken;
    std::function<void()> onFinish;
};

/// The load of an engine, as of a moment in the past.
struct EngineLoad {
    std::size_t running { 0 };
    std::size_t waiting { 0 };
    std::size_t slots { 0 };
    std::size_t cachedBlocks { 0 };
    TimePoint sampledAt;
};

/// Names a job; never zero.
using JobId = std::uint64_t;

/// Scheduling of an engine that batches continuously: in each step the running
/// streams share a chunk of prefill and those past it decode one token each.
class EngineModel {
public:
    EngineModel(Scheduler& scheduler, EngineSettings settings);
    ~EngineModel();
    EngineModel(const EngineModel&) = delete;
    EngineModel& operator=(const EngineModel&) = delete;

    /// Queues a job; ResourceExhausted if too many wait. Callbacks run later.
    absl::StatusOr<JobId> submit(EngineJob job, EngineJobCallbacks callbacks);
    /// Gives a job up and frees its slot; does nothing if it has ended.
    void cancel(JobId job);
    /// Lengthens each step from the next one on by \p factor.
    void setSlowFactor(double factor) { m_slowFactor = factor; }
    /// Returns the last sample of the load.
    const EngineLoad& load() const { return m_load; }
    CacheEventPage cacheEvents(std::uint64_t after) const;

private:
    struct Stream {
        JobId id { 0 };
        EngineJob job;
        EngineJobCallbacks callbacks;
        EngineText text;
        std::vector<std::uint64_t> hashes;
        std::size_t prefillLeft { 0 };
        std::size_t nextToken { 0 };
        /// Prompt tokens of the step under way.
        std::size_t chunk { 0 };
    };
    /// Order in the queue: by priority, then by arrival.
    using QueueKey = std::pair<int, JobId>;

    void admit();
    void start(Stream stream);
    void scheduleStep();
    Duration planStep();
    void finishStep();
    void advance(JobId id);
    void finishPrefill(Stream& stream);
    void sampleLoad();

    Scheduler& m_scheduler;
    EngineSettings m_settings;
    EngineCache m_cache;
    CacheEventLog m_events;
    double m_slowFactor { 1 };
    JobId m_lastJob { 0 };
    std::map<QueueKey, Stream> m_waiting;
    std::map<JobId, Stream> m_running;
    TimerId m_stepTimer { 0 };
    TimerId m_loadTimer { 0 };
    EngineLoad m_load;
};

} // namespace catkinwing::standin
