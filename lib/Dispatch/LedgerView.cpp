#include "catkinwing/Dispatch/LedgerView.h"

#include "LedgerFaults.h"
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <cassert>

namespace catkinwing {

// Why no key is won twice while it is kept.
//
// A shard is a ring of slots that are written again and again and never
// deleted. Generation n lives in slot n % slots. Three rules hold for every
// write, each of which is a compare-and-swap on the slot's revision:
//
//  1. A claim is added only to the latest generation, and only if that isn't sealed.
//  2. Generation n + 1 is opened only by a writer that saw n sealed.
//  3. A sealed generation is never written again until its slot is taken by
//     generation n + slots, which needs that it is old enough to be dropped.
//
// Let a writer's swap on generation n at revision r succeed. Then n was not
// sealed when it did, so by rule 2 no later generation existed, and by rules 1
// and 3 no other slot had changed since the writer read it. What the writer saw
// was therefore the whole truth, and a key that it didn't find was unclaimed. A
// writer that was paused, however long, fails on the revision: revisions never
// come back, and a slot once written is never absent again.
//
// Age is counted without comparing clocks of machines. Each write adds to the
// shard's age only the time that its writer itself saw pass, on its monotonic
// clock, since it received the revision that it replaces. That time lies wholly
// between the two commits, so the age never runs ahead of true time; while
// nobody writes it stands still, which keeps claims longer. What is assumed is
// that no monotonic clock runs fast by more than retentionMargin / retention.

std::string shardPrefix(const LedgerLayout& layout, unsigned shard)
{
    return absl::StrCat(layout.keyPrefix, shard, "/");
}

std::string slotKey(const LedgerLayout& layout, unsigned shard, unsigned slot)
{
    return absl::StrCat(shardPrefix(layout, shard), slot);
}

LedgerView::LedgerView(const LedgerLayout& layout, TimePoint receivedAt)
    : m_layout(layout)
    , m_slots(layout.slots)
    , m_ageReceivedAt(receivedAt)
{
    assert(layout.slots >= 2 && "one slot must stay open while another is kept");
}

absl::StatusOr<LedgerView> LedgerView::fromListing(const LedgerLayout& layout, unsigned shard, const StoreListing& listing, TimePoint receivedAt)
{
    LedgerView view(layout, receivedAt);
    for (unsigned slot = 0; slot < layout.slots; ++slot) {
        std::string key = slotKey(layout, shard, slot);
        auto stored = std::find_if(listing.values.begin(), listing.values.end(),
            [&key](const StoredValue& value) { return value.key == key; });
        if (stored == listing.values.end() || stored->revision == 0)
            continue;
        auto generation = decodeGeneration(stored->value, layout.slots);
        if (!generation.ok())
            return generation.status();
        view.m_slots[slot] = { stored->revision, *std::move(generation) };
        const LedgerGeneration* latest = view.latest();
        if (!latest || view.m_slots[slot].generation->number > latest->number)
            view.m_latestSlot = slot;
    }
    absl::Status sequence = view.checkSequence();
    if (!sequence.ok())
        return sequence;
    view.rebuildIndex();
    return view;
}

// Anything else than a run of generations, all but the last one sealed, was
// not written by these rules; nothing is then claimed in the shard.
absl::Status LedgerView::checkSequence() const
{
    const LedgerGeneration* last = latest();
    std::size_t present = 0;
    for (unsigned slot = 0; slot < m_slots.size(); ++slot) {
        const auto& generation = m_slots[slot].generation;
        if (!generation)
            continue;
        ++present;
        bool isInPlace = slotOf(generation->number) == slot && last->number - generation->number < m_layout.slots;
        bool isInOrder = generation->isSealed || generation->number == last->number;
        if (!isInPlace || !isInOrder)
            return absl::DataLossError("ledger shard: the generations are out of order");
    }
    std::size_t expected = last ? std::min<std::uint64_t>(last->number + 1, m_layout.slots) : 0;
    if (present != expected)
        return absl::DataLossError("ledger shard: a generation is missing");
    return absl::OkStatus();
}

void LedgerView::indexClaims(unsigned slot, std::size_t first)
{
    const LedgerGeneration& generation = *m_slots[slot].generation;
    for (std::size_t index = first; index < generation.claims.size(); ++index)
        m_index[generation.claims[index].key] = { slot, index };
}

// In order of the generations, so that of two claims with one key the later
// holds it: it replaced the other when that was sealed already.
void LedgerView::rebuildIndex()
{
    m_index.clear();
    const LedgerGeneration* last = latest();
    if (!last)
        return;
    std::uint64_t count = std::min<std::uint64_t>(last->number + 1, m_layout.slots);
    for (std::uint64_t number = last->number + 1 - count; number <= last->number; ++number)
        indexClaims(slotOf(number), 0);
}

const LedgerGeneration* LedgerView::latest() const
{
    return m_latestSlot ? &*m_slots[*m_latestSlot].generation : nullptr;
}

unsigned LedgerView::slotOf(std::uint64_t number) const
{
    return static_cast<unsigned>(number % m_layout.slots);
}

absl::optional<ClaimRecord> LedgerView::find(const ClaimKey& key) const
{
    auto entry = m_index.find(key);
    if (entry == m_index.end())
        return absl::nullopt;
    return m_slots[entry->second.slot].generation->recordAt(entry->second.index);
}

std::chrono::milliseconds LedgerView::ageAt(TimePoint now) const
{
    const LedgerGeneration* last = latest();
    if (!last)
        return std::chrono::milliseconds(0);
    Duration seen = std::max(now - m_ageReceivedAt, Duration::zero());
    return last->age + std::chrono::duration_cast<std::chrono::milliseconds>(seen);
}

std::chrono::milliseconds LedgerView::timeUntilRoom(TimePoint now) const
{
    const LedgerGeneration* last = latest();
    std::uint64_t next = last ? last->number + 1 : 0;
    const auto& dropped = m_slots[slotOf(next)].generation;
    if (!dropped)
        return std::chrono::milliseconds(0);
    std::chrono::milliseconds keptUntil = dropped->age + m_layout.retention + m_layout.retentionMargin;
    return std::max(keptUntil - ageAt(now), std::chrono::milliseconds(0));
}

bool LedgerView::isDue(const LedgerGeneration& generation) const
{
    std::chrono::milliseconds span = m_layout.retention / (m_layout.slots - 1);
    return generation.age - generation.openedAtAge >= span || maxEncodedBytes(generation) >= m_layout.targetDocumentBytes;
}

bool LedgerView::hasOpenGeneration() const
{
    return latest() && !latest()->isSealed;
}

LedgerSwap LedgerView::beginSwap(TimePoint now, bool opensNext) const
{
    const LedgerGeneration* last = latest();
    LedgerSwap swap;
    if (!opensNext) {
        swap.generation = *last;
    } else {
        swap.generation.number = last ? last->number + 1 : 0;
        swap.generation.openedAtAge = ageAt(now);
    }
    swap.generation.age = ageAt(now);
    swap.slot = slotOf(swap.generation.number);
    swap.expected = m_slots[swap.slot].revision;
    return swap;
}

void LedgerView::applyClaims(const std::vector<ClaimRecord>& claims, LedgerSwap& swap) const
{
    bool isLatest = latest() && latest()->number == swap.generation.number;
    for (const ClaimRecord& claim : claims) {
        auto held = m_index.find(claim.key);
        if (isLatest && held != m_index.end() && held->second.slot == swap.slot)
            swap.generation.replace(held->second.index, claim);
        else
            swap.generation.add(claim);
    }
}

absl::optional<LedgerSwap> LedgerView::planNext(const std::vector<ClaimRecord>& claims, TimePoint now) const
{
    LedgerSwap swap = beginSwap(now, true);
    applyClaims(claims, swap);
    if (maxEncodedBytes(swap.generation) > m_layout.maxDocumentBytes)
        return absl::nullopt;
    return swap;
}

absl::optional<LedgerSwap> LedgerView::plan(const std::vector<ClaimRecord>& claims, TimePoint now, const LedgerFaults& faults) const
{
    bool hasRoomForNext = faults.dropsEarly || timeUntilRoom(now) == std::chrono::milliseconds(0);
    if (!hasOpenGeneration())
        return hasRoomForNext ? planNext(claims, now) : absl::nullopt;
    LedgerSwap swap = beginSwap(now, false);
    applyClaims(claims, swap);
    std::size_t bytes = maxEncodedBytes(swap.generation);
    if (faults.opensWithoutSealing && hasRoomForNext && bytes >= m_layout.targetDocumentBytes)
        return planNext(claims, now);
    if (bytes <= m_layout.maxDocumentBytes) {
        swap.generation.isSealed = hasRoomForNext && isDue(swap.generation);
        return swap;
    }
    if (!hasRoomForNext)
        return absl::nullopt;
    swap = beginSwap(now, false);
    swap.addsClaims = false;
    swap.generation.isSealed = true;
    return swap;
}

void LedgerView::commit(LedgerSwap swap, StoreRevision revision, TimePoint receivedAt)
{
    Slot& slot = m_slots[swap.slot];
    bool isSameGeneration = slot.generation && slot.generation->number == swap.generation.number;
    std::size_t known = isSameGeneration ? slot.generation->claims.size() : 0;
    slot.revision = revision;
    slot.generation = std::move(swap.generation);
    m_latestSlot = swap.slot;
    m_ageReceivedAt = receivedAt;
    if (isSameGeneration)
        indexClaims(swap.slot, known);
    else
        rebuildIndex();
}

} // namespace catkinwing
