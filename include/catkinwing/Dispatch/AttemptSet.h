#pragma once

#include "catkinwing/Dispatch/Outcome.h"
#include <absl/types/optional.h>
#include <cstdint>
#include <vector>

namespace catkinwing {

/// Names an attempt within its request.
using AttemptId = std::uint32_t;

/// State of an attempt.
enum class AttemptState {
    /// Sent; nothing to deliver has come.
    Pending,
    /// Its answer is the one that the caller gets.
    Current,
    /// Another attempt became current; its answer is dropped.
    Superseded,
    /// It ended without a whole answer.
    Failed,
    /// Its answer was delivered whole.
    Completed,
};

/// What the end of an attempt means for the request.
enum class RequestState {
    /// The end was of an attempt that no longer matters; change nothing.
    Unchanged,
    /// Another attempt is still under way.
    Waiting,
    /// The whole answer has been delivered.
    Completed,
    /// No attempt is left; decide with decideAfterFailure().
    Failed,
};

/// What to do with bytes of an attempt.
struct DeliveryDecision {
    /// False if the bytes are to be dropped.
    bool deliver { false };
    /// Attempts to cancel now, because this one became current.
    std::vector<AttemptId> cancel;
};

/// The attempts of one request. Only bytes of the current attempt reach the
/// caller; the first attempt to deliver becomes current, and stays so until it
/// ends. A non-idempotent request gets no second attempt unless the earlier
/// ones certainly reached no endpoint.
class AttemptSet {
public:
    explicit AttemptSet(bool isIdempotent)
        : m_isIdempotent(isIdempotent)
    {
    }

    /// Starts an attempt; nothing if the rules forbid one now.
    absl::optional<AttemptId> start();
    /// Called for each piece of a deliverable answer before it is handed on.
    DeliveryDecision offer(AttemptId attempt);
    /// Called when an attempt has ended. An attempt that completed without
    /// having been offered becomes current, unless another one is;
    /// \p cancel gets the attempts to cancel then.
    RequestState finish(AttemptId attempt, const AttemptResult& result, std::vector<AttemptId>& cancel);

    AttemptState state(AttemptId attempt) const;
    /// Returns the attempt whose answer is being delivered.
    absl::optional<AttemptId> current() const { return m_current; }
    /// Returns the number of attempts that have not ended, superseded ones not counted.
    std::size_t running() const;
    std::size_t started() const { return m_attempts.size(); }
    /// Tells whether an attempt that has ended or been superseded may have run.
    bool mayHaveRun() const { return m_mayHaveRun; }
    bool isCompleted() const { return m_isCompleted; }

private:
    struct Attempt {
        AttemptState state { AttemptState::Pending };
        bool mayHaveReachedEndpoint { true };
    };

    bool isLive(AttemptId attempt) const;
    bool mayStart() const;
    void makeCurrent(AttemptId attempt, std::vector<AttemptId>& cancel);

    bool m_isIdempotent;
    bool m_mayHaveRun { false };
    bool m_isCompleted { false };
    std::vector<Attempt> m_attempts;
    absl::optional<AttemptId> m_current;
};

} // namespace catkinwing
