#pragma once

#include "catkinwing/Ingress/EntryTable.h"
#include "catkinwing/Ingress/OutgoingDatagram.h"
#include "catkinwing/Membership/CrashSuspectTable.h"
#include "catkinwing/Support/Random.h"
#include <map>
#include <vector>

namespace catkinwing {

/// Distributes crash notices, which name requests and prompt segments that may crash
/// endpoints, among the entries of all regions. A notice of each crash is sent to the few
/// entries that count the crashes of its suspect. Once a suspect has more than one crash, the
/// entries gossip its notice until all of them have received the notice. Sends nothing while no
/// endpoint crashes; the cost of one entry doesn't grow with the number of entries.
class CrashExchange {
public:
    /// All references must outlive the exchange; \p self is the record of this entry.
    CrashExchange(CrashSuspectTable& suspects, const EntryTable& entries, EntryRecord self, Random& random);

    /// Returns the datagrams to send now. Must be called ten times a second.
    std::vector<OutgoingDatagram> tick(TimePoint now);
    /// Returns the datagrams to send without waiting for the next tick. They report
    /// connections that have just broken, and answers which show that a request didn't
    /// crash its endpoint.
    std::vector<OutgoingDatagram> takeUrgentDatagrams(TimePoint now);
    /// Records the notices of \p report. Ignores the report if \p from isn't a registered entry.
    void handleReport(const SocketAddress& from, const CrashReport& report, TimePoint now);

private:
    /// Notice of a settled crash that still has to be sent to the entries that count the
    /// crashes of its request.
    struct SettledNotice {
        CrashNotice notice;
        TimePoint at {};
        unsigned remainingSends { 0 };
    };
    /// An entry that has registered a moment ago and knows nothing of earlier crashes.
    struct Newcomer {
        EntryTable::Neighbor entry;
        unsigned remainingSends { 0 };
    };
    using Outbox = std::map<SocketAddress, std::vector<CrashNotice>>;

    void updateEntries();
    bool mayReceive(const EntryTable::Neighbor& neighbor, const CrashNotice& notice) const;
    std::vector<SocketAddress> countingEntries(const CrashNotice& notice) const;
    std::vector<SocketAddress> randomEntries(const CrashNotice& notice, std::size_t count) const;
    void queueSettledNotices(Outbox& outbox, TimePoint now);
    void queueSuspectNotices(Outbox& outbox, TimePoint now);
    void queueNewcomerNotices(Outbox& outbox, TimePoint now);
    static std::vector<OutgoingDatagram> encodeOutbox(const Outbox& outbox);

    CrashSuspectTable& m_suspects;
    const EntryTable& m_entries;
    EntryRecord m_self;
    Random& m_random;
    std::vector<EntryTable::Neighbor> m_otherEntries;
    /// Change counter of the entry table as of the last update of the list of other entries.
    std::optional<std::uint64_t> m_appliedEntryChanges;
    std::uint64_t m_ticks { 0 };
    std::vector<SettledNotice> m_settledNotices;
    std::vector<Newcomer> m_newcomers;
};

} // namespace catkinwing
