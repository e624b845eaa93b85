#include "catkinwing/Placement/OrderSender.h"

#include "catkinwing/Support/Logging.h"
#include <algorithm>
#include <deque>
#include <map>
#include <utility>

namespace catkinwing {

struct OrderSender::Impl : std::enable_shared_from_this<Impl> {
    /// One endpoint and how far it is.
    struct Target {
        OrderedEndpoint endpoint;
        std::optional<DesiredState> desired;
        /// Number of the lease under which the desired state was set.
        std::int64_t desiredUnder { 0 };
        std::optional<ReportedState> lastState;
        /// Number of the lease under which that was read.
        std::int64_t readUnder { 0 };
        OrderProgress progress { OrderProgress::None };
        /// Last order that was accepted, and when it was sent.
        std::optional<Order> acceptedOrder;
        TimePoint orderedAt {};
        /// Incarnation of the endpoint that the order was meant for.
        std::string orderedIncarnation;
        bool isWaiting { false };
        bool isBusy { false };
        TimerId timer { 0 };
    };

    Impl(EndpointAdmin& givenAdmin, LeaseKeeper& givenLease, Scheduler& givenScheduler, OrderSenderOptions givenOptions)
        : admin(givenAdmin)
        , lease(givenLease)
        , scheduler(givenScheduler)
        , options(givenOptions)
    {
    }

    // Wraps what is done with an answer from an endpoint, which may have been
    // forgotten meanwhile.
    template <typename Function>
    auto whenAnswered(const std::string& name, Function function)
    {
        return [weak = weak_from_this(), name, function](const auto& answer) {
            auto self = weak.lock();
            if (!self)
                return;
            if (Target* target = self->find(name)) {
                function(*self, *target, answer);
                return;
            }
            --self->inFlight;
            self->pump();
        };
    }

    TimePoint now() const { return scheduler.clock().now(); }
    Target* find(const std::string& name);
    OrderPermission permissionFor(const Target& target) const;
    void enqueue(const std::string& name);
    void visitLater(Target& target, Duration pause);
    void pump();
    void visit(Target& target);
    void finishVisit(Target& target, Duration pause);
    void onState(Target& target, const absl::StatusOr<ReportedState>& state);
    bool isInSync(const Target& target, std::int64_t fencing) const;
    bool mayStillTakeEffect(const Target& target, std::int64_t fencing) const;
    void order(Target& target);
    void onOrdered(Target& target, const Order& sent, TimePoint sentAt, OrderOutcome outcome);
    void loseLease(Target& target);

    EndpointAdmin& admin;
    LeaseKeeper& lease;
    Scheduler& scheduler;
    OrderSenderOptions options;
    OrderCounters counters;
    std::map<std::string, Target> targets;
    std::deque<std::string> queue;
    std::size_t inFlight { 0 };
};

OrderSender::Impl::Target* OrderSender::Impl::find(const std::string& name)
{
    auto found = targets.find(name);
    return found == targets.end() ? nullptr : &found->second;
}

OrderPermission OrderSender::Impl::permissionFor(const Target& target) const
{
    OrderContext context;
    context.now = now();
    context.lease = lease.lastHeld();
    context.timeToLive = lease.options().timeToLive;
    context.margin = lease.options().margin;
    context.honoursFencing = target.endpoint.honoursFencing;
    OrderPermission permission = options.permission(context);
    // What was decided under an earlier lease is not carried out under this one.
    if (permission.verdict == OrderVerdict::Allowed && target.desiredUnder != permission.fencing)
        permission.verdict = OrderVerdict::NoLease;
    return permission;
}

void OrderSender::Impl::enqueue(const std::string& name)
{
    Target* target = find(name);
    if (!target || target->isBusy || target->isWaiting)
        return;
    target->isWaiting = true;
    scheduler.cancel(std::exchange(target->timer, 0));
    queue.push_back(name);
    pump();
}

void OrderSender::Impl::visitLater(Target& target, Duration pause)
{
    scheduler.cancel(target.timer);
    target.timer = scheduler.callAfter(pause, [weak = weak_from_this(), name = target.endpoint.name] {
        if (auto self = weak.lock())
            self->enqueue(name);
    });
}

void OrderSender::Impl::pump()
{
    while (!queue.empty() && inFlight < options.maxInFlight) {
        std::string name = std::move(queue.front());
        queue.pop_front();
        Target* target = find(name);
        if (!target || !target->isWaiting)
            continue;
        target->isWaiting = false;
        visit(*target);
    }
}

void OrderSender::Impl::visit(Target& target)
{
    if (!lease.isHeld(now())) {
        visitLater(target, options.reconcileEvery);
        return;
    }
    target.isBusy = true;
    ++inFlight;
    auto onAnswer = [](Impl& self, Target& answered, const absl::StatusOr<ReportedState>& state) { self.onState(answered, state); };
    admin.readState(target.endpoint, whenAnswered(target.endpoint.name, onAnswer));
}

void OrderSender::Impl::finishVisit(Target& target, Duration pause)
{
    target.isBusy = false;
    --inFlight;
    visitLater(target, pause);
    pump();
}

void OrderSender::Impl::onState(Target& target, const absl::StatusOr<ReportedState>& state)
{
    if (!state.ok()) {
        ++counters.failedReads;
        finishVisit(target, options.reconcileEvery);
        return;
    }
    target.lastState = *state;
    auto held = lease.held(now());
    target.readUnder = held ? held->fencing : 0;
    if (!target.desired) {
        finishVisit(target, options.reconcileEvery);
        return;
    }
    order(target);
}

bool OrderSender::Impl::isInSync(const Target& target, std::int64_t fencing) const
{
    bool knowsNumber = !target.endpoint.honoursFencing || target.lastState->fencing == fencing;
    return knowsNumber && fulfils(*target.lastState, *target.desired);
}

bool OrderSender::Impl::mayStillTakeEffect(const Target& target, std::int64_t fencing) const
{
    return target.acceptedOrder && target.acceptedOrder->fencing == fencing && target.acceptedOrder->desired == *target.desired
        && target.orderedIncarnation == target.lastState->incarnation && now() < target.orderedAt + options.resendAfter;
}

// The permission is asked for here and not when the visit began: the state may
// have taken long to arrive, or the process been frozen meanwhile.
void OrderSender::Impl::order(Target& target)
{
    OrderPermission permission = permissionFor(target);
    if (permission.verdict == OrderVerdict::NoLease) {
        ++counters.heldBackNoLease;
        target.progress = OrderProgress::Pending;
        finishVisit(target, options.reconcileEvery);
        return;
    }
    if (target.endpoint.honoursFencing && target.lastState->fencing > permission.fencing) {
        loseLease(target);
        return;
    }
    if (isInSync(target, permission.fencing)) {
        target.progress = OrderProgress::InSync;
        finishVisit(target, options.reconcileEvery);
        return;
    }
    target.progress = OrderProgress::Pending;
    if (permission.verdict == OrderVerdict::TooEarly) {
        ++counters.heldBackTooEarly;
        finishVisit(target, permission.allowedFrom - now());
        return;
    }
    if (mayStillTakeEffect(target, permission.fencing)) {
        finishVisit(target, options.reconcileEvery);
        return;
    }
    ++counters.sent;
    Order sent { permission.fencing, *target.desired };
    target.acceptedOrder.reset();
    target.orderedIncarnation = target.lastState->incarnation;
    auto onAnswer = [sent, sentAt = now()](Impl& self, Target& answered, OrderOutcome outcome) { self.onOrdered(answered, sent, sentAt, outcome); };
    admin.sendOrder(target.endpoint, sent, whenAnswered(target.endpoint.name, onAnswer));
}

void OrderSender::Impl::onOrdered(Target& target, const Order& sent, TimePoint sentAt, OrderOutcome outcome)
{
    switch (outcome) {
    case OrderOutcome::Accepted:
        ++counters.accepted;
        target.acceptedOrder = sent;
        target.orderedAt = sentAt;
        finishVisit(target, options.readBackAfter);
        return;
    case OrderOutcome::StaleFencing:
        loseLease(target);
        return;
    case OrderOutcome::Refused:
        ++counters.refused;
        finishVisit(target, options.reconcileEvery);
        return;
    case OrderOutcome::NotSent:
    case OrderOutcome::Unknown:
        // Reading back settles it; the same order again does no harm.
        ++counters.unknown;
        finishVisit(target, options.readBackAfter);
        return;
    }
}

void OrderSender::Impl::loseLease(Target& target)
{
    ++counters.staleFencing;
    target.progress = OrderProgress::Pending;
    finishVisit(target, options.reconcileEvery);
    lease.dropAsSuperseded();
}

OrderSender::OrderSender(EndpointAdmin& admin, LeaseKeeper& lease, Scheduler& scheduler, OrderSenderOptions options)
    : m_impl(std::make_shared<Impl>(admin, lease, scheduler, options))
{
}

OrderSender::~OrderSender() = default;

static void noteUnchecked(const OrderedEndpoint& endpoint)
{
    if (!endpoint.checksCaller)
        logChange(LogLevel::Warning, "endpoint takes orders from anyone", { { "endpoint", endpoint.name } });
}

void OrderSender::setEndpoints(const std::vector<OrderedEndpoint>& endpoints)
{
    std::map<std::string, Impl::Target> next;
    for (const auto& endpoint : endpoints) {
        auto known = m_impl->targets.find(endpoint.name);
        Impl::Target& target = next[endpoint.name];
        if (known == m_impl->targets.end())
            noteUnchecked(endpoint);
        else
            target = std::move(known->second);
        target.endpoint = endpoint;
    }
    m_impl->targets = std::move(next);
    for (const auto& endpoint : endpoints) {
        if (m_impl->targets[endpoint.name].timer == 0)
            m_impl->enqueue(endpoint.name);
    }
}

bool OrderSender::setDesired(const std::string& endpoint, const DesiredState& desired)
{
    Impl::Target* target = m_impl->find(endpoint);
    auto held = m_impl->lease.held(m_impl->now());
    if (!target || !held)
        return false;
    bool isSame = target->desired && *target->desired == desired && target->desiredUnder == held->fencing;
    if (isSame)
        return true;
    target->desired = desired;
    target->desiredUnder = held->fencing;
    target->progress = OrderProgress::Pending;
    m_impl->enqueue(endpoint);
    return true;
}

std::optional<DesiredState> OrderSender::desired(const std::string& endpoint) const
{
    Impl::Target* target = m_impl->find(endpoint);
    auto held = m_impl->lease.held(m_impl->now());
    if (!target || !held || target->desiredUnder != held->fencing)
        return std::nullopt;
    return target->desired;
}

OrderProgress OrderSender::progress(const std::string& endpoint) const
{
    Impl::Target* target = m_impl->find(endpoint);
    return target ? target->progress : OrderProgress::None;
}

std::optional<ReportedState> OrderSender::lastState(const std::string& endpoint) const
{
    Impl::Target* target = m_impl->find(endpoint);
    auto held = m_impl->lease.held(m_impl->now());
    if (!target || !held || target->readUnder != held->fencing)
        return std::nullopt;
    return target->lastState;
}

std::vector<std::string> OrderSender::uncheckedEndpoints() const
{
    std::vector<std::string> names;
    for (const auto& [name, target] : m_impl->targets) {
        if (!target.endpoint.checksCaller)
            names.push_back(name);
    }
    return names;
}

const OrderCounters& OrderSender::counters() const
{
    return m_impl->counters;
}

} // namespace catkinwing
