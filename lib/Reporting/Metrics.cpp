#include "catkinwing/Reporting/Metrics.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace catkinwing {

struct Metrics::Impl {
    Impl();

    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter>& requests;
    prometheus::Family<prometheus::Counter>& events;
    prometheus::Family<prometheus::Gauge>& gauges;
    prometheus::Family<prometheus::Histogram>& firstToken;
    prometheus::Family<prometheus::Histogram>& queueWait;
    prometheus::Family<prometheus::Histogram>& stages;
};

Metrics::Impl::Impl()
    : requests(prometheus::BuildCounter().Name("catkinwing_requests_total").Help("Requests answered, by team, class and outcome.").Register(registry))
    , events(prometheus::BuildCounter().Name("catkinwing_events_total").Help("Events by kind.").Register(registry))
    , gauges(prometheus::BuildGauge().Name("catkinwing_state").Help("Present values by kind.").Register(registry))
    , firstToken(prometheus::BuildHistogram().Name("catkinwing_time_to_first_token_seconds").Help("Time from arrival to the first token.").Register(registry))
    , queueWait(prometheus::BuildHistogram().Name("catkinwing_queue_wait_seconds").Help("Time spent in the queue.").Register(registry))
    , stages(prometheus::BuildHistogram().Name("catkinwing_stage_seconds").Help("Time of each stage of routed requests, by service.").Register(registry))
{
}

Metrics::Metrics()
    : m_impl(std::make_unique<Impl>())
{
}

Metrics::~Metrics() = default;

static double seconds(std::chrono::nanoseconds time)
{
    return std::chrono::duration<double>(time).count();
}

static prometheus::Histogram::BucketBoundaries latencyBuckets()
{
    return { 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.8, 1.2, 1.6, 2.5, 5, 10, 30, 60 };
}

void Metrics::countRequest(const std::string& team, const std::string& className, const std::string& outcome)
{
    m_impl->requests.Add({ { "team", team }, { "class", className }, { "outcome", outcome } }).Increment();
}

void Metrics::observeFirstToken(const std::string& className, std::chrono::nanoseconds time)
{
    m_impl->firstToken.Add({ { "class", className } }, latencyBuckets()).Observe(seconds(time));
}

void Metrics::observeQueueWait(const std::string& className, std::chrono::nanoseconds time)
{
    m_impl->queueWait.Add({ { "class", className } }, latencyBuckets()).Observe(seconds(time));
}

void Metrics::observeStage(const std::string& stage, const std::string& service, std::chrono::nanoseconds time)
{
    m_impl->stages.Add({ { "stage", stage }, { "service", service } }, latencyBuckets()).Observe(seconds(time));
}

void Metrics::count(const std::string& name, double amount)
{
    m_impl->events.Add({ { "event", name } }).Increment(amount);
}

void Metrics::set(const std::string& name, double value)
{
    m_impl->gauges.Add({ { "name", name } }).Set(value);
}

std::string Metrics::render() const
{
    return prometheus::TextSerializer().Serialize(m_impl->registry.Collect());
}

} // namespace catkinwing
