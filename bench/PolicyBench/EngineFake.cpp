#include "EngineFake.h"

#include <algorithm>

namespace catkinwing::bench {

/// Output tokens made between two looks at the batch.
static constexpr double decodeStep = 16;
/// Time until a connection to a dead engine is refused.
static constexpr Duration refusalTime = std::chrono::milliseconds(2);

static Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

PrefixCache::PrefixCache(std::size_t maxBlocks)
    : m_maxBlocks(maxBlocks)
{
}

std::size_t PrefixCache::match(const std::vector<std::uint64_t>& hashes)
{
    std::size_t matched = 0;
    while (matched < hashes.size() && m_places.contains(hashes[matched]))
        ++matched;
    // From the last to the first, so that a prompt's tail is evicted first.
    for (std::size_t i = matched; i-- > 0;)
        m_blocks.splice(m_blocks.begin(), m_blocks, m_places.at(hashes[i]));
    return matched;
}

std::vector<std::uint64_t> PrefixCache::store(const std::vector<std::uint64_t>& hashes, std::vector<std::uint64_t>& evicted)
{
    std::vector<std::uint64_t> added;
    for (std::size_t i = hashes.size(); i-- > 0;) {
        auto known = m_places.find(hashes[i]);
        if (known != m_places.end()) {
            m_blocks.splice(m_blocks.begin(), m_blocks, known->second);
            continue;
        }
        m_blocks.push_front(hashes[i]);
        m_places[hashes[i]] = m_blocks.begin();
        added.push_back(hashes[i]);
    }
    while (m_blocks.size() > m_maxBlocks) {
        evicted.push_back(m_blocks.back());
        m_places.erase(m_blocks.back());
        m_blocks.pop_back();
    }
    std::reverse(added.begin(), added.end());
    return added;
}

void PrefixCache::clear()
{
    m_blocks.clear();
    m_places.clear();
}

EngineFake::EngineFake(std::string name, const EngineSettings& settings, Scheduler& scheduler, std::uint64_t seed)
    : m_name(std::move(name))
    , m_settings(settings)
    , m_scheduler(scheduler)
    , m_random(seed)
    , m_cache(settings.cacheBlocks)
{
    // Engines don't report in step.
    auto phase = static_cast<double>(m_random.below(1000)) / 1000;
    m_scheduler.callAfter(std::chrono::duration_cast<Duration>(m_settings.reportInterval * phase), [this] { report(); });
}

double EngineFake::slowdown() const
{
    double occupancy = static_cast<double>(m_running) / m_settings.slots;
    return m_slowFactor * (1 + m_settings.batchSlowdown * occupancy);
}

EngineFake::Id EngineFake::submit(EngineRequest request)
{
    Id id = ++m_lastId;
    if (m_dead) {
        m_scheduler.callAfter(refusalTime, [failed = std::move(request.onFailed)] { failed(false); });
        return id;
    }
    ++m_totals.submitted;
    m_waiting.emplace(Place { request.priority, id }, id);
    m_jobs.emplace(id, Job { std::move(request), false, 0, 0 });
    fillSlots();
    return id;
}

void EngineFake::fillSlots()
{
    while (m_running < m_settings.slots && !m_waiting.empty()) {
        m_toPrefill.insert(*m_waiting.begin());
        m_waiting.erase(m_waiting.begin());
        ++m_running;
    }
    startPrefill();
}

void EngineFake::startPrefill()
{
    if (m_prefilling != 0 || m_toPrefill.empty())
        return;
    Id id = m_toPrefill.begin()->second;
    m_toPrefill.erase(m_toPrefill.begin());
    m_prefilling = id;
    Job& job = m_jobs.at(id);
    double held = static_cast<double>(m_cache.match(job.request.hashes)) * m_settings.tokensPerBlock;
    // The last token is always computed: the first output token comes of it.
    double cached = std::min(held, job.request.promptTokens - 1);
    m_totals.promptTokens += job.request.promptTokens;
    m_totals.cachedTokens += cached;
    double seconds = (job.request.promptTokens - cached) / m_settings.prefillTokensPerSecond * slowdown();
    job.timer = m_scheduler.callAfter(fromSeconds(seconds), [this, id] { endPrefill(id); });
}

void EngineFake::endPrefill(Id id)
{
    m_prefilling = 0;
    Job& job = m_jobs.at(id);
    job.prefilled = true;
    std::vector<std::uint64_t> evicted;
    std::vector<std::uint64_t> added = m_cache.store(job.request.hashes, evicted);
    if (!added.empty())
        publish(CacheEventKind::Stored, std::move(added));
    if (!evicted.empty())
        publish(CacheEventKind::Evicted, std::move(evicted));
    job.request.onFirstToken();
    decode(id);
    startPrefill();
}

void EngineFake::decode(Id id)
{
    Job& job = m_jobs.at(id);
    double left = job.request.outputTokens - job.decoded;
    if (left <= 0) {
        std::function<void()> done = std::move(job.request.onDone);
        leave(id);
        done();
        return;
    }
    double step = std::min(left, decodeStep);
    double seconds = step / m_settings.decodeTokensPerSecond * slowdown();
    job.timer = m_scheduler.callAfter(fromSeconds(seconds), [this, id, step] {
        m_jobs.at(id).decoded += step;
        m_totals.outputTokens += step;
        decode(id);
    });
}

void EngineFake::leave(Id id)
{
    auto found = m_jobs.find(id);
    Place place { found->second.request.priority, id };
    m_scheduler.cancel(found->second.timer);
    if (m_waiting.erase(place) == 0) {
        m_toPrefill.erase(place);
        --m_running;
    }
    if (m_prefilling == id)
        m_prefilling = 0;
    m_jobs.erase(found);
    fillSlots();
}

void EngineFake::cancel(Id id)
{
    if (m_jobs.count(id))
        leave(id);
}

void EngineFake::setDead(bool dead)
{
    m_dead = dead;
    if (!dead)
        return;
    std::map<Id, Job> jobs;
    jobs.swap(m_jobs);
    m_waiting.clear();
    m_toPrefill.clear();
    m_running = 0;
    m_prefilling = 0;
    clearCache();
    for (auto& [id, job] : jobs) {
        m_scheduler.cancel(job.timer);
        m_scheduler.callAfter(refusalTime, [failed = std::move(job.request.onFailed)] { failed(true); });
    }
}

void EngineFake::clearCache()
{
    m_cache.clear();
    publish(CacheEventKind::Cleared, {});
}

void EngineFake::publish(CacheEventKind kind, std::vector<std::uint64_t> hashes)
{
    CacheEvent event;
    event.incarnation = "1";
    event.sequence = ++m_sequence;
    event.kind = kind;
    event.hashes = std::move(hashes);
    if (m_random.unit() < m_settings.eventLoss)
        return;
    m_scheduler.callAfter(m_settings.eventDelay, [this, event = std::move(event)] { onCacheEvent(event); });
}

void EngineFake::report()
{
    m_scheduler.callAfter(m_settings.reportInterval, [this] { report(); });
    if (m_dead)
        return;
    EndpointLoadReport load;
    load.measuredAt = m_scheduler.clock().now();
    load.running = static_cast<unsigned>(m_running);
    load.waiting = static_cast<unsigned>(m_waiting.size());
    for (const auto& [id, job] : m_jobs) {
        if (!job.prefilled)
            load.queuedPrefillTokens += job.request.promptTokens;
    }
    m_scheduler.callAfter(m_settings.reportLag, [this, load] { onReport(load); });
}

} // namespace catkinwing::bench
