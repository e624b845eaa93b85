#include "catkinwing/Admission/NamedLimit.h"

#include <algorithm>

namespace catkinwing {

/// Answers without the limit may have been sent before it began, and an endpoint that
/// changes its limit with each answer must not get the highest.
static constexpr std::chrono::milliseconds minRaiseTime { 1'000 };
static constexpr unsigned minRaisedAnswers = 3;
/// No endpoint serves as many requests a second, so that a higher limit is none.
static constexpr double maxLimitPerSecond = 100'000;

static bool isLower(const std::optional<double>& left, const std::optional<double>& right)
{
    return left && (!right || *left < *right);
}

static bool confirm(NamedLimit& limit, const std::optional<double>& perSecond, TimePoint at)
{
    bool hasChanged = limit.perSecond != perSecond;
    limit.perSecond = perSecond;
    limit.confirmedAt = at;
    limit.raisedSince.reset();
    limit.raisedAnswers = 0;
    return hasChanged;
}

bool recordNamedLimit(NamedLimit& limit, std::optional<double> perSecond, TimePoint at)
{
    if (perSecond)
        perSecond = *perSecond > maxLimitPerSecond ? std::nullopt : std::optional<double>(std::max(*perSecond, minLimitPerSecond));
    if (!limit.perSecond && !perSecond)
        return false;
    if (!isLower(limit.perSecond, perSecond))
        return confirm(limit, perSecond, at);
    if (!limit.raisedSince) {
        limit.raisedSince = at;
        limit.raisedTo = perSecond;
    }
    if (isLower(perSecond, limit.raisedTo))
        limit.raisedTo = perSecond;
    ++limit.raisedAnswers;
    limit.raisedAt = std::max(at, limit.raisedAt);
    bool isRaised = limit.raisedAnswers >= minRaisedAnswers && at - *limit.raisedSince >= minRaiseTime;
    return isRaised && confirm(limit, limit.raisedTo, at);
}

bool mergeLimit(NamedLimit& limit, const LimitStatement& statement)
{
    return statement.confirmedAt > limit.confirmedAt && confirm(limit, statement.perSecond, statement.confirmedAt);
}

} // namespace catkinwing
