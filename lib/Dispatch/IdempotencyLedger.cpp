#include "catkinwing/Dispatch/IdempotencyLedger.h"

#include "ShardWriter.h"
#include <cassert>

namespace catkinwing {

namespace {

    /// A claim of this entry from claim() to its result.
    struct LocalClaim {
        ClaimRecord record;
        TimePoint giveUpAt;
        bool isForwarding { false };
        bool isSettled { false };
        IdempotencyLedger::ClaimCallback done;
    };

} // namespace

struct IdempotencyLedger::Impl : public std::enable_shared_from_this<IdempotencyLedger::Impl> {
    std::shared_ptr<LedgerContext> context;
    std::string entry;
    std::uint64_t incarnation { 0 };
    CoordinatorOf coordinatorOf;
    ClaimForwarder* forwarder { nullptr };
    std::uint64_t lastSerial { 0 };
    std::size_t pendingClaims { 0 };
    std::vector<std::shared_ptr<ShardWriter>> writers;

    unsigned shardOf(const ClaimKey& key) const;
    ShardWriter& writerOf(const ClaimKey& key);
    void begin(const std::shared_ptr<LocalClaim>& claim);
    void forward(const std::string& coordinator, const std::shared_ptr<LocalClaim>& claim);
    void finishForward(const std::shared_ptr<LocalClaim>& claim, const absl::StatusOr<ClaimResult>& result);
    void submit(const std::shared_ptr<LocalClaim>& claim, bool mayLand);
    void settle(const std::shared_ptr<LocalClaim>& claim, const ClaimResult& result, bool mayLand);
    bool isUsable(const LocalClaim& claim, const ClaimResult& result) const;
    void refuseLater(const std::shared_ptr<LocalClaim>& claim);
};

IdempotencyLedger::IdempotencyLedger(Store& store, Scheduler& scheduler, LedgerOptions options, std::string entry, std::uint64_t incarnation,
    CoordinatorOf coordinatorOf, ClaimForwarder* forwarder)
    : m_impl(std::make_shared<Impl>())
{
    ReleasedClaims released(options.maxReleasedClaims);
    m_impl->context = std::make_shared<LedgerContext>(LedgerContext { store, scheduler, std::move(options), {}, {}, std::move(released) });
    m_impl->entry = std::move(entry);
    m_impl->incarnation = incarnation;
    m_impl->coordinatorOf = std::move(coordinatorOf);
    m_impl->forwarder = forwarder;
    m_impl->writers.resize(m_impl->context->options.layout.shards);
}

IdempotencyLedger::~IdempotencyLedger() = default;

void LedgerTestAccess::setFaults(IdempotencyLedger& ledger, const LedgerFaults& faults)
{
    ledger.m_impl->context->faults = faults;
}

unsigned IdempotencyLedger::Impl::shardOf(const ClaimKey& key) const
{
    return static_cast<unsigned>(key.high % writers.size());
}

ShardWriter& IdempotencyLedger::Impl::writerOf(const ClaimKey& key)
{
    unsigned shard = shardOf(key);
    if (!writers[shard])
        writers[shard] = std::make_shared<ShardWriter>(context, shard);
    return *writers[shard];
}

void IdempotencyLedger::Impl::begin(const std::shared_ptr<LocalClaim>& claim)
{
    std::string coordinator;
    if (forwarder && coordinatorOf)
        coordinator = coordinatorOf(shardOf(claim->record.key));
    if (coordinator.empty() || coordinator == entry)
        submit(claim, false);
    else
        forward(coordinator, claim);
}

void IdempotencyLedger::Impl::forward(const std::string& coordinator, const std::shared_ptr<LocalClaim>& claim)
{
    claim->isForwarding = true;
    ++context->counters.forwarded;
    std::weak_ptr<Impl> weak = weak_from_this();
    forwarder->forward(coordinator, claim->record, [weak, claim](const absl::StatusOr<ClaimResult>& result) {
        if (auto self = weak.lock())
            self->finishForward(claim, result);
    });
    context->scheduler.callAfter(context->options.forwardTimeout, [weak, claim] {
        if (auto self = weak.lock())
            self->finishForward(claim, absl::DeadlineExceededError("coordinator didn't answer in time"));
    });
}

// The coordinator's word is taken only for what it saw in the store. Where it
// has nothing definite to say, this entry swaps by itself under the same id, so
// it doesn't matter if the coordinator records the claim as well.
bool IdempotencyLedger::Impl::isUsable(const LocalClaim& claim, const ClaimResult& result) const
{
    switch (result.verdict) {
    case ClaimVerdict::Won:
        return result.holder == claim.record.id;
    case ClaimVerdict::AlreadyClaimed:
        return result.holder != claim.record.id && !context->released.contains(result.holder);
    case ClaimVerdict::NotAvailable:
        break;
    }
    return false;
}

void IdempotencyLedger::Impl::finishForward(const std::shared_ptr<LocalClaim>& claim, const absl::StatusOr<ClaimResult>& result)
{
    if (!claim->isForwarding)
        return;
    claim->isForwarding = false;
    bool isLate = context->now() >= claim->giveUpAt && !context->faults.ignoresClaimTimeout;
    if (result.ok() && !isLate && isUsable(*claim, *result)) {
        settle(claim, *result, true);
        return;
    }
    ++context->counters.forwardsFailed;
    submit(claim, true);
}

void IdempotencyLedger::Impl::submit(const std::shared_ptr<LocalClaim>& claim, bool mayLand)
{
    std::weak_ptr<Impl> weak = weak_from_this();
    PendingClaim pending;
    pending.record = claim->record;
    pending.giveUpAt = claim->giveUpAt;
    pending.mayLand = mayLand;
    pending.done = [weak, claim](const ClaimResult& result, bool stillMayLand) {
        if (auto self = weak.lock())
            self->settle(claim, result, stillMayLand);
    };
    writerOf(claim->record.key).submit(std::move(pending));
}

// A claim that is given up is released before its caller hears of it: from
// then on nothing can run under its id.
void IdempotencyLedger::Impl::settle(const std::shared_ptr<LocalClaim>& claim, const ClaimResult& result, bool mayLand)
{
    if (claim->isSettled)
        return;
    claim->isSettled = true;
    --pendingClaims;
    switch (result.verdict) {
    case ClaimVerdict::Won:
        ++context->counters.won;
        break;
    case ClaimVerdict::AlreadyClaimed:
        ++context->counters.alreadyClaimed;
        break;
    case ClaimVerdict::NotAvailable:
        ++context->counters.notAvailable;
        if (mayLand)
            context->released.add(claim->record.id);
        break;
    }
    claim->done(result);
}

void IdempotencyLedger::Impl::refuseLater(const std::shared_ptr<LocalClaim>& claim)
{
    std::weak_ptr<Impl> weak = weak_from_this();
    context->scheduler.callAfter(Duration::zero(), [weak, claim] {
        auto self = weak.lock();
        if (!self)
            return;
        ClaimResult result;
        result.retryAfter = self->context->options.claimTimeout;
        self->settle(claim, result, false);
    });
}

void IdempotencyLedger::claim(absl::string_view team, absl::string_view key, std::uint64_t fingerprint, ClaimCallback done)
{
    auto claim = std::make_shared<LocalClaim>();
    claim->record.key = digestOfKey(team, key);
    claim->record.fingerprint = fingerprint;
    claim->record.id = { m_impl->entry, m_impl->incarnation, ++m_impl->lastSerial };
    claim->giveUpAt = m_impl->context->now() + m_impl->context->options.claimTimeout;
    claim->done = std::move(done);
    ++m_impl->pendingClaims;
    if (m_impl->pendingClaims > m_impl->context->options.maxPendingClaims)
        m_impl->refuseLater(claim);
    else
        m_impl->begin(claim);
}

void IdempotencyLedger::handleForwarded(const ClaimRecord& claim, ClaimCallback done)
{
    PendingClaim pending;
    pending.record = claim;
    pending.giveUpAt = m_impl->context->now() + m_impl->context->options.claimTimeout;
    pending.mayLand = true;
    pending.done = [done = std::move(done)](const ClaimResult& result, bool) { done(result); };
    m_impl->writerOf(claim.key).submit(std::move(pending));
}

void IdempotencyLedger::release(const ClaimId& id)
{
    bool isMine = id.entry == m_impl->entry && id.incarnation == m_impl->incarnation;
    assert(isMine && "only the claimant releases a claim");
    if (isMine)
        m_impl->context->released.add(id);
}

unsigned IdempotencyLedger::shardOf(const ClaimKey& key) const
{
    return m_impl->shardOf(key);
}

const LedgerCounters& IdempotencyLedger::counters() const
{
    return m_impl->context->counters;
}

} // namespace catkinwing
