#pragma once

#include "catkinwing/Ingress/EntryTable.h"
#include "catkinwing/Ingress/OutgoingDatagram.h"
#include "catkinwing/Membership/CrashingRequests.h"
#include "catkinwing/Support/Random.h"
#include <map>
#include <vector>

namespace catkinwing {

/// How the entries of all regions learn of requests that crash endpoints. Each
/// crash is told to the few entries that count it for its request; once there is
/// more than one, each entry that knows tells some others, until all know. Costs
/// nothing while no endpoint crashes, and an entry no more however many there are.
class CrashExchange {
public:
    /// All references must outlive the exchange; \p self is this entry's record.
    CrashExchange(CrashingRequests& requests, const EntryTable& entries, EntryRecord self, Random& random);

    /// Returns what is to be sent now; to be called ten times a second.
    std::vector<OutgoingDatagram> tick(TimePoint now);
    /// Returns what is to be sent at once of connections that just broke, and of answers
    /// that refute them.
    std::vector<OutgoingDatagram> tellUrgent(TimePoint now);
    /// Takes a report if it comes from an entry.
    void take(const SocketAddress& from, const CrashReport& report, TimePoint now);

private:
    /// A crash that is still to be told to those who count it.
    struct Settled {
        CrashNotice notice;
        TimePoint at {};
        unsigned timesToTell { 0 };
    };
    using Outbox = std::map<SocketAddress, std::vector<CrashNotice>>;

    void followEntries();
    bool mayKnow(const EntryTable::Neighbor& neighbor, const CrashNotice& notice) const;
    std::vector<SocketAddress> countersOf(const CrashNotice& notice) const;
    std::vector<SocketAddress> anyOf(const CrashNotice& notice, std::size_t count) const;
    void tellCounters(Outbox& outbox, TimePoint now);
    void tellSuspects(Outbox& outbox, TimePoint now);
    static std::vector<OutgoingDatagram> pack(const Outbox& outbox);

    CrashingRequests& m_requests;
    const EntryTable& m_entries;
    EntryRecord m_self;
    Random& m_random;
    std::vector<EntryTable::Neighbor> m_others;
    /// What the table of entries had seen when the others were listed.
    std::optional<std::uint64_t> m_seenChanges;
    std::uint64_t m_ticks { 0 };
    std::vector<Settled> m_settled;
};

} // namespace catkinwing
