#include "catkinwing/Gateway/KeyedRequests.h"

#include "catkinwing/Gateway/AttemptRequest.h"
#include "catkinwing/Gateway/CallerRequest.h"

namespace catkinwing {

static constexpr std::size_t finishedAnswerBytes = 8u << 20;
static constexpr std::size_t largestAnswer = 1u << 20;

KeyedRequests::KeyedRequests(Store& store, RequestBroker& broker, const EntryDirectory& entries, LedgerOptions options, CoordinatorOf coordinatorOf,
    ClaimForwarder* forwarder, const IssuedKeys::Secret& secret)
    : m_broker(broker)
    , m_entries(entries)
    , m_ledger(store, broker.parts().scheduler, std::move(options), broker.parts().self.name, broker.parts().self.incarnation.random, std::move(coordinatorOf), forwarder)
    , m_issued(broker.parts().scheduler.clock(), {}, { broker.parts().self.name, broker.parts().self.incarnation.random }, secret)
    , m_finished(finishedAnswerBytes)
    , m_running(m_finished, {})
{
}

static ApiError keyError(int status, const char* code, const char* message, Outcome outcome)
{
    ApiError error;
    error.status = status;
    error.code = code;
    error.message = message;
    error.outcome = outcome;
    return error;
}

static ApiError usedForOther()
{
    return keyError(422, "key_reused", "the idempotency key was used for another request", Outcome::NotRun);
}

static ApiError answerLost()
{
    return keyError(409, "answer_not_kept", "a request with this idempotency key may have been run, and its answer is not here", Outcome::Unknown);
}

bool KeyedRequests::isOwn(const ClaimId& id) const
{
    const EntryRef& self = m_broker.parts().self;
    return id.entry == self.name && id.incarnation == self.incarnation.random;
}

void KeyedRequests::run(AcceptedRequest request, Responder responder)
{
    absl::optional<KeyAuthority> authority = authorityOf(request.idempotencyKey);
    bool isForwarded = request.routing.hop > 0;
    if (isForwarded && request.claim) {
        runForwarded(std::move(request), std::move(responder));
        return;
    }
    if (authority) {
        runIssued(std::move(request), std::move(responder), *authority);
        return;
    }
    if (isForwarded) {
        sendError(*responder, request.id, keyError(400, "claim_missing", "a forwarded request with a key names no claim", Outcome::NotRun));
        return;
    }
    claimAndRun(std::move(request), std::move(responder));
}

void KeyedRequests::claimAndRun(AcceptedRequest request, Responder responder)
{
    std::uint64_t fingerprint = requestFingerprint(request.http.method, request.endpointTarget, request.http.body);
    std::string team = request.team;
    std::string key = request.idempotencyKey;
    auto shared = std::make_shared<AcceptedRequest>(std::move(request));
    m_ledger.claim(team, key, fingerprint, [this, shared, responder = std::move(responder)](const ClaimResult& result) {
        settle(std::move(*shared), responder, result);
    });
}

// The origin won the claim and sends the request here once; or the claim is one
// of this entry's, and the request is a repeat. The ledger tells which: a claim
// that was given back is won anew here, and any other leads to its answer.
void KeyedRequests::runForwarded(AcceptedRequest request, Responder responder)
{
    if (request.claim->entry == m_broker.parts().self.name) {
        request.claim.reset();
        claimAndRun(std::move(request), std::move(responder));
        return;
    }
    std::string requestId = request.id;
    m_broker.run(std::move(request), AnswerWriter(std::move(responder), std::move(requestId)));
}

void KeyedRequests::runIssued(AcceptedRequest request, Responder responder, const KeyAuthority& authority)
{
    const EntryRef& self = m_broker.parts().self;
    if (!(authority == KeyAuthority { self.name, self.incarnation.random })) {
        askHolder(request, responder, { authority.entry, authority.incarnation, 0 }, true);
        return;
    }
    std::uint64_t fingerprint = requestFingerprint(request.http.method, request.endpointTarget, request.http.body);
    IssuedKeyUse use = m_issued.use(request.team, request.idempotencyKey, fingerprint);
    switch (use.verdict) {
    case IssuedKeyVerdict::Won:
        runUnder(std::move(request), std::move(responder), use.id, true);
        return;
    case IssuedKeyVerdict::AlreadyUsed:
        join(request, responder, use.id);
        return;
    case IssuedKeyVerdict::OtherRequest:
        sendError(*responder, request.id, usedForOther());
        return;
    case IssuedKeyVerdict::Invalid:
        sendError(*responder, request.id, keyError(422, "key_not_issued", "the idempotency key was not issued to this team", Outcome::NotRun));
        return;
    case IssuedKeyVerdict::Expired:
        break;
    }
    sendError(*responder, request.id, answerLost());
}

void KeyedRequests::settle(AcceptedRequest request, Responder responder, const ClaimResult& result)
{
    if (result.verdict == ClaimVerdict::Won) {
        runUnder(std::move(request), std::move(responder), result.holder, false);
        return;
    }
    if (result.verdict == ClaimVerdict::NotAvailable) {
        ApiError error = keyError(503, "ledger_unavailable", "the record of idempotency keys can't be reached; this request was not run", Outcome::NotRun);
        error.retryAfter = std::max(result.retryAfter, std::chrono::milliseconds(1'000));
        sendError(*responder, request.id, error);
        return;
    }
    if (result.isOtherRequest) {
        sendError(*responder, request.id, usedForOther());
        return;
    }
    if (isOwn(result.holder))
        join(request, responder, result.holder);
    else
        askHolder(request, responder, result.holder, false);
}

void KeyedRequests::runUnder(AcceptedRequest request, Responder responder, const ClaimId& id, bool isIssued)
{
    request.claim = id;
    AnswerWriter writer(std::move(responder), request.id);
    writer.recordTo(m_running, id, [this, id, isIssued](Outcome outcome) {
        if (outcome != Outcome::NotRun)
            return;
        // Nothing was executed, so the caller may come back with the same key.
        if (isIssued)
            m_issued.release(id);
        else
            m_ledger.release(id);
    });
    m_broker.run(std::move(request), std::move(writer));
}

static void sendJoined(HttpResponder& responder, const std::string& requestId, const JoinedAnswer& joined)
{
    if (joined.outcome == Outcome::Completed && joined.answer) {
        HttpResponseHead head = joined.answer->head;
        head.headers.set("Catkinwing-Replayed", "true");
        responder.send(head, joined.answer->body);
        return;
    }
    if (joined.outcome == Outcome::NotRun) {
        ApiError error = keyError(503, "not_run", "the request with this idempotency key was not run", Outcome::NotRun);
        error.retryAfter = std::chrono::seconds(1);
        sendError(responder, requestId, error);
        return;
    }
    sendError(responder, requestId, answerLost());
}

void KeyedRequests::join(const AcceptedRequest& request, const Responder& responder, const ClaimId& id)
{
    if (std::shared_ptr<const Answer> answer = m_finished.find(id)) {
        sendJoined(*responder, request.id, { Outcome::Completed, answer });
        return;
    }
    Scheduler& scheduler = m_broker.parts().scheduler;
    auto timer = std::make_shared<TimerId>(0);
    RunningAnswers::JoinerId joiner = m_running.join(id, [responder, requestId = request.id, timer, &scheduler](const JoinedAnswer& joined) {
        scheduler.cancel(*timer);
        sendJoined(*responder, requestId, joined);
    });
    if (joiner == 0) {
        sendError(*responder, request.id, answerLost());
        return;
    }
    Duration left = request.traits.deadline - scheduler.clock().now();
    *timer = scheduler.callAfter(left, [this, id, joiner, responder, requestId = request.id] {
        m_running.leave(id, joiner);
        ApiError error = keyError(409, "still_running", "the request with this idempotency key is still running", Outcome::Unknown);
        error.retryAfter = std::chrono::seconds(1);
        sendError(*responder, requestId, error);
    });
    responder->onClosed([this, id, joiner, timer, &scheduler] {
        scheduler.cancel(*timer);
        m_running.leave(id, joiner);
    });
}

void KeyedRequests::askHolder(const AcceptedRequest& request, const Responder& responder, const ClaimId& id, bool isIssued)
{
    std::optional<ForwardTarget> target = m_entries.find(id.entry, id.incarnation);
    bool mayAsk = target && request.routing.hop == 0 && isAllowed(request.routing.residency, target->region);
    if (!mayAsk) {
        sendError(*responder, request.id, answerLost());
        return;
    }
    AcceptedRequest repeat = request;
    if (!isIssued)
        repeat.claim = id;
    const BrokerParts& parts = m_broker.parts();
    auto left = std::chrono::duration_cast<std::chrono::milliseconds>(request.traits.deadline - parts.scheduler.clock().now());
    AttemptContext context { 0, 0, std::max(left, std::chrono::milliseconds(1)), parts.self, parts.zone, request.routing.residency };
    auto done = [responder, requestId = request.id](const HttpResult& result, const HttpResponseHead& head, std::string body) {
        if (result.end != HttpEnd::Complete) {
            sendError(*responder, requestId, answerLost());
            return;
        }
        HttpResponseHead passed { head.status, headersToPassOn(head.headers) };
        if (const std::string* outcome = head.headers.find(outcomeHeader))
            passed.headers.set(outcomeHeader, *outcome);
        if (head.headers.find("Catkinwing-Replayed"))
            passed.headers.set("Catkinwing-Replayed", "true");
        passed.headers.set(requestIdHeader, requestId);
        responder->send(passed, std::move(body));
    };
    HttpClientRequest question = forwardRequest(repeat, *target, context);
    // A kept answer bears the ID of the request that was run.
    question.echoedField.clear();
    question.freshConnection = true;
    sendForWhole(parts.peerClient, std::move(question), largestAnswer, std::move(done));
}

} // namespace catkinwing
