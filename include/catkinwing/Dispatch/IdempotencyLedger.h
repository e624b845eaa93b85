#pragma once

#include "catkinwing/Coordination/Store.h"
#include "catkinwing/Dispatch/Claim.h"
#include "catkinwing/Dispatch/LedgerDocument.h"
#include "catkinwing/Support/Scheduler.h"
#include <functional>
#include <memory>
#include <string>

namespace catkinwing {

/// Timing and bounds of one entry's ledger.
struct LedgerOptions {
    LedgerLayout layout;
    /// How long a claim waits for others to share its swap.
    std::chrono::milliseconds batchDelay { 5 };
    /// Least time between two swaps of a shard by this entry.
    std::chrono::milliseconds minSwapInterval { 100 };
    /// A claim that isn't settled by then is given up.
    std::chrono::milliseconds claimTimeout { 1'000 };
    /// How long a coordinator is waited for.
    std::chrono::milliseconds forwardTimeout { 300 };
    /// After the store failed, claims are refused at once for this long.
    std::chrono::milliseconds storeRetryInterval { 250 };
    /// Claims that share one swap at most.
    std::size_t maxClaimsPerSwap { 1'000 };
    /// Claims that may wait at once; more are refused.
    std::size_t maxPendingClaims { 10'000 };
    /// Given-up claims that are remembered, so that their keys can be used again.
    std::size_t maxReleasedClaims { 65'536 };
};

/// Sends claims to the coordinator of their shard, to share its swaps.
class ClaimForwarder {
public:
    using DoneCallback = std::function<void(absl::StatusOr<ClaimResult>)>;

    virtual ~ClaimForwarder() = default;
    /// Asks \p entry to record the claim by its handleForwarded(). Calls
    /// \p done later, at most once; any failure may mean that it was recorded.
    virtual void forward(const std::string& entry, const ClaimRecord& claim, DoneCallback done) = 0;
};

/// Returns the entry that coordinates a shard; empty or this entry's name to
/// swap here. Entries may disagree: this only saves writes.
using CoordinatorOf = std::function<std::string(unsigned shard)>;

/// Numbers of a ledger, for metrics.
struct LedgerCounters {
    std::uint64_t won { 0 };
    std::uint64_t alreadyClaimed { 0 };
    std::uint64_t notAvailable { 0 };
    std::uint64_t forwarded { 0 };
    std::uint64_t forwardsFailed { 0 };
    std::uint64_t swaps { 0 };
    std::uint64_t swapConflicts { 0 };
    std::uint64_t swapsUnknown { 0 };
    std::uint64_t loads { 0 };
    /// Loads of shards that another layout or another hand has written.
    std::uint64_t unreadableShards { 0 };
    /// Claims recorded, those of other entries included.
    std::uint64_t claimsRecorded { 0 };
};

/// Records who may run a request with an idempotency key.
///
/// The right to run is won by a compare-and-swap that adds the claim, and by
/// nothing else. The claim names its claimant, which alone may run the request.
/// The sources say why no lost answer, pause, change of coordinator or change
/// of generation lets a key run twice while it is kept.
///
/// How to use it: claim() before dispatch. Won: run once; release() if it
/// turned out not to run. AlreadyClaimed: answer 422 if isOtherRequest, else
/// send the request to the holder's entry, where claim() and then
/// RunningAnswers and FinishedAnswers settle it; if the holder's incarnation is
/// gone or doesn't know the id, the answer is `unknown`. NotAvailable: answer
/// `not-run`. This speaks of the request at hand: an earlier one with the same
/// key may have run, so the caller repeats with the same key.
///
/// Store calls: a shard is swapped at most once in minSwapInterval by its
/// coordinator, so 16 shards make at most 160 writes/s if entries agree on one
/// coordinator for each shard, and as much for each further one. At 700 claims/s (2 % of
/// 35,000 requests/s) 4.4 claims share a write and wait 54 ms at the median, 103
/// ms at p99, on a store that answers in 5 ms; below 1 claim/s a shard, each
/// makes its own write and waits little more than batchDelay (ledger-bench).
///
/// Room: a claim takes 33 bytes, counted as 45. A document is sealed at 1,450
/// claims if its successor's slot is free, which keeps 160,000 claims a day in 16
/// shards of 7 full documents and one open; beyond that documents grow to 17,400
/// claims, 1.9 million a day or 22/s. What goes further is refused as
/// NotAvailable. In memory an entry keeps each shard that it has swapped, at
/// 86 bytes a claim. 700 claims/s kept for 24 h are 60 million, 2 GB: no layout of
/// this ledger holds them; use IssuedKeys, or a shorter retention, at that rate.
class IdempotencyLedger {
public:
    using ClaimCallback = std::function<void(const ClaimResult&)>;

    /// \p store, \p scheduler and \p forwarder must outlive the ledger;
    /// \p forwarder may be null. \p entry and \p incarnation name this process.
    IdempotencyLedger(Store& store, Scheduler& scheduler, LedgerOptions options, std::string entry, std::uint64_t incarnation,
        CoordinatorOf coordinatorOf, ClaimForwarder* forwarder);
    ~IdempotencyLedger();
    IdempotencyLedger(const IdempotencyLedger&) = delete;
    IdempotencyLedger& operator=(const IdempotencyLedger&) = delete;

    /// Claims a key for this entry; \p done is called once, later. A request
    /// that was Won must start within its deadline, which lies far inside the
    /// retention; after a pause of the process the deadline is checked first.
    void claim(absl::string_view team, absl::string_view key, std::uint64_t fingerprint, ClaimCallback done);
    /// Records a claim for another entry, as its shard's coordinator.
    void handleForwarded(const ClaimRecord& claim, ClaimCallback done);
    /// States that nothing was executed under an id that this entry won, and
    /// nothing will be; the key can then be claimed anew through this entry.
    void release(const ClaimId& id);
    /// Returns the shard of a key, for coordinator functions.
    unsigned shardOf(const ClaimKey& key) const;
    const LedgerCounters& counters() const;

private:
    friend class LedgerTestAccess;
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace catkinwing
