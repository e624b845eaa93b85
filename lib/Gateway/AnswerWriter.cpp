#include "catkinwing/Gateway/AnswerWriter.h"

#include "catkinwing/Gateway/CallerRequest.h"
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

namespace catkinwing {

AnswerWriter::AnswerWriter(std::shared_ptr<HttpResponder> responder, std::string requestId)
    : m_responder(std::move(responder))
    , m_requestId(std::move(requestId))
{
}

void AnswerWriter::recordTo(RunningAnswers& answers, const ClaimId& claim, std::function<void(Outcome)> onEnd)
{
    m_answers = &answers;
    m_claim = claim;
    m_onEnd = std::move(onEnd);
    answers.begin(claim);
}

void AnswerWriter::endRecord(Outcome outcome)
{
    if (!m_answers)
        return;
    m_answers->finish(*m_claim, outcome);
    m_answers = nullptr;
    m_onEnd(outcome);
}

HttpResponseHead AnswerWriter::withRequestId(const HttpResponseHead& head) const
{
    HttpResponseHead sent { head.status, headersToPassOn(head.headers) };
    sent.headers.set(requestIdHeader, m_requestId);
    return sent;
}

void AnswerWriter::sendHead(const HttpResponseHead& head)
{
    m_hasHead = true;
    const std::string* type = head.headers.find("Content-Type");
    m_isEventStream = type && absl::StartsWithIgnoreCase(*type, "text/event-stream");
    HttpResponseHead sent = withRequestId(head);
    if (m_answers)
        m_answers->setHead(*m_claim, sent);
    m_responder->sendHead(sent);
}

void AnswerWriter::write(std::string bytes)
{
    if (bytes.empty())
        return;
    if (m_answers)
        m_answers->append(*m_claim, bytes);
    m_responder->write(std::move(bytes));
}

void AnswerWriter::finish()
{
    m_responder->finish();
    endRecord(Outcome::Completed);
}

void AnswerWriter::send(const HttpResponseHead& head, std::string body, Outcome outcome)
{
    m_hasHead = true;
    HttpResponseHead sent = withRequestId(head);
    if (outcome != Outcome::Completed)
        sent.headers.set(outcomeHeader, outcomeWord(outcome));
    if (m_answers) {
        m_answers->setHead(*m_claim, sent);
        m_answers->append(*m_claim, body);
    }
    m_responder->send(sent, std::move(body));
    endRecord(outcome);
}

// Once the head is out, an error can only be told inside the stream; cutting
// the connection besides makes sure that no client takes the answer for whole.
void AnswerWriter::fail(const ApiError& error)
{
    endRecord(error.outcome);
    if (!m_hasHead) {
        m_hasHead = true;
        sendError(*m_responder, m_requestId, error);
        return;
    }
    if (m_isEventStream)
        m_responder->write(absl::StrCat("data: ", errorBody(error), "\n\n"));
    m_responder->abort();
}

} // namespace catkinwing
