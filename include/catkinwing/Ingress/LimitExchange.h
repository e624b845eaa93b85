#pragma once

#include "catkinwing/Ingress/EndpointTable.h"
#include "catkinwing/Ingress/EntryTable.h"
#include "catkinwing/Ingress/OutgoingDatagram.h"
#include "catkinwing/PeerProtocol/LimitMessages.h"
#include "catkinwing/Support/Random.h"
#include "catkinwing/Support/Scheduler.h"
#include <functional>
#include <map>
#include <string>
#include <utility>

namespace catkinwing {

/// Totals since the start of the entry.
struct LimitTotals {
    /// Requests at endpoints with a limit that this entry asked other entries for, and those
    /// that it obtained.
    std::uint64_t asked { 0 };
    std::uint64_t obtained { 0 };
    /// Requests that this entry granted to other entries.
    std::uint64_t granted { 0 };
};

/// Exchanges among the entries of a region what endpoints say of their request limits, and
/// obtains requests from the entries that hold a share of a limit. While no endpoint of the
/// region has named a limit, an entry sends a few inquiries at its start and nothing else.
class LimitExchange {
public:
    using Send = std::function<void(const OutgoingDatagram& datagram)>;

    /// All references must outlive the exchange; \p self is the record of this entry.
    LimitExchange(EndpointTable& endpoints, const EntryTable& entries, EntryRecord self, Scheduler& scheduler, Random& random, Send send);
    ~LimitExchange();
    LimitExchange(const LimitExchange&) = delete;
    LimitExchange& operator=(const LimitExchange&) = delete;

    /// Must be called ten times a second.
    void tick();
    void handleMessage(const SocketAddress& from, const LimitMessage& message);
    /// Asks entries with a share for one request at any endpoint of \p service that has a
    /// limit. Calls \p done once when one is granted or no further entry is to be asked,
    /// within a tenth of a second. Returns false, and doesn't call it, if there is no entry
    /// to ask.
    bool ask(const std::string& service, std::function<void()> done);
    const LimitTotals& totals() const { return m_totals; }

private:
    struct PendingAsk {
        std::string service;
        std::string holder;
        std::function<void()> done;
        unsigned asks { 0 };
        TimerId timer { 0 };
    };
    /// A holder and a service.
    using HolderKey = std::pair<std::string, std::string>;

    TimePoint now() const { return m_scheduler.clock().now(); }
    bool sendAsk(PendingAsk ask);
    void continueAsk(PendingAsk ask);
    void handleReply(const LimitMessage& reply);
    void answerAsk(const SocketAddress& from, const LimitMessage& ask);
    void mergeRaises(const SocketAddress& from, const LimitMessage& message);
    void mergeStatements(const LimitMessage& message);
    void sendRows(LimitMessageKind kind, const std::vector<LimitRow>& rows, const std::vector<SocketAddress>& to);
    std::chrono::milliseconds ageOf(TimePoint at) const;
    LimitRow rowOf(const RoutedEndpoint& endpoint) const;
    std::vector<LimitRow> rowsOf(const std::vector<std::shared_ptr<RoutedEndpoint>>& endpoints) const;
    void sendInquiry();
    void sendKnown(const std::vector<SocketAddress>& to);
    std::vector<SocketAddress> randomPeers();

    EndpointTable& m_endpoints;
    const EntryTable& m_entries;
    EntryRecord m_self;
    Scheduler& m_scheduler;
    Random& m_random;
    Send m_send;
    LimitTotals m_totals;
    /// Number of ticks at which this entry still asks others for all that they know.
    unsigned m_remainingInquiries;
    std::uint64_t m_ticks { 0 };
    std::uint32_t m_lastId;
    std::map<std::uint32_t, PendingAsk> m_pendingAsks;
    /// Until these times the holders have no request to grant, or don't answer.
    std::map<HolderKey, TimePoint> m_emptyUntil;
};

} // namespace catkinwing
