#pragma once

#include "catkinwing/Support/Clock.h"
#include <optional>

namespace catkinwing {

/// What an entry knows of the request rate to which an endpoint limits all entries together.
struct NamedLimit {
    /// Requests a second; nothing if there is no limit.
    std::optional<double> perSecond;
    /// When an endpoint's answer, received by any entry, last confirmed the value; the epoch
    /// if none has named a limit.
    TimePoint confirmedAt {};
    /// Since then all answers, as far as this entry knows, have named a higher limit or none.
    std::optional<TimePoint> raisedSince;
    /// Number of these answers, and the time of the last one.
    unsigned raisedAnswers { 0 };
    TimePoint raisedAt {};
    /// The lowest limit of these answers; nothing if none names one.
    std::optional<double> raisedTo;
};

/// A limit as stated by an answer of the endpoint or by another entry.
struct LimitStatement {
    std::optional<double> perSecond;
    TimePoint confirmedAt {};
};

/// Requests a second that are sent at least to an endpoint, so that its answers tell when it
/// accepts more.
constexpr double minLimitPerSecond = 0.25;

/// Records the limit that an answer of the endpoint, received by any entry at \p at, names, or
/// that it names none. A lower limit applies at once, a higher one or none after three answers
/// in at least a second that all name it. Returns whether the limit has changed.
bool recordNamedLimit(NamedLimit& limit, std::optional<double> perSecond, TimePoint at);

/// Applies the statement of another entry if it is later than what is known. Returns whether
/// the limit has changed.
bool mergeLimit(NamedLimit& limit, const LimitStatement& statement);

} // namespace catkinwing
