#include "catkinwing/Ingress/CrashExchange.h"

#include "catkinwing/Support/Hash.h"
#include <algorithm>
#include <utility>

namespace catkinwing {

using std::chrono::milliseconds;

/// Number of entries that count the crashes of a request: two of all entries, which
/// add up crashes in different regions, and two of the own region, which keep counting
/// while the region is partitioned from the others. Two of each tolerate the loss of one.
static constexpr std::size_t countersOfAll = 2;
static constexpr std::size_t countersOfRegion = 2;
/// A settled crash is sent to these entries this many times, since datagrams can be lost.
static constexpr unsigned tellCrashTimes = 3;
/// Max number of settled crashes that wait to be sent; covers the requests that run at
/// a few endpoints.
static constexpr std::size_t mostSettled = 2'048;
/// Number of random entries that a changed notice is sent to in one tick. After five
/// ticks each of 550 entries has received it with near certainty.
static constexpr std::size_t toldNews = 4;
/// Max number of entries that are notified of a broken connection without delay. This
/// covers all entries of a small deployment. With more entries, the same request arrives
/// less often at each of them.
static constexpr std::size_t toldUrgent = 24;
/// Interval in ticks at which every suspected request is sent to one random entry, for
/// entries that started later or were unreachable.
static constexpr std::uint64_t tellAllEvery = 5;
/// Max number of datagrams to one entry in one call.
static constexpr std::size_t mostDatagrams = 4;

CrashExchange::CrashExchange(CrashingRequests& requests, const EntryTable& entries, EntryRecord self, Random& random)
    : m_requests(requests)
    , m_entries(entries)
    , m_self(std::move(self))
    , m_random(random)
{
}

void CrashExchange::followEntries()
{
    if (m_seenChanges == m_entries.changes())
        return;
    m_seenChanges = m_entries.changes();
    m_others = m_entries.others();
}

bool CrashExchange::mayKnow(const EntryTable::Neighbor& neighbor, const CrashNotice& notice) const
{
    return notice.regions.empty() || std::count(notice.regions.begin(), notice.regions.end(), regionHash(neighbor.region)) > 0;
}

// Uses rendezvous hashing, so that entries with the same entry table choose the same
// entries.
std::vector<SocketAddress> CrashExchange::countersOf(const CrashNotice& notice) const
{
    std::uint64_t seed = stableHash(notice.request);
    std::vector<std::pair<std::uint64_t, const EntryTable::Neighbor*>> ranked;
    for (const EntryTable::Neighbor& neighbor : m_others) {
        if (mayKnow(neighbor, notice))
            ranked.emplace_back(stableHash(neighbor.key, seed), &neighbor);
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<SocketAddress> counters;
    std::size_t ofAll = 0;
    std::size_t ofRegion = 0;
    for (const auto& [score, neighbor] : ranked) {
        bool isOfRegion = neighbor->region == m_self.region;
        bool isChosen = ofAll < countersOfAll || (isOfRegion && ofRegion < countersOfRegion);
        if (!isChosen)
            continue;
        ++ofAll;
        ofRegion += isOfRegion ? 1 : 0;
        counters.push_back(neighbor->address);
    }
    return counters;
}

std::vector<SocketAddress> CrashExchange::anyOf(const CrashNotice& notice, std::size_t count) const
{
    std::vector<SocketAddress> allowed;
    for (const EntryTable::Neighbor& neighbor : m_others) {
        if (mayKnow(neighbor, notice))
            allowed.push_back(neighbor.address);
    }
    count = std::min(count, allowed.size());
    for (std::size_t i = 0; i < count; ++i)
        std::swap(allowed[i], allowed[i + m_random.below(allowed.size() - i)]);
    allowed.resize(count);
    return allowed;
}

void CrashExchange::tellCounters(Outbox& outbox, TimePoint now)
{
    for (CrashNotice& notice : m_requests.takeSettled()) {
        if (m_settled.size() < mostSettled)
            m_settled.push_back({ std::move(notice), now, tellCrashTimes });
    }
    for (Settled& settled : m_settled) {
        --settled.timesToTell;
        CrashNotice notice = settled.notice;
        for (ToldCrash& crash : notice.crashes)
            crash.age += std::chrono::duration_cast<milliseconds>(now - settled.at);
        if (notice.survivedAgo)
            *notice.survivedAgo += std::chrono::duration_cast<milliseconds>(now - settled.at);
        for (const SocketAddress& counter : countersOf(notice))
            outbox[counter].push_back(notice);
    }
    auto isTold = [](const Settled& settled) { return settled.timesToTell == 0; };
    m_settled.erase(std::remove_if(m_settled.begin(), m_settled.end(), isTold), m_settled.end());
}

void CrashExchange::tellSuspects(Outbox& outbox, TimePoint now)
{
    for (const CrashNotice& notice : m_requests.takeNews(now)) {
        for (const SocketAddress& other : anyOf(notice, toldNews))
            outbox[other].push_back(notice);
    }
    if (m_ticks % tellAllEvery != 0)
        return;
    for (const CrashNotice& notice : m_requests.suspects(now)) {
        for (const SocketAddress& other : anyOf(notice, 1))
            outbox[other].push_back(notice);
    }
}

std::vector<OutgoingDatagram> CrashExchange::tick(TimePoint now)
{
    ++m_ticks;
    m_requests.houseKeep(now);
    if (m_requests.isEmpty() && m_settled.empty())
        return {};
    followEntries();
    Outbox outbox;
    tellCounters(outbox, now);
    tellSuspects(outbox, now);
    return pack(outbox);
}

std::vector<OutgoingDatagram> CrashExchange::tellUrgent(TimePoint now)
{
    followEntries();
    Outbox outbox;
    for (const CrashNotice& notice : m_requests.takeUrgent(now)) {
        for (const SocketAddress& other : anyOf(notice, toldUrgent))
            outbox[other].push_back(notice);
    }
    return pack(outbox);
}

std::vector<OutgoingDatagram> CrashExchange::pack(const Outbox& outbox)
{
    std::vector<OutgoingDatagram> out;
    for (const auto& [to, notices] : outbox) {
        std::size_t count = std::min(notices.size(), mostNotices * mostDatagrams);
        for (std::size_t first = 0; first < count; first += mostNotices) {
            std::size_t last = std::min(first + mostNotices, count);
            CrashReport report;
            report.notices.assign(notices.begin() + static_cast<std::ptrdiff_t>(first), notices.begin() + static_cast<std::ptrdiff_t>(last));
            out.push_back({ to, encodeCrashReport(report) });
        }
    }
    return out;
}

void CrashExchange::take(const SocketAddress& from, const CrashReport& report, TimePoint now)
{
    followEntries();
    auto isSender = [&](const EntryTable::Neighbor& neighbor) { return neighbor.address == from; };
    if (std::none_of(m_others.begin(), m_others.end(), isSender))
        return;
    for (const CrashNotice& notice : report.notices)
        m_requests.take(notice, now);
}

} // namespace catkinwing
