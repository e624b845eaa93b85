#include "CreditFleet.h"

#include <algorithm>
#include <cassert>

namespace catkinwing {

using std::chrono::milliseconds;

static constexpr milliseconds step { 10 };
static constexpr milliseconds tickInterval { 100 };
static constexpr milliseconds entryLeaseDuration { 4'000 };
/// Time until a change of the number of entries is in the store.
static constexpr milliseconds countWriteDelay { 2'000 };
static constexpr milliseconds latencyInsideRegion { 1 };
static constexpr milliseconds latencyBetweenRegions { 55 };
static constexpr milliseconds maxRetryAfter { 2'000 };
static constexpr const char* workspaceName = "workspace";

CreditFleet::CreditFleet(unsigned seed, std::vector<std::string> regions, std::size_t entriesPerRegion, WorkspaceLimit limit, LimitTolerance limitTolerance)
    : random(seed)
    , tolerance(limitTolerance)
    , m_regions(std::move(regions))
{
    scheduler.advance(std::chrono::minutes(1));
    setLimit(limit);
    for (std::size_t i = 0; i < entriesPerRegion; ++i) {
        for (const std::string& region : m_regions)
            addEntry(region);
    }
}

void CreditFleet::setLimit(const WorkspaceLimit& limit)
{
    Workspace workspace;
    workspace.name = workspaceName;
    workspace.limit = limit;
    m_workspaces = WorkspaceTable({ workspace });
}

std::size_t CreditFleet::addEntry(const std::string& region)
{
    std::size_t entry = m_entries.size();
    SocketAddress address { "10.0.0." + std::to_string(entry / 200), static_cast<std::uint16_t>(1 + entry % 200) };
    Entry added;
    added.record = { region, region + "-a", address, address };
    m_entries.push_back(std::move(added));
    m_entryAt[address] = entry;
    start(entry);
    return entry;
}

void CreditFleet::start(std::size_t entry)
{
    Entry& started = m_entries[entry];
    started.key = "entry-" + std::to_string(entry) + "." + std::to_string(++m_starts);
    started.table = std::make_unique<EntryTable>(started.record);
    for (const auto& [key, record] : m_registrations)
        started.table->put(key, record);
    if (m_storedCount > 0)
        started.table->recordStoredCount({ m_storedCount, 1 }, now());
    started.exchange = std::make_unique<CreditExchange>(
        *started.table, started.record, tolerance, scheduler, random, [this]() -> const WorkspaceTable& { return m_workspaces; },
        [this, entry](const OutgoingDatagram& datagram) { deliver(entry, datagram); });
    started.startedAt = now();
    started.exchange->start();
    registerEntry(entry);
}

void CreditFleet::registerEntry(std::size_t entry)
{
    const std::string& key = m_entries[entry].key;
    m_entries[entry].table->put(key, m_entries[entry].record);
    if (listingDelay == Duration::zero()) {
        listRegistration(entry);
        return;
    }
    scheduler.callAfter(listingDelay, [this, entry, key] {
        if (m_entries[entry].key == key && isUp(entry))
            listRegistration(entry);
    });
}

void CreditFleet::listRegistration(std::size_t entry)
{
    const Entry& listed = m_entries[entry];
    m_registrations[listed.key] = listed.record;
    for (Entry& other : m_entries) {
        if (other.table)
            other.table->put(listed.key, listed.record);
    }
}

void CreditFleet::removeRegistration(std::size_t entry)
{
    expireRegistration(m_entries[entry].key);
}

void CreditFleet::removeAllRegistrations()
{
    for (std::size_t entry = 0; entry < entries(); ++entry)
        removeRegistration(entry);
}

void CreditFleet::expireRegistration(const std::string& key)
{
    m_registrations.erase(key);
    for (Entry& other : m_entries) {
        if (other.table)
            other.table->remove(key, now());
    }
}

void CreditFleet::kill(std::size_t entry)
{
    m_entries[entry].exchange.reset();
    scheduler.callAfter(entryLeaseDuration, [this, key = m_entries[entry].key] { expireRegistration(key); });
}

void CreditFleet::restart(std::size_t entry)
{
    if (isUp(entry))
        kill(entry);
    start(entry);
}

void CreditFleet::killAll()
{
    for (std::size_t entry = 0; entry < entries(); ++entry) {
        if (isUp(entry))
            kill(entry);
    }
}

void CreditFleet::restartAll()
{
    killAll();
    for (std::size_t entry = 0; entry < entries(); ++entry)
        start(entry);
}

void CreditFleet::setCutOff(const std::string& region, bool isCutOff)
{
    if (isCutOff)
        m_cutOffRegions.insert(region);
    else
        m_cutOffRegions.erase(region);
}

void CreditFleet::setEntryCutOff(std::size_t entry, bool isCutOff)
{
    if (isCutOff)
        m_cutOffEntries.insert(entry);
    else
        m_cutOffEntries.erase(entry);
}

void CreditFleet::setSuspended(std::size_t entry, bool isSuspended)
{
    if (isSuspended)
        m_suspendedEntries.insert(entry);
    else
        m_suspendedEntries.erase(entry);
}

void CreditFleet::deliver(std::size_t from, const OutgoingDatagram& datagram)
{
    std::size_t to = m_entryAt.at(datagram.to);
    const std::string& fromRegion = regionOf(from);
    const std::string& toRegion = regionOf(to);
    bool crossesRegions = fromRegion != toRegion;
    ++datagrams;
    bytes += datagram.bytes.size();
    bytesBetweenRegions += crossesRegions ? datagram.bytes.size() : 0;
    bool isCutOff = (crossesRegions && (m_cutOffRegions.count(fromRegion) > 0 || m_cutOffRegions.count(toRegion) > 0)) || m_cutOffEntries.count(from) > 0 || m_cutOffEntries.count(to) > 0;
    if (isCutOff || random.unit() < lostFraction)
        return;
    int copies = random.unit() < repeatedFraction ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        Duration delay = (crossesRegions ? latencyBetweenRegions : latencyInsideRegion) * (1 + copy);
        scheduler.callAfter(delay, [this, from, to, text = datagram.bytes] {
            if (!isUp(to) || m_suspendedEntries.count(to) > 0)
                return;
            absl::StatusOr<CreditMessage> message = decodeCreditMessage(text);
            assert(message.ok() && "an encoded credit message can be decoded");
            m_entries[to].exchange->handleMessage(m_entries[from].record.peerAddress, *message);
        });
    }
}

void CreditFleet::request(std::size_t entry, double amount)
{
    if (!isUp(entry) || m_suspendedEntries.count(entry) > 0)
        return;
    ++asked;
    askedAmount += amount;
    m_entries[entry].exchange->charge(m_workspaces.all().front(), amount, maxRetryAfter, [this, amount](const CreditDecision& decision) {
        if (decision.isGranted) {
            granted.push_back({ now(), amount });
            return;
        }
        ++refused;
        refusedAmount += amount;
    });
}

void CreditFleet::requestAnywhere(const std::string& region, double amount)
{
    std::vector<std::size_t> candidates;
    for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
        if (isUp(entry) && regionOf(entry) == region)
            candidates.push_back(entry);
    }
    if (!candidates.empty())
        request(candidates[random.below(candidates.size())], amount);
}

void CreditFleet::requestUntilRefused(std::size_t entry, double amount)
{
    constexpr int maxRequests = 1'000;
    for (int i = 0; i < maxRequests && isUp(entry); ++i) {
        std::size_t before = granted.size();
        request(entry, amount);
        if (granted.size() == before)
            return;
    }
}

void CreditFleet::advance(Duration span)
{
    for (Duration passed { 0 }; passed < span; passed += step) {
        scheduler.advance(step);
        if (now() < m_nextTick)
            continue;
        m_nextTick = now() + tickInterval;
        for (Entry& entry : m_entries) {
            if (entry.exchange && now() - entry.startedAt >= countWriteDelay)
                m_storedCount = std::max(m_storedCount, entry.table->recentMaxAddresses(now()));
        }
        for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
            if (isUp(entry) && m_suspendedEntries.count(entry) == 0)
                m_entries[entry].exchange->tick();
        }
    }
}

double CreditFleet::grantedSince(TimePoint from) const
{
    double sum = 0;
    for (const GrantedRequest& request : granted)
        sum += request.at >= from ? request.amount : 0;
    return sum;
}

double CreditFleet::maxGrantedInWindow() const
{
    double inWindow = 0;
    double most = 0;
    std::size_t first = 0;
    for (const GrantedRequest& request : granted) {
        inWindow += request.amount;
        while (granted[first].at <= request.at - tolerance.window)
            inWindow -= granted[first++].amount;
        most = std::max(most, inWindow);
    }
    return most;
}

double CreditFleet::minGrantedInWindow(TimePoint from) const
{
    constexpr milliseconds windowStep { 100 };
    double min = grantedSince(from);
    for (TimePoint begin = from; begin + tolerance.window <= now(); begin += windowStep)
        min = std::min(min, grantedSince(begin) - grantedSince(begin + tolerance.window));
    return min;
}

double CreditFleet::allowedInWindow() const
{
    const WorkspaceLimit& limit = m_workspaces.all().front().limit;
    double window = std::chrono::duration<double>(tolerance.window).count();
    return (limit.perSecond * window + limit.burst) * (1 + tolerance.overage) + tolerance.slack;
}

} // namespace catkinwing
