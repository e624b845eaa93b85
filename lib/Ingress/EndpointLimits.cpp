#include "catkinwing/Ingress/EndpointLimits.h"

#include "catkinwing/Ingress/EndpointTable.h"
#include "catkinwing/Support/Logging.h"
#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace catkinwing {

using std::chrono::milliseconds;

/// Requests that an endpoint with a limit may receive from all entries together: in any
/// window the limit times the ratio, and the slack.
static constexpr Duration limitWindow = std::chrono::seconds(4);
static constexpr double limitRatio = 1.5;
static constexpr double limitSlack = 5;
/// A granted request is used when the grant arrives, unless its client has left.
static constexpr milliseconds grantLifetime { 200 };
/// Time for which the end of a limit is told to entries that may have missed it.
static constexpr std::chrono::seconds endedLimitRetention { 60 };
/// Minimum interval at which the changes of one limit are told to all entries at once.
static constexpr milliseconds minTellInterval { 300 };

static SharedRate sharedRateOf(double perSecond)
{
    return { perSecond, limitRatio, limitSlack, limitWindow, grantLifetime };
}

// A share begins without a request: the process that ran before this one may have used its
// own, and so may the entry that held the share before.
void EndpointLimits::updateShare(RoutedEndpoint& endpoint, TimePoint now) const
{
    EndpointLimit& limit = endpoint.limit;
    limit.otherHolders.clear();
    if (!limit.named.perSecond) {
        limit.share.reset();
        return;
    }
    SharedRate rate = sharedRateOf(*limit.named.perSecond);
    RateShare share = divideRate(m_sharers, m_self, endpoint.record.incarnation, rate);
    limit.otherHolders = listedHolders(m_sharers, endpoint.record.incarnation, rate);
    limit.otherHolders.erase(std::remove(limit.otherHolders.begin(), limit.otherHolders.end(), m_self), limit.otherHolders.end());
    if (share.burst <= 0) {
        limit.share.reset();
        return;
    }
    TokenRate tokens { share.perSecond, share.burst };
    if (!limit.share) {
        limit.share.emplace(tokens, now);
        limit.share->takeIntoDebt(share.burst, now);
    }
    limit.share->setRate(tokens, now);
}

static bool areSame(const std::vector<RateSharer>& left, const std::vector<RateSharer>& right)
{
    auto isSame = [](const RateSharer& a, const RateSharer& b) { return a.name == b.name && a.isListed == b.isListed; };
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), isSame);
}

void EndpointLimits::setSharers(const std::vector<RateSharer>& sharers, const std::string& self, TimePoint now)
{
    if (m_self == self && areSame(m_sharers, sharers))
        return;
    m_sharers = sharers;
    m_self = self;
    for (const auto& [hash, known] : m_known) {
        if (std::shared_ptr<RoutedEndpoint> endpoint = known.lock())
            updateShare(*endpoint, now);
    }
}

void EndpointLimits::apply(const std::shared_ptr<RoutedEndpoint>& endpoint, const char* source, TimePoint now)
{
    m_known[endpoint->hash] = endpoint;
    updateShare(*endpoint, now);
    const std::optional<double>& perSecond = endpoint->limit.named.perSecond;
    logChange(LogLevel::Info, "endpoint_limit_changed",
        { { "endpoint", endpoint->record.incarnation }, { "service", endpoint->record.service }, { "in_flight", endpoint->requestsInFlight },
            { "limit_per_second", perSecond ? nlohmann::json(*perSecond) : nlohmann::json() }, { "source", source },
            { "has_share", endpoint->limit.share.has_value() }, { "other_holders", endpoint->limit.otherHolders.size() } });
}

void EndpointLimits::recordAnswer(const std::shared_ptr<RoutedEndpoint>& endpoint, std::optional<double> perSecond, TimePoint now)
{
    NamedLimit& named = endpoint->limit.named;
    if (recordNamedLimit(named, perSecond, now)) {
        apply(endpoint, "answer", now);
        m_changed[endpoint->hash] = endpoint;
    } else if (named.raisedSince) {
        m_raised[endpoint->hash] = endpoint;
    }
}

void EndpointLimits::mergeAnswer(const std::shared_ptr<RoutedEndpoint>& endpoint, const LimitStatement& answer, TimePoint now)
{
    if (recordNamedLimit(endpoint->limit.named, answer.perSecond, answer.confirmedAt))
        apply(endpoint, "entry", now);
}

void EndpointLimits::merge(const std::shared_ptr<RoutedEndpoint>& endpoint, const LimitStatement& statement, TimePoint now)
{
    if (mergeLimit(endpoint->limit.named, statement))
        apply(endpoint, "entry", now);
}

bool EndpointLimits::hasRequest(const EndpointLimit& limit, TimePoint now)
{
    if (!limit.named.perSecond)
        return true;
    bool hasGrant = std::any_of(limit.grants.begin(), limit.grants.end(), [now](TimePoint expiry) { return now < expiry; });
    return hasGrant || (limit.share && limit.share->available(now) >= 1);
}

static void removeExpired(std::vector<TimePoint>& expiries, TimePoint now)
{
    expiries.erase(std::remove_if(expiries.begin(), expiries.end(), [now](TimePoint expiry) { return now >= expiry; }), expiries.end());
}

bool EndpointLimits::tryTake(EndpointLimit& limit, TimePoint now)
{
    if (!limit.named.perSecond)
        return true;
    removeExpired(limit.grants, now);
    if (limit.grants.empty())
        return tryGrant(limit, now);
    limit.grants.erase(limit.grants.begin());
    return true;
}

bool EndpointLimits::tryGrant(EndpointLimit& limit, TimePoint now)
{
    return limit.named.perSecond && limit.share && limit.share->tryTake(1, now);
}

void EndpointLimits::addGrant(EndpointLimit& limit, TimePoint now)
{
    removeExpired(limit.grants, now);
    limit.grants.push_back(now + grantLifetime);
}

Duration EndpointLimits::timeToRequest(const EndpointLimit& limit, TimePoint now)
{
    return limit.share ? limit.share->timeTo(1, now) : Duration::max();
}

std::vector<std::shared_ptr<RoutedEndpoint>> EndpointLimits::takeChanged(TimePoint now)
{
    std::vector<std::shared_ptr<RoutedEndpoint>> changed;
    for (auto it = m_changed.begin(); it != m_changed.end();) {
        std::shared_ptr<RoutedEndpoint> endpoint = it->second.lock();
        bool isTooSoon = endpoint && now - endpoint->limit.toldAt < minTellInterval;
        auto next = std::next(it);
        if (endpoint && !isTooSoon) {
            endpoint->limit.toldAt = now;
            changed.push_back(std::move(endpoint));
        }
        if (!isTooSoon)
            m_changed.erase(it);
        it = next;
    }
    return changed;
}

std::vector<std::shared_ptr<RoutedEndpoint>> EndpointLimits::takeRaised()
{
    std::vector<std::shared_ptr<RoutedEndpoint>> raised;
    for (const auto& [hash, weak] : std::exchange(m_raised, {})) {
        std::shared_ptr<RoutedEndpoint> endpoint = weak.lock();
        bool isRaised = endpoint && endpoint->limit.named.raisedSince;
        if (isRaised)
            raised.push_back(std::move(endpoint));
    }
    return raised;
}

std::vector<std::shared_ptr<RoutedEndpoint>> EndpointLimits::known(TimePoint now)
{
    std::vector<std::shared_ptr<RoutedEndpoint>> endpoints;
    for (auto it = m_known.begin(); it != m_known.end();) {
        std::shared_ptr<RoutedEndpoint> endpoint = it->second.lock();
        bool isForgotten = !endpoint || (!endpoint->limit.named.perSecond && now - endpoint->limit.named.confirmedAt > endedLimitRetention);
        auto next = std::next(it);
        if (isForgotten)
            m_known.erase(it);
        else
            endpoints.push_back(std::move(endpoint));
        it = next;
    }
    return endpoints;
}

} // namespace catkinwing
