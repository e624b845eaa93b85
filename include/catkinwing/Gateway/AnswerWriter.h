#pragma once

#include "catkinwing/Dispatch/Answers.h"
#include "catkinwing/Gateway/ApiError.h"
#include <functional>
#include <optional>

namespace catkinwing {

/// Writes the answer to one request; a keyed request's answer is recorded
/// besides, for repeats of its key.
class AnswerWriter {
public:
    AnswerWriter(std::shared_ptr<HttpResponder> responder, std::string requestId);

    /// Records the answer under \p claim from now on, and calls \p onEnd with how
    /// it ended; \p answers must outlive this.
    void recordTo(RunningAnswers& answers, const ClaimId& claim, std::function<void(Outcome)> onEnd);
    bool isRecorded() const { return m_answers != nullptr; }

    /// Starts a streamed answer.
    void sendHead(const HttpResponseHead& head);
    void write(std::string bytes);
    /// Ends a streamed answer as whole.
    void finish();
    /// Sends a whole answer.
    void send(const HttpResponseHead& head, std::string body, Outcome outcome);
    /// Refuses, or ends a streamed answer so that the caller sees it is not whole.
    void fail(const ApiError& error);

    bool hasHead() const { return m_hasHead; }
    HttpResponder& responder() { return *m_responder; }

private:
    HttpResponseHead withRequestId(const HttpResponseHead& head) const;
    void endRecord(Outcome outcome);

    std::shared_ptr<HttpResponder> m_responder;
    std::string m_requestId;
    bool m_hasHead { false };
    bool m_isEventStream { false };
    RunningAnswers* m_answers { nullptr };
    std::optional<ClaimId> m_claim;
    std::function<void(Outcome)> m_onEnd;
};

} // namespace catkinwing
