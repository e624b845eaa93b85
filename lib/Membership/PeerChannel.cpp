#include "PeerChannel.h"

#include <absl/container/flat_hash_set.h>
#include <algorithm>

namespace catkinwing {

// Maximum number of sent messages kept until they are acknowledged.
static constexpr std::size_t maxUnacknowledged = 6;

namespace {

    struct Change {
        const std::string* name;
        std::uint64_t count;
        std::uint64_t size;
    };

} // namespace

static std::uint64_t countIn(const CountTable& table, const std::string& name)
{
    auto found = table.find(name);
    return found == table.end() ? 0 : found->second;
}

static std::vector<Change> changesOf(const std::vector<NamedCount>& current, const CountTable& acknowledged)
{
    std::vector<Change> changes;
    std::size_t found = 0;
    for (const NamedCount& item : current) {
        auto known = acknowledged.find(item.name);
        found += known == acknowledged.end() ? 0 : 1;
        std::uint64_t before = known == acknowledged.end() ? 0 : known->second;
        if (item.count != before)
            changes.push_back({ &item.name, item.count, std::max(item.count, before) - std::min(item.count, before) });
    }
    if (found == acknowledged.size())
        return changes;
    absl::flat_hash_set<absl::string_view> names;
    for (const NamedCount& item : current)
        names.insert(item.name);
    for (const auto& [name, count] : acknowledged) {
        if (!names.contains(name))
            changes.push_back({ &name, 0, count });
    }
    return changes;
}

TopChanges topChanges(const std::vector<NamedCount>& current, const CountTable& acknowledged, std::size_t limit)
{
    std::vector<Change> changes = changesOf(current, acknowledged);
    std::size_t count = std::min(limit, changes.size());
    auto isLarger = [](const Change& a, const Change& b) { return a.size != b.size ? a.size > b.size : *a.name < *b.name; };
    std::partial_sort(changes.begin(), changes.begin() + static_cast<std::ptrdiff_t>(count), changes.end(), isLarger);
    TopChanges top;
    top.hasMore = changes.size() > count;
    top.items.reserve(count);
    for (std::size_t i = 0; i < count; ++i)
        top.items.push_back({ *changes[i].name, changes[i].count });
    return top;
}

static void applyAcknowledged(const std::vector<NamedCount>& acknowledged, CountTable& table)
{
    for (const NamedCount& item : acknowledged) {
        if (item.count == 0)
            table.erase(item.name);
        else
            table[item.name] = item.count;
    }
}

void PeerChannel::record(SentContent content)
{
    m_sent.push_back(std::move(content));
    if (m_sent.size() > maxUnacknowledged)
        m_sent.pop_front();
}

std::optional<TimePoint> PeerChannel::acknowledge(std::uint64_t sequence)
{
    auto found = std::find_if(m_sent.begin(), m_sent.end(), [sequence](const SentContent& sent) { return sent.sequence == sequence; });
    if (found == m_sent.end())
        return std::nullopt;
    m_isKnown = true;
    m_hashes = found->hashes;
    applyAcknowledged(found->servedTokens, m_served);
    applyAcknowledged(found->load, m_load);
    applyAcknowledged(found->digests, m_digests);
    applyAcknowledged(found->rosters, m_rosters);
    m_leaving.insert(found->leaving.begin(), found->leaving.end());
    TimePoint sentAt = found->sentAt;
    // Only older messages are dropped, since this one may be acknowledged again.
    m_sent.erase(m_sent.begin(), found);
    return sentAt;
}

bool PeerChannel::peerHasExactly(const StateHashes& hashes) const
{
    return m_isKnown && m_hashes == hashes
        && std::all_of(m_sent.begin(), m_sent.end(), [&](const SentContent& sent) { return sent.hashes == hashes; });
}

std::uint64_t PeerChannel::digestVersion(const std::string& zone) const
{
    return countIn(m_digests, zone);
}

std::uint64_t PeerChannel::acknowledgedRosterDigest(const std::string& zone) const
{
    return countIn(m_rosters, zone);
}

} // namespace catkinwing
