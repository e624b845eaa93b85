#include "catkinwing/Gateway/LedgerForwarder.h"

#include "ClaimMessages.h"
#include <absl/strings/str_cat.h>
#include <map>

namespace catkinwing {

namespace {

    /// A claim that waits for its coordinator.
    struct WaitingClaim {
        ClaimRecord record;
        ClaimForwarder::DoneCallback done;
    };

    /// Claims that were sent in one message.
    struct SentBatch {
        std::vector<WaitingClaim> claims;
        bool isAnswered { false };
    };

    /// What is known of one coordinator.
    struct Coordinator {
        std::vector<WaitingClaim> waiting;
        /// Claims fail at once until then.
        TimePoint retryAt {};
    };

} // namespace

// Callbacks of the transport and the scheduler may come after the forwarder is
// gone, and hold it weakly.
struct LedgerForwarder::Impl : public std::enable_shared_from_this<LedgerForwarder::Impl> {
    Impl(PeerTransport& peerTransport, const EntryDirectory& directory, Scheduler& timers, LedgerForwarderOptions forwarderOptions)
        : transport(peerTransport)
        , entries(directory)
        , scheduler(timers)
        , options(forwarderOptions)
    {
    }

    void add(const std::string& entry, WaitingClaim claim);
    void failLater(WaitingClaim claim, absl::Status status);
    void flush(const std::string& entry);
    void send(const std::string& entry, const SocketAddress& address, std::vector<WaitingClaim> claims);
    void finish(const std::string& entry, SentBatch& batch, const absl::StatusOr<ClaimReply>& reply);

    PeerTransport& transport;
    const EntryDirectory& entries;
    Scheduler& scheduler;
    LedgerForwarderOptions options;
    /// As many as there are entries that have coordinated a shard.
    std::map<std::string, Coordinator> coordinators;
};

LedgerForwarder::LedgerForwarder(PeerTransport& transport, const EntryDirectory& entries, Scheduler& scheduler, LedgerForwarderOptions options)
    : m_impl(std::make_shared<Impl>(transport, entries, scheduler, options))
{
}

LedgerForwarder::~LedgerForwarder() = default;

void LedgerForwarder::forward(const std::string& entry, const ClaimRecord& claim, DoneCallback done)
{
    m_impl->add(entry, { claim, std::move(done) });
}

void LedgerForwarder::Impl::add(const std::string& entry, WaitingClaim claim)
{
    Coordinator& coordinator = coordinators[entry];
    if (scheduler.clock().now() < coordinator.retryAt) {
        failLater(std::move(claim), absl::UnavailableError(absl::StrCat("coordinator ", entry, " failed a moment ago")));
        return;
    }
    coordinator.waiting.push_back(std::move(claim));
    if (coordinator.waiting.size() > 1)
        return;
    std::weak_ptr<Impl> weak = weak_from_this();
    scheduler.callAfter(options.batchDelay, [weak, entry] {
        if (auto self = weak.lock())
            self->flush(entry);
    });
}

void LedgerForwarder::Impl::failLater(WaitingClaim claim, absl::Status status)
{
    scheduler.callAfter(Duration::zero(), [claim = std::move(claim), status = std::move(status)] { claim.done(status); });
}

void LedgerForwarder::Impl::flush(const std::string& entry)
{
    std::vector<WaitingClaim> waiting = std::move(coordinators[entry].waiting);
    coordinators[entry].waiting.clear();
    const EntryIdentity* target = entries.findByName(entry);
    if (!target) {
        for (const WaitingClaim& claim : waiting)
            claim.done(absl::NotFoundError(absl::StrCat("coordinator ", entry, " is not known")));
        return;
    }
    SocketAddress address = target->peerAddress;
    std::vector<WaitingClaim> batch;
    for (WaitingClaim& claim : waiting) {
        batch.push_back(std::move(claim));
        if (batch.size() < options.maxClaimsPerBatch)
            continue;
        send(entry, address, std::move(batch));
        batch.clear();
    }
    if (!batch.empty())
        send(entry, address, std::move(batch));
}

// The only reply that says anything is a ClaimReply with one answer for each claim.
static absl::StatusOr<ClaimReply> claimReply(const absl::StatusOr<std::vector<PeerReply>>& replies, std::size_t expected)
{
    if (!replies.ok())
        return replies.status();
    const ClaimReply* reply = replies->size() == 1 ? std::get_if<ClaimReply>(&replies->front()) : nullptr;
    if (reply && reply->answers.size() == expected)
        return *reply;
    const PeerError* error = replies->size() == 1 ? std::get_if<PeerError>(&replies->front()) : nullptr;
    return absl::UnavailableError(error ? absl::StrCat("coordinator refused: ", error->message) : "coordinator's reply doesn't fit the claims");
}

void LedgerForwarder::Impl::send(const std::string& entry, const SocketAddress& address, std::vector<WaitingClaim> claims)
{
    ClaimBatch message;
    for (const WaitingClaim& claim : claims)
        message.claims.push_back(toMessage(claim.record));
    auto batch = std::make_shared<SentBatch>();
    batch->claims = std::move(claims);
    std::weak_ptr<Impl> weak = weak_from_this();
    TimerId timer = scheduler.callAfter(options.answerTimeout, [weak, entry, batch] {
        if (auto self = weak.lock())
            self->finish(entry, *batch, absl::DeadlineExceededError("coordinator didn't answer in time"));
    });
    transport.send(address, { std::move(message) }, [weak, entry, batch, timer](const absl::StatusOr<std::vector<PeerReply>>& replies) {
        auto self = weak.lock();
        if (!self)
            return;
        self->scheduler.cancel(timer);
        self->finish(entry, *batch, claimReply(replies, batch->claims.size()));
    });
}

void LedgerForwarder::Impl::finish(const std::string& entry, SentBatch& batch, const absl::StatusOr<ClaimReply>& reply)
{
    if (batch.isAnswered)
        return;
    batch.isAnswered = true;
    if (!reply.ok())
        coordinators[entry].retryAt = scheduler.clock().now() + options.retryInterval;
    for (std::size_t i = 0; i < batch.claims.size(); ++i) {
        const WaitingClaim& claim = batch.claims[i];
        if (!reply.ok()) {
            claim.done(reply.status());
            continue;
        }
        std::optional<ClaimResult> result = toResult(claim.record, reply->answers[i]);
        if (result)
            claim.done(*result);
        else
            claim.done(absl::InternalError("coordinator answered another claim"));
    }
}

} // namespace catkinwing
