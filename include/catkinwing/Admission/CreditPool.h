#pragma once

#include "catkinwing/Admission/AgedCredit.h"
#include "catkinwing/Admission/DecayingRate.h"
#include "catkinwing/Admission/WaitLimit.h"
#include "catkinwing/Config/Workspace.h"
#include "catkinwing/Support/Random.h"
#include "catkinwing/Support/SocketAddress.h"
#include <absl/container/flat_hash_map.h>
#include <deque>
#include <map>
#include <vector>

namespace catkinwing {

/// By how much the use of a workspace within any window may exceed its limit.
struct LimitTolerance {
    Duration window { std::chrono::seconds(8) };
    /// Fraction of the limit.
    double overage { 0.1 };
    /// Units in addition to that.
    double slack { 190'000 };
};

/// Returns how long credit of a workspace may be kept until it is used.
Duration creditLifetime(const WorkspaceLimit& limit, const LimitTolerance& tolerance);

/// The time for which an entry leaves the accrual of credit to a pool. It covers all
/// workspaces, so that its size doesn't depend on their number.
struct CreditDeposit {
    Duration elapsed { 0 };
    /// Number of entries that the limit is divided by.
    std::uint32_t entries { 1 };
};

/// A request for credit, in whole units.
struct CreditAsk {
    std::uint64_t workspace { 0 };
    /// Credit below this amount is of no use.
    double needed { 0 };
    /// Largest useful amount.
    double wanted { 0 };
    /// Max time that the client waits before it returns.
    std::chrono::milliseconds maxRetryAfter { 0 };
};

/// Who asks a pool for credit.
enum class CreditAsker {
    /// An entry of the region.
    Entry,
    /// The pool of another region. Leaves the pool what its own region is about to use.
    Pool,
};

/// Credit of all workspaces that the entries of a region have left to one of them. The
/// credit that all pools and entries hold together accrues at the limit of the workspace,
/// however many pools there are, since it only moves between them.
class CreditPool {
public:
    explicit CreditPool(LimitTolerance tolerance)
        : m_tolerance(tolerance)
    {
    }

    void setTolerance(const LimitTolerance& tolerance) { m_tolerance = tolerance; }
    void deposit(const SocketAddress& depositor, const CreditDeposit& deposit, TimePoint now);
    /// Adds credit of another pool.
    void add(std::uint64_t workspace, const CreditPortion& portion, TimePoint now);
    /// Returns what is granted: nothing if less is there than an entry needs. A pool may ask
    /// again for the rest of what it wants.
    CreditPortion grant(const CreditAsk& ask, const WorkspaceLimit& limit, CreditAsker asker, TimePoint now);
    /// Returns the time after which the client of a refused request should return, when
    /// credit is expected to be there for it.
    std::chrono::milliseconds bookRetry(const CreditAsk& ask, const WorkspaceLimit& limit, TimePoint now, Random& random);
    /// Returns what the pool should ask the pools of other regions for.
    std::vector<CreditAsk> shortages(const WorkspaceTable& workspaces, TimePoint now);
    /// Returns the credit that the pool should have in addition for the demand of its region.
    double missing(std::uint64_t workspace, const WorkspaceLimit& limit, TimePoint now);
    /// Returns the credit of a workspace.
    double available(std::uint64_t workspace, const WorkspaceLimit& limit, TimePoint now);

private:
    /// Fraction of the limits' accrual that was deposited within a short time.
    struct Slot {
        TimePoint at {};
        std::chrono::duration<double> share { 0 };
    };
    struct Account {
        AgedCredit credit;
        /// Deposits up to this time are contained in the credit.
        TimePoint collectedUntil {};
        /// Credit asked for by entries of the region.
        DecayingRate demand { std::chrono::seconds(1) };
        /// Credit received.
        DecayingRate income { std::chrono::seconds(1) };
        RetryAfterSchedule retryAfters;
        /// The largest amount that was refused, until it expires.
        CreditPortion refused;
        TimePoint lastAskedAt {};
    };

    Account& collect(std::uint64_t workspace, const WorkspaceLimit& limit, TimePoint now);
    double reserveOf(const Account& account, const WorkspaceLimit& limit, TimePoint now) const;

    LimitTolerance m_tolerance;
    std::deque<Slot> m_slots;
    /// Up to this time the deposits of the depositor are credited.
    std::map<SocketAddress, TimePoint> m_creditedUntil;
    absl::flat_hash_map<std::uint64_t, Account> m_accounts;
};

} // namespace catkinwing
