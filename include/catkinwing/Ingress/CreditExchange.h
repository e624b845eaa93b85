#pragma once

#include "catkinwing/Admission/CreditPool.h"
#include "catkinwing/Config/RouteTable.h"
#include "catkinwing/Ingress/EntryTable.h"
#include "catkinwing/Ingress/OutgoingDatagram.h"
#include "catkinwing/PeerProtocol/CreditMessages.h"
#include "catkinwing/Support/Scheduler.h"
#include <deque>
#include <functional>
#include <map>
#include <memory>

namespace catkinwing {

/// Whether a request is within the limit of its workspace.
struct CreditDecision {
    bool isGranted { false };
    /// The credit that the request has used; to be returned if the request isn't executed.
    CreditPortion used;
    /// Of a refused request: when its client should return.
    std::chrono::milliseconds retryAfter { 0 };
    /// Credit of the workspace that this entry has left.
    double remaining { 0 };
    /// The entry whose pool decided; empty if this entry had enough credit itself.
    std::string pool;
};

/// What an entry knows of the limit of one workspace, for operators.
struct CreditState {
    std::string workspace;
    double perSecond { 0 };
    /// The part of the limit that accrues at this entry.
    double sharePerSecond { 0 };
    /// What requests of this entry have asked for lately.
    double askedPerSecond { 0 };
    /// Credit of this entry.
    double atEntry { 0 };
    /// Credit of the pool at this entry.
    double atPool { 0 };
    std::uint64_t granted { 0 };
    std::uint64_t refused { 0 };
};

/// Keeps the requests of each workspace within its limit at all entries together.
///
/// Each entry accrues its fraction of every limit, and leaves it to the pool of its
/// region, which is at one of the region's entries. Entries ask the pool for what a
/// request uses and a little in advance. Pools ask each other for what their regions lack.
/// An entry that reaches no pool uses its own fraction.
class CreditExchange {
public:
    using Send = std::function<void(const OutgoingDatagram& datagram)>;
    using FindWorkspaces = std::function<const WorkspaceTable&()>;

    /// All references must outlive the exchange; \p self is the record of this entry.
    CreditExchange(EntryTable& entries, EntryRecord self, const LimitTolerance& tolerance, Scheduler& scheduler, Random& random,
        FindWorkspaces findWorkspaces, Send send);
    ~CreditExchange();
    CreditExchange(const CreditExchange&) = delete;
    CreditExchange& operator=(const CreditExchange&) = delete;

    /// Must be called when the other entries are known. Credit accrues from the creation of
    /// this object on.
    void start();
    /// Must be called ten times a second.
    void tick();
    void handleMessage(const SocketAddress& from, const CreditMessage& message);
    /// Calls \p done once with the decision, possibly before it returns, and within half a
    /// second. \p maxRetryAfter is the max time that the client waits before it returns.
    void charge(const Workspace& workspace, double amount, std::chrono::milliseconds maxRetryAfter, std::function<void(const CreditDecision&)> done);
    /// Returns the credit of a request that was not executed.
    void refund(const Workspace& workspace, const CreditPortion& used);
    void setTolerance(const LimitTolerance& tolerance) { m_pool.setTolerance(tolerance); }
    /// Returns the state of each workspace with a limit.
    std::vector<CreditState> states();

private:
    /// A request asks this often before this entry decides alone.
    static constexpr unsigned maxAsks = 2;

    /// A request that waits for credit.
    struct Waiting {
        std::uint64_t hash { 0 };
        WorkspaceLimit limit;
        double amount { 0 };
        std::chrono::milliseconds maxRetryAfter { 0 };
        std::function<void(const CreditDecision&)> done;
        unsigned asks { 0 };
        /// The entry that was asked last.
        std::string pool;
        /// The last ask has been answered.
        bool isAnswered { false };
        bool isDecided { false };
    };
    /// An ask whose answer waits for credit of other regions.
    struct HeldAsk {
        CreditAsk ask;
        TimePoint until {};
        /// The entry that asked, and the ID of its message.
        SocketAddress from;
        std::uint64_t id { 0 };
        /// Set instead if a request of this entry asked.
        std::shared_ptr<Waiting> waiting;
    };
    /// Replies of other regions in succession that gave less than half of what was asked for.
    struct RegionRound {
        std::size_t replies { 0 };
        /// Sum of what they gave.
        double given { 0 };
        /// Sum of the asks for which the pool had too little credit in the meantime.
        double lacked { 0 };
        TimePoint lastAt {};
    };
    /// The credit of one workspace at this entry.
    struct Wallet {
        AgedCredit credit;
        /// What requests ask for, and what they are granted.
        DecayingRate asked { std::chrono::seconds(2) };
        DecayingRate used { std::chrono::seconds(2) };
        std::deque<std::shared_ptr<Waiting>> waiting;
        std::uint64_t granted { 0 };
        std::uint64_t refused { 0 };
        /// Asks that wait for credit of other regions, at the pool.
        std::deque<HeldAsk> held;
        RegionRound regionRound;
        /// Other regions have too little credit to wait for it.
        TimePoint scarceUntil {};
        /// Other regions are asked at once only this often.
        TimePoint regionsAskedAt {};
    };
    /// A message without a reply.
    struct PendingAsk {
        CreditMessageKind kind { CreditMessageKind::Deposit };
        SocketAddress to;
        TimePoint sentAt {};
        /// Of an entry's ask.
        std::shared_ptr<Waiting> waiting;
        bool isTimedOut { false };
        /// Of a deposit: the time that it covers.
        Duration deposited { 0 };
        /// The pool holds the ask.
        bool isDelayed { false };
        /// Of a pool's ask: what it asked for, by workspace.
        std::map<std::uint64_t, double> wanted;
    };
    struct Silence {
        /// Messages in succession without a reply.
        unsigned unanswered { 0 };
        TimePoint lastAt {};
    };

    TimePoint now() const { return m_scheduler.clock().now(); }
    Wallet& walletOf(std::uint64_t workspace);
    /// Returns the entry that holds the pool of \p region, as far as it answers.
    SocketAddress poolOf(const std::string& region);
    std::vector<SocketAddress> poolCandidates(const std::string& region);
    bool isSuspect(const SocketAddress& entry) const;
    /// Returns whether other entries that started at the same time may not be listed yet.
    bool hasJustStarted() const;
    void deposit();
    void probeSuspects();
    void askOtherRegions(std::vector<CreditAsk> asks);
    /// Asks other regions for the asks that the pool holds.
    void askForHeld(std::uint64_t workspace, const WorkspaceLimit& limit);
    void ask(const std::shared_ptr<Waiting>& waiting);
    /// Sends a message and returns the record that awaits its reply.
    PendingAsk& sendAwaitingReply(const SocketAddress& to, const CreditMessage& message);
    CreditMessage newMessage(CreditMessageKind kind) { return { kind, ++m_lastId, {}, 0, {} }; }
    void onAskTimeout(std::uint64_t id);
    void decide(const std::shared_ptr<Waiting>& waiting, const CreditPortion& portion, std::chrono::milliseconds retryAfter);
    void settleWaiting(std::uint64_t workspace);
    /// Decides a request that the credit of this entry covers.
    void serve(Waiting& waiting);
    void refuse(Waiting& waiting, std::chrono::milliseconds retryAfter);
    CreditAsk askFor(const Waiting& waiting);
    void answerEntry(const SocketAddress& from, const CreditMessage& message);
    void answerPool(const SocketAddress& from, const CreditMessage& message);
    void sendAnswer(const HeldAsk& held, const CreditPortion& portion, std::chrono::milliseconds retryAfter);
    void grantOrHold(const HeldAsk& held, const WorkspaceLimit& limit);
    /// Answers the held asks that can be granted or have waited long enough.
    void settleHeld(std::uint64_t workspace);
    void appendGrants(std::vector<CreditRow>& rows, const CreditRow& ask, const WorkspaceLimit& limit, std::size_t maxRows);
    CreditRow grantRow(std::uint64_t workspace, const CreditPortion& portion) const;
    void handleReply(const SocketAddress& from, const CreditMessage& reply);
    void recordRegionReply(Wallet& wallet, double given, bool isShort);
    void receiveFromRegion(const PendingAsk& asked, const CreditMessage& reply);
    void expireAsks();

    EntryTable& m_entries;
    EntryRecord m_self;
    Scheduler& m_scheduler;
    Random& m_random;
    FindWorkspaces m_findWorkspaces;
    Send m_send;
    CreditPool m_pool;
    TimePoint m_createdAt;
    absl::flat_hash_map<std::uint64_t, std::unique_ptr<Wallet>> m_wallets;
    /// Asks without a reply, by message ID. Kept for a while after their timeout, since a
    /// late reply carries credit.
    std::map<std::uint64_t, PendingAsk> m_pendingAsks;
    std::uint64_t m_lastId { 0 };
    std::uint64_t m_ticks { 0 };
    /// The region that is asked next, as an index of the other regions.
    std::size_t m_nextRegion { 0 };
    /// Entries that didn't answer, until they are heard from.
    std::map<SocketAddress, Silence> m_silences;
    std::optional<TimePoint> m_startedAt;
    /// Up to this time the accrual has been deposited.
    TimePoint m_depositedUntil {};
    /// Time of deposits without a reply, and the entry that they were sent to.
    Duration m_lostDeposit { 0 };
    SocketAddress m_lostDepositPool;
    /// Candidates for the pool of each region, as of the entry table's change counter.
    std::map<std::string, std::vector<SocketAddress>> m_candidates;
    std::optional<std::uint64_t> m_candidatesVersion;
    std::shared_ptr<bool> m_isAlive { std::make_shared<bool>(true) };
};

} // namespace catkinwing
