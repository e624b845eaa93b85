#include "Measures.h"

#include <algorithm>

namespace catkinwing::bench {

/// Cost of an output token in prefill tokens, as in admission.
static constexpr double outputWeight = 4;
static constexpr std::size_t windowSeconds = 30;
/// Seconds between the starts of two windows.
static constexpr std::size_t windowStep = 5;
static constexpr std::size_t plotSeconds = 10;

static double toMilliseconds(Duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

double percentile(std::vector<double> samples, double part)
{
    if (samples.empty())
        return 0;
    auto place = static_cast<std::ptrdiff_t>(part * static_cast<double>(samples.size() - 1));
    std::nth_element(samples.begin(), samples.begin() + place, samples.end());
    return samples[static_cast<std::size_t>(place)];
}

Measures::Measures(const Scenario& scenario)
    : m_scenario(scenario)
{
}

const ClassPlan& Measures::classPlan(const std::string& name) const
{
    return *std::find_if(m_scenario.classes.begin(), m_scenario.classes.end(), [&](const ClassPlan& plan) { return plan.name == name; });
}

double Measures::shareOf(const std::string& team) const
{
    return std::find_if(m_scenario.teams.begin(), m_scenario.teams.end(), [&](const TeamPlan& plan) { return plan.name == team; })->share;
}

static void count(GroupFigures& group, const EndedRequest& request, const ClassPlan& plan)
{
    ++group.offered;
    group.answered += request.ending == Ending::Answered ? 1 : 0;
    group.refused += request.ending == Ending::Refused ? 1 : 0;
    group.timedOut += request.ending == Ending::TimedOut ? 1 : 0;
    group.failed += request.ending == Ending::Failed ? 1 : 0;
    group.onTime += request.ending == Ending::Answered && *request.timeToFirstToken <= plan.target ? 1 : 0;
    if (request.timeToFirstToken)
        group.timesToFirstToken.push_back(toMilliseconds(*request.timeToFirstToken));
    else if (request.ending == Ending::TimedOut)
        group.timesToFirstToken.push_back(toMilliseconds(plan.timeout));
}

void Measures::recordEnd(const EndedRequest& request)
{
    const ClassPlan& plan = classPlan(request.requestClass);
    count(m_byClass[request.requestClass], request, plan);
    count(m_byTeam[request.team + "/" + request.requestClass], request, plan);
    ++m_offered;
    m_answered += request.ending == Ending::Answered ? 1 : 0;
    m_toRegions += request.forwardedToRegion ? 1 : 0;
    m_toZones += request.forwardedToZone ? 1 : 0;
    m_retries += request.retries;
    bool hasTime = request.timeToFirstToken || request.ending == Ending::TimedOut;
    if (plan.kind == WorkKind::Short && hasTime) {
        auto bucket = static_cast<std::size_t>(std::chrono::duration_cast<std::chrono::seconds>(request.arrivedAt).count()) / plotSeconds;
        m_shortByTime[bucket].push_back(toMilliseconds(request.timeToFirstToken.value_or(plan.timeout)));
    }
}

void Measures::recordService(const std::string& region, const std::string& team, double tokens)
{
    std::vector<Second>& seconds = m_seconds[{ region, team }];
    seconds.resize(std::max(seconds.size(), m_second + 1));
    seconds[m_second].tokens += tokens;
}

void Measures::recordWaiting(const std::string& region, const std::string& team, std::size_t requests)
{
    std::vector<Second>& seconds = m_seconds[{ region, team }];
    seconds.resize(std::max(seconds.size(), m_second + 1));
    seconds[m_second].waiting += requests;
}

void Measures::endSecond()
{
    ++m_second;
}

void Measures::recordEngines(const EngineTotals& totals)
{
    m_engines.promptTokens += totals.promptTokens;
    m_engines.cachedTokens += totals.cachedTokens;
    m_engines.outputTokens += totals.outputTokens;
    m_engines.submitted += totals.submitted;
}

static Measures::Second secondAt(const std::vector<Measures::Second>& seconds, std::size_t index)
{
    return index < seconds.size() ? seconds[index] : Measures::Second {};
}

Measures::Window Measures::windowOf(const std::vector<Second>& seconds, std::size_t from)
{
    Window window;
    window.backlogged = true;
    for (std::size_t i = from; i < from + windowSeconds; ++i) {
        Second second = secondAt(seconds, i);
        window.tokens += second.tokens;
        window.active = window.active || second.tokens > 0 || second.waiting > 0;
        window.backlogged = window.backlogged && second.waiting > 0;
    }
    return window;
}

// A team is owed its share among the teams that were served or waited in the
// window. One that waited in each second of it should have got as much.
std::optional<double> Measures::shortfallIn(const RegionTeam& key, std::size_t from) const
{
    Window own = windowOf(m_seconds.at(key), from);
    if (!own.backlogged)
        return std::nullopt;
    double all = 0;
    double shares = 0;
    for (const auto& [other, seconds] : m_seconds) {
        if (other.first != key.first)
            continue;
        Window window = windowOf(seconds, from);
        all += window.tokens;
        shares += window.active ? shareOf(other.second) : 0;
    }
    double owed = all * shareOf(key.second) / shares;
    return owed > 0 ? 1 - own.tokens / owed : 0;
}

nlohmann::json Measures::shortfall() const
{
    nlohmann::json result = { { "worst", nullptr } };
    std::vector<double> found;
    for (const auto& [key, seconds] : m_seconds) {
        for (std::size_t from = 0; from + windowSeconds <= m_second; from += windowStep) {
            std::optional<double> lack = shortfallIn(key, from);
            if (!lack)
                continue;
            if (found.empty() || *lack > *std::max_element(found.begin(), found.end()))
                result.update({ { "worst", std::max(*lack, 0.0) }, { "region", key.first }, { "team", key.second }, { "fromSecond", from } });
            found.push_back(*lack);
        }
    }
    result["windows"] = found.size();
    result["above5Percent"] = std::count_if(found.begin(), found.end(), [](double lack) { return lack > 0.05; });
    return result;
}

static nlohmann::json describe(const GroupFigures& group)
{
    return { { "offered", group.offered }, { "answered", group.answered }, { "refused", group.refused }, { "timedOut", group.timedOut },
        { "failed", group.failed }, { "onTimePart", group.offered ? static_cast<double>(group.onTime) / static_cast<double>(group.offered) : 0 },
        { "p50Ms", percentile(group.timesToFirstToken, 0.5) }, { "p99Ms", percentile(group.timesToFirstToken, 0.99) } };
}

static double part(double of, double all)
{
    return all > 0 ? of / all : 0;
}

nlohmann::json Measures::figures() const
{
    nlohmann::json figures;
    for (const auto& [name, group] : m_byClass)
        figures["classes"][name] = describe(group);
    for (const auto& [name, group] : m_byTeam)
        figures["teams"][name] = describe(group);
    double prefilled = m_engines.promptTokens - m_engines.cachedTokens;
    figures["costPerAnswer"] = part(prefilled + outputWeight * m_engines.outputTokens, static_cast<double>(m_answered));
    figures["shareToRegions"] = part(static_cast<double>(m_toRegions), static_cast<double>(m_offered));
    figures["shareToZones"] = part(static_cast<double>(m_toZones), static_cast<double>(m_offered));
    figures["hitRatio"] = part(m_engines.cachedTokens, m_engines.promptTokens);
    figures["retryAmplification"] = 1 + part(static_cast<double>(m_retries), static_cast<double>(m_offered));
    figures["shortfall"] = shortfall();
    return figures;
}

std::vector<double> Measures::shortTailByTime() const
{
    std::vector<double> tails;
    for (const auto& [bucket, times] : m_shortByTime) {
        tails.resize(bucket + 1);
        tails[bucket] = percentile(times, 0.99);
    }
    return tails;
}

std::vector<double> Measures::shortTimes() const
{
    std::vector<double> times;
    for (const ClassPlan& plan : m_scenario.classes) {
        auto group = m_byClass.find(plan.name);
        if (plan.kind == WorkKind::Short && group != m_byClass.end())
            times.insert(times.end(), group->second.timesToFirstToken.begin(), group->second.timesToFirstToken.end());
    }
    std::sort(times.begin(), times.end());
    return times;
}

} // namespace catkinwing::bench
