#include "catkinwing/Ingress/EntryCountWriter.h"

#include "catkinwing/Support/Hash.h"
#include "catkinwing/Support/Logging.h"
#include <absl/strings/numbers.h>
#include <algorithm>

namespace catkinwing {

using std::chrono::milliseconds;

/// Entries that start together are written as one change.
static constexpr milliseconds settleTime { 1'000 };
/// The entries write one after the other, so that the second finds it written.
static constexpr milliseconds delayPerRank { 200 };
static constexpr std::size_t maxDelayedRank = 20;
static constexpr milliseconds retryDelay { 3'000 };
static constexpr std::size_t maxEntryCount = 100'000;

std::optional<std::size_t> readEntryCount(absl::string_view text)
{
    std::size_t count = 0;
    if (!absl::SimpleAtoi(text, &count) || count == 0 || count > maxEntryCount)
        return std::nullopt;
    return count;
}

EntryCountWriter::EntryCountWriter(Store& store, Scheduler& scheduler, EntryTable& entries)
    : m_store(store)
    , m_scheduler(scheduler)
    , m_entries(entries)
{
}

EntryCountWriter::~EntryCountWriter()
{
    *m_isAlive = false;
}

void EntryCountWriter::tick()
{
    TimePoint now = m_scheduler.clock().now();
    std::size_t count = m_entries.recentMaxAddresses(now);
    // Entries forget an earlier number at different times. Those that remember it don't write
    // it again after another one has lowered it.
    std::size_t stored = m_entries.storedCount().count;
    bool differs = count < stored || (count > stored && m_entries.exceedsStoredCount());
    if (count == 0 || !differs) {
        m_differsSince.reset();
        return;
    }
    if (!m_differsSince)
        m_differsSince = now;
    std::size_t rank = std::min(m_entries.orderFor(stableHash(entryCountKey), {}).rank, maxDelayedRank);
    if (now - *m_differsSince < settleTime + delayPerRank * rank || now < m_writeAgainAt)
        return;
    m_writeAgainAt = now + retryDelay;
    write(count);
}

// The watch tells the outcome.
void EntryCountWriter::write(std::size_t count)
{
    auto handleResult = [this, alive = m_isAlive](const SwapResult& result) {
        if (!*alive || result.outcome == SwapOutcome::Committed)
            return;
        if (result.outcome == SwapOutcome::Conflict)
            readStoredCount();
        else
            logChange(LogLevel::Warning, "entry_count_not_written", {});
    };
    m_store.compareAndSwap(entryCountKey, m_entries.storedCount().revision, std::to_string(count), 0, handleResult);
}

// The watch doesn't report a key again that is the same in the store's next era, but its
// revision is another one.
void EntryCountWriter::readStoredCount()
{
    m_store.get(entryCountKey, [this, alive = m_isAlive](const absl::StatusOr<StoredValue>& stored) {
        if (*alive && stored.ok())
            m_entries.recordStoredCount({ readEntryCount(stored->value).value_or(0), stored->revision }, m_scheduler.clock().now());
    });
}

} // namespace catkinwing
