#include "catkinwing/Standin/EngineModel.h"

#include "catkinwing/Support/PrefixHash.h"
#include <algorithm>
#include <cassert>
#include <utility>

namespace catkinwing::standin {

constexpr std::size_t tokensPerBlock = prefixBlockBytes / bytesPerToken;

EngineModel::EngineModel(Scheduler& scheduler, EngineSettings settings)
    : m_scheduler(scheduler)
    , m_settings(settings)
    , m_cache(settings.cacheBlocks)
    , m_events(settings.events, settings.seed)
{
    assert(settings.slots > 0 && settings.prefillChunkTokens > 0 && "an engine without slots never runs");
    assert(settings.prefillTokensPerSecond > 0 && settings.decodeTokensPerSecond > 0 && "an engine without speed never ends");
    assert(settings.loadLag > Duration::zero() && "the load is sampled at intervals");
    sampleLoad();
}

EngineModel::~EngineModel()
{
    m_scheduler.cancel(m_stepTimer);
    m_scheduler.cancel(m_loadTimer);
}

absl::StatusOr<JobId> EngineModel::submit(EngineJob job, EngineJobCallbacks callbacks)
{
    // Slots that are free now are taken at the next step.
    std::size_t freeSlots = m_settings.slots - m_running.size();
    if (m_waiting.size() >= m_settings.maxWaiting + freeSlots)
        return absl::ResourceExhaustedError("too many requests wait for a slot");
    Stream stream;
    stream.id = ++m_lastJob;
    stream.nextToken = std::min(job.resumeFrom, job.outputTokens);
    stream.text = EngineText(job.prompt);
    stream.hashes = prefixHashes(job.prompt);
    stream.job = std::move(job);
    stream.callbacks = std::move(callbacks);
    QueueKey key { stream.job.priority, stream.id };
    m_waiting.emplace(key, std::move(stream));
    // Batches change only between steps; an idle engine begins one at once.
    if (m_stepTimer == 0)
        m_stepTimer = m_scheduler.callAfter(Duration::zero(), [this] { finishStep(); });
    return m_lastJob;
}

void EngineModel::cancel(JobId job)
{
    m_running.erase(job);
    auto waiting = std::find_if(m_waiting.begin(), m_waiting.end(), [job](const auto& entry) { return entry.first.second == job; });
    if (waiting != m_waiting.end())
        m_waiting.erase(waiting);
}

CacheEventPage EngineModel::cacheEvents(std::uint64_t after) const
{
    return m_events.read(after, m_scheduler.clock().now());
}

void EngineModel::admit()
{
    while (m_running.size() < m_settings.slots && !m_waiting.empty()) {
        Stream stream = std::move(m_waiting.begin()->second);
        m_waiting.erase(m_waiting.begin());
        start(std::move(stream));
    }
}

void EngineModel::start(Stream stream)
{
    std::size_t promptTokens = countTokens(stream.job.prompt);
    std::size_t cached = std::min(m_cache.countCached(stream.hashes) * tokensPerBlock, promptTokens);
    // What was generated before a resumption is read in again, and the last
    // token is always computed.
    stream.prefillLeft = std::max<std::size_t>(1, promptTokens - cached + stream.nextToken);
    JobId id = stream.id;
    auto onStart = stream.callbacks.onStart;
    m_running.emplace(id, std::move(stream));
    if (onStart)
        onStart(cached);
}

void EngineModel::scheduleStep()
{
    m_stepTimer = 0;
    if (m_running.empty())
        return;
    m_stepTimer = m_scheduler.callAfter(planStep(), [this] { finishStep(); });
}

Duration EngineModel::planStep()
{
    std::size_t budget = m_settings.prefillChunkTokens;
    std::size_t prefill = 0;
    std::size_t decoding = 0;
    for (auto& entry : m_running) {
        Stream& stream = entry.second;
        stream.chunk = std::min(stream.prefillLeft, budget - prefill);
        prefill += stream.chunk;
        if (stream.prefillLeft == 0)
            ++decoding;
    }
    double seconds = static_cast<double>(prefill) / m_settings.prefillTokensPerSecond;
    if (decoding > 0) {
        double crowding = 1 + m_settings.batchSlowdown * static_cast<double>(decoding - 1);
        seconds += crowding / m_settings.decodeTokensPerSecond;
    }
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds * m_slowFactor));
}

void EngineModel::finishStep()
{
    std::vector<JobId> batch;
    batch.reserve(m_running.size());
    for (const auto& entry : m_running)
        batch.push_back(entry.first);
    for (JobId id : batch)
        advance(id);
    admit();
    scheduleStep();
}

// Callbacks may cancel any job, so the stream is looked up again after each.
void EngineModel::advance(JobId id)
{
    auto found = m_running.find(id);
    if (found == m_running.end())
        return;
    Stream& stream = found->second;
    if (stream.prefillLeft > 0) {
        stream.prefillLeft -= stream.chunk;
        stream.chunk = 0;
        if (stream.prefillLeft > 0)
            return;
        finishPrefill(stream);
    }
    if (stream.nextToken < stream.job.outputTokens) {
        std::size_t index = stream.nextToken++;
        auto onToken = stream.callbacks.onToken;
        if (onToken)
            onToken(index, stream.text.token(index));
    }
    found = m_running.find(id);
    if (found == m_running.end() || found->second.nextToken < found->second.job.outputTokens)
        return;
    auto onFinish = std::move(found->second.callbacks.onFinish);
    m_running.erase(found);
    if (onFinish)
        onFinish();
}

void EngineModel::finishPrefill(Stream& stream)
{
    TimePoint now = m_scheduler.clock().now();
    EngineCache::Change change = m_cache.store(stream.hashes);
    if (!change.stored.empty())
        m_events.append(CacheEventKind::Stored, std::move(change.stored), now);
    if (!change.evicted.empty())
        m_events.append(CacheEventKind::Evicted, std::move(change.evicted), now);
}

void EngineModel::sampleLoad()
{
    m_load.running = m_running.size();
    m_load.waiting = m_waiting.size();
    m_load.slots = m_settings.slots;
    m_load.cachedBlocks = m_cache.size();
    m_load.sampledAt = m_scheduler.clock().now();
    m_loadTimer = m_scheduler.callAfter(m_settings.loadLag, [this] { sampleLoad(); });
}

} // namespace catkinwing::standin
