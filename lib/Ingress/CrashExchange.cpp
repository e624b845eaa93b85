#include "catkinwing/Ingress/CrashExchange.h"

#include "catkinwing/Support/Hash.h"
#include <algorithm>
#include <set>
#include <utility>

namespace catkinwing {

using std::chrono::milliseconds;

/// Number of entries that count the crashes of a suspect. Two are chosen among all
/// entries and add up the crashes in different regions. Two are chosen in this entry's
/// region and keep counting while the region is partitioned from the others. Two of each
/// tolerate the loss of one.
static constexpr std::size_t countingEntriesOverall = 2;
static constexpr std::size_t countingEntriesOfRegion = 2;
/// The notice of a settled crash is sent to the counting entries this many times, since datagrams can be lost.
static constexpr unsigned sendsPerSettledNotice = 3;
/// Max number of notices of settled crashes that wait to be sent. This covers the requests that run at
/// a few endpoints.
static constexpr std::size_t maxSettledNotices = 2'048;
/// Number of random entries that a changed notice is sent to in one tick. After five
/// ticks each of 550 entries has received it with near certainty.
static constexpr std::size_t changedNoticeFanout = 4;
/// Max number of entries that are notified of a broken connection without delay. This
/// covers all entries of a small deployment. In a larger deployment the same request
/// reaches each entry less often, so the other entries can be notified at a later tick.
static constexpr std::size_t urgentFanout = 24;
/// Interval in ticks at which notices of suspects are sent to one random entry each, for
/// entries that started later or were unreachable.
static constexpr std::uint64_t suspectSendTicks = 5;
/// Expected number of entries that send an entry which has just registered the notices of what
/// they refuse, in each of \c sendsToNewcomer ticks.
static constexpr double expectedSendersToNewcomer = 4;
static constexpr unsigned sendsToNewcomer = 3;
/// Max number of datagrams that one call of encodeOutbox() makes for one entry. The
/// notices beyond them are left out of that call.
static constexpr std::size_t maxDatagramsPerEntry = 4;

CrashExchange::CrashExchange(CrashSuspectTable& suspects, const EntryTable& entries, EntryRecord self, Random& random)
    : m_suspects(suspects)
    , m_entries(entries)
    , m_self(std::move(self))
    , m_random(random)
{
}

void CrashExchange::updateEntries()
{
    if (m_appliedEntryChanges == m_entries.changeCount())
        return;
    bool isFirst = !m_appliedEntryChanges;
    m_appliedEntryChanges = m_entries.changeCount();
    std::vector<EntryTable::Neighbor> before = std::exchange(m_otherEntries, m_entries.otherEntries());
    m_newcomers.clear();
    if (isFirst)
        return;
    std::set<std::string> keysBefore;
    for (const EntryTable::Neighbor& neighbor : before)
        keysBefore.insert(neighbor.key);
    for (const EntryTable::Neighbor& neighbor : m_otherEntries) {
        if (keysBefore.count(neighbor.key) == 0)
            m_newcomers.push_back({ neighbor, sendsToNewcomer });
    }
}

bool CrashExchange::mayReceive(const EntryTable::Neighbor& neighbor, const CrashNotice& notice) const
{
    return notice.regions.empty() || std::count(notice.regions.begin(), notice.regions.end(), regionHash(neighbor.region)) > 0;
}

// Uses rendezvous hashing, so that entries with the same entry table choose the same
// entries.
std::vector<SocketAddress> CrashExchange::countingEntries(const CrashNotice& notice) const
{
    std::uint64_t seed = stableHash(notice.suspect);
    std::vector<std::pair<std::uint64_t, const EntryTable::Neighbor*>> ranked;
    for (const EntryTable::Neighbor& neighbor : m_otherEntries) {
        if (mayReceive(neighbor, notice))
            ranked.emplace_back(stableHash(neighbor.key, seed), &neighbor);
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<SocketAddress> chosenAddresses;
    std::size_t chosenOverall = 0;
    std::size_t chosenOfRegion = 0;
    for (const auto& [score, neighbor] : ranked) {
        bool isOfRegion = neighbor->region == m_self.region;
        bool isChosen = chosenOverall < countingEntriesOverall || (isOfRegion && chosenOfRegion < countingEntriesOfRegion);
        if (!isChosen)
            continue;
        ++chosenOverall;
        chosenOfRegion += isOfRegion ? 1 : 0;
        chosenAddresses.push_back(neighbor->address);
    }
    return chosenAddresses;
}

std::vector<SocketAddress> CrashExchange::randomEntries(const CrashNotice& notice, std::size_t count) const
{
    std::vector<SocketAddress> allowed;
    for (const EntryTable::Neighbor& neighbor : m_otherEntries) {
        if (mayReceive(neighbor, notice))
            allowed.push_back(neighbor.address);
    }
    count = std::min(count, allowed.size());
    for (std::size_t i = 0; i < count; ++i)
        std::swap(allowed[i], allowed[i + m_random.below(allowed.size() - i)]);
    allowed.resize(count);
    return allowed;
}

void CrashExchange::queueSettledNotices(Outbox& outbox, TimePoint now)
{
    for (CrashNotice& notice : m_suspects.takeSettledNotices()) {
        if (m_settledNotices.size() < maxSettledNotices)
            m_settledNotices.push_back({ std::move(notice), now, sendsPerSettledNotice });
    }
    for (SettledNotice& settled : m_settledNotices) {
        --settled.remainingSends;
        CrashNotice notice = settled.notice;
        for (ToldCrash& crash : notice.crashes)
            crash.age += std::chrono::duration_cast<milliseconds>(now - settled.at);
        if (notice.survivedAgo)
            *notice.survivedAgo += std::chrono::duration_cast<milliseconds>(now - settled.at);
        for (const SocketAddress& address : countingEntries(notice))
            outbox[address].push_back(notice);
    }
    auto isFullySent = [](const SettledNotice& settled) { return settled.remainingSends == 0; };
    m_settledNotices.erase(std::remove_if(m_settledNotices.begin(), m_settledNotices.end(), isFullySent), m_settledNotices.end());
}

void CrashExchange::queueSuspectNotices(Outbox& outbox, TimePoint now)
{
    for (const CrashNotice& notice : m_suspects.takeChangedNotices(now)) {
        for (const SocketAddress& other : randomEntries(notice, changedNoticeFanout))
            outbox[other].push_back(notice);
    }
    if (m_ticks % suspectSendTicks != 0)
        return;
    for (const CrashNotice& notice : m_suspects.nextSuspectNotices(now)) {
        for (const SocketAddress& other : randomEntries(notice, 1))
            outbox[other].push_back(notice);
    }
}

// Few of the other entries send a newcomer what they refuse, so that what it receives doesn't
// grow with their number.
void CrashExchange::queueNewcomerNotices(Outbox& outbox, TimePoint now)
{
    if (m_newcomers.empty())
        return;
    std::vector<CrashNotice> notices = m_suspects.refusedNotices(now);
    double share = std::min(1.0, expectedSendersToNewcomer / static_cast<double>(std::max<std::size_t>(m_otherEntries.size(), 1)));
    for (Newcomer& newcomer : m_newcomers) {
        --newcomer.remainingSends;
        if (m_random.unit() >= share)
            continue;
        for (const CrashNotice& notice : notices) {
            if (mayReceive(newcomer.entry, notice))
                outbox[newcomer.entry.address].push_back(notice);
        }
    }
    auto isDone = [](const Newcomer& newcomer) { return newcomer.remainingSends == 0; };
    m_newcomers.erase(std::remove_if(m_newcomers.begin(), m_newcomers.end(), isDone), m_newcomers.end());
}

std::vector<OutgoingDatagram> CrashExchange::tick(TimePoint now)
{
    ++m_ticks;
    m_suspects.settleAndExpire(now);
    if (m_suspects.isEmpty() && m_settledNotices.empty())
        return {};
    updateEntries();
    Outbox outbox;
    queueNewcomerNotices(outbox, now);
    queueSettledNotices(outbox, now);
    queueSuspectNotices(outbox, now);
    return encodeOutbox(outbox);
}

std::vector<OutgoingDatagram> CrashExchange::takeUrgentDatagrams(TimePoint now)
{
    updateEntries();
    Outbox outbox;
    for (const CrashNotice& notice : m_suspects.takeUrgentNotices(now)) {
        for (const SocketAddress& other : randomEntries(notice, urgentFanout))
            outbox[other].push_back(notice);
    }
    return encodeOutbox(outbox);
}

std::vector<OutgoingDatagram> CrashExchange::encodeOutbox(const Outbox& outbox)
{
    std::vector<OutgoingDatagram> out;
    for (const auto& [to, notices] : outbox) {
        std::size_t count = std::min(notices.size(), mostNotices * maxDatagramsPerEntry);
        for (std::size_t first = 0; first < count; first += mostNotices) {
            std::size_t last = std::min(first + mostNotices, count);
            CrashReport report;
            report.notices.assign(notices.begin() + static_cast<std::ptrdiff_t>(first), notices.begin() + static_cast<std::ptrdiff_t>(last));
            out.push_back({ to, encodeCrashReport(report) });
        }
    }
    return out;
}

void CrashExchange::handleReport(const SocketAddress& from, const CrashReport& report, TimePoint now)
{
    updateEntries();
    auto isFromSender = [&](const EntryTable::Neighbor& neighbor) { return neighbor.address == from; };
    if (std::none_of(m_otherEntries.begin(), m_otherEntries.end(), isFromSender))
        return;
    for (const CrashNotice& notice : report.notices)
        m_suspects.mergeNotice(notice, now);
}

} // namespace catkinwing
