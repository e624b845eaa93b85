#pragma once

#include "catkinwing/Dispatch/Claim.h"
#include "catkinwing/Dispatch/Outcome.h"
#include <absl/container/flat_hash_map.h>
#include <deque>
#include <functional>
#include <memory>
#include <vector>

namespace catkinwing {

/// The answer given under a claim, whole.
struct Answer {
    HttpResponseHead head;
    std::string body;
};

/// Finished answers by claim, for repeats of their keys; the oldest are dropped
/// first when the bound is reached.
class FinishedAnswers {
public:
    explicit FinishedAnswers(std::size_t maxBytes)
        : m_maxBytes(maxBytes)
    {
    }

    /// Keeps a whole answer; one larger than the bound is not kept.
    void put(const ClaimId& id, const std::shared_ptr<const Answer>& answer);
    /// Returns the answer, or null if it was never kept or has been dropped.
    std::shared_ptr<const Answer> find(const ClaimId& id) const;
    std::size_t bytes() const { return m_bytes; }
    std::size_t size() const { return m_answers.size(); }

private:
    std::size_t m_maxBytes;
    std::size_t m_bytes { 0 };
    absl::flat_hash_map<ClaimId, std::shared_ptr<const Answer>> m_answers;
    std::deque<ClaimId> m_order;
};

/// What a joiner of a running answer is told.
struct JoinedAnswer {
    /// Completed with the answer; else NotRun or Unknown without one.
    Outcome outcome { Outcome::Unknown };
    std::shared_ptr<const Answer> answer;
};

/// Bounds of the answers under way.
struct RunningAnswerLimits {
    /// Longest answer that is kept for joiners.
    std::size_t maxAnswerBytes { 256u << 10 };
    /// All answers under way together.
    std::size_t maxTotalBytes { 16u << 20 };
    std::size_t maxJoinersPerAnswer { 16 };
};

/// Answers under way by claim. Joiners get the whole answer once it has ended,
/// never a part. An answer that outgrows its bound is let go of: its joiners
/// are told Unknown at once, as is any later repeat, since the request runs but
/// its answer can only reach the first caller.
class RunningAnswers {
public:
    using JoinCallback = std::function<void(const JoinedAnswer&)>;
    /// Names a joiner; zero names none.
    using JoinerId = std::uint64_t;

    RunningAnswers(FinishedAnswers& finished, RunningAnswerLimits limits)
        : m_finished(finished)
        , m_limits(limits)
    {
    }

    /// Begins the answer of a claim that was won.
    void begin(const ClaimId& id);
    /// Sets the head of the answer.
    void setHead(const ClaimId& id, const HttpResponseHead& head);
    /// Appends bytes that were delivered to the first caller.
    void append(const ClaimId& id, absl::string_view bytes);
    /// Ends the answer, tells the joiners, and keeps it if it is Completed.
    void finish(const ClaimId& id, Outcome outcome);
    bool isRunning(const ClaimId& id) const { return m_running.contains(id); }
    /// Joins the answer. Zero if it isn't running, was let go of or has too
    /// many joiners: then answer Unknown. \p done is called once, within finish() or append().
    JoinerId join(const ClaimId& id, JoinCallback done);
    /// Forgets a joiner, whose deadline has passed or whose caller has gone.
    void leave(const ClaimId& id, JoinerId joiner);
    std::size_t bytes() const { return m_bytes; }

private:
    struct Joiner {
        JoinerId id { 0 };
        JoinCallback done;
    };
    struct Running {
        Answer answer;
        bool isOverflowed { false };
        std::vector<Joiner> joiners;
    };

    void letGo(Running& running);

    FinishedAnswers& m_finished;
    RunningAnswerLimits m_limits;
    std::size_t m_bytes { 0 };
    JoinerId m_lastJoiner { 0 };
    absl::flat_hash_map<ClaimId, Running> m_running;
};

} // namespace catkinwing
