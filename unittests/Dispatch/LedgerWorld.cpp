#include "LedgerWorld.h"

#include <algorithm>
#include <cassert>
#include <cstdlib>

namespace catkinwing {

using namespace std::chrono_literals;

class LedgerWorld::EntryScheduler final : public Scheduler {
public:
    explicit EntryScheduler(const Clock& clock)
        : m_clock(clock)
    {
    }

    const Clock& clock() const override { return m_clock; }
    TimerId callAfter(Duration delay, Callback callback) override
    {
        m_timers[{ m_clock.now() + std::max(delay, Duration::zero()), ++m_lastTimer }] = std::move(callback);
        return m_lastTimer;
    }
    void cancel(TimerId timer) override
    {
        auto entry = std::find_if(m_timers.begin(), m_timers.end(), [timer](const auto& candidate) { return candidate.first.second == timer; });
        if (entry != m_timers.end())
            m_timers.erase(entry);
    }
    void clear() { m_timers.clear(); }
    bool hasTimer() const { return !m_timers.empty(); }
    TimePoint nextDue() const { return m_timers.begin()->first.first; }
    void runDue()
    {
        while (hasTimer() && nextDue() <= m_clock.now()) {
            Callback callback = std::move(m_timers.begin()->second);
            m_timers.erase(m_timers.begin());
            callback();
        }
    }

private:
    const Clock& m_clock;
    TimerId m_lastTimer { 0 };
    std::map<std::pair<TimePoint, TimerId>, Callback> m_timers;
};

class LedgerWorld::EntryStore final : public Store {
public:
    EntryStore(LedgerWorld& world, std::size_t entry)
        : m_world(world)
        , m_entry(entry)
    {
    }

    void list(const std::string& prefix, ListCallback done) override
    {
        Operation operation;
        operation.kind = OperationKind::List;
        operation.entry = m_entry;
        operation.key = prefix;
        operation.listed = std::move(done);
        m_world.m_operations.push_back(std::move(operation));
    }
    void compareAndSwap(const std::string& key, StoreRevision expected, const std::string& value, StoreLease, SwapCallback done) override
    {
        Operation operation;
        operation.kind = OperationKind::Swap;
        operation.entry = m_entry;
        operation.key = key;
        operation.expected = expected;
        operation.value = value;
        operation.swapped = std::move(done);
        m_world.m_operations.push_back(std::move(operation));
    }
    // The ledger uses nothing else.
    void get(const std::string&, GetCallback) override { std::abort(); }
    void compareAndDelete(const std::string&, StoreRevision, SwapCallback) override { std::abort(); }
    std::unique_ptr<StoreWatch> watch(const std::string&, StoreRevision, StoreWatchCallbacks) override { std::abort(); }
    void grantLease(std::chrono::milliseconds, LeaseCallback) override { std::abort(); }
    void keepAlive(StoreLease, KeepAliveCallback) override { std::abort(); }
    void revokeLease(StoreLease, DoneCallback) override { std::abort(); }

private:
    LedgerWorld& m_world;
    std::size_t m_entry;
};

class LedgerWorld::EntryForwarder final : public ClaimForwarder {
public:
    EntryForwarder(LedgerWorld& world, std::size_t entry)
        : m_world(world)
        , m_entry(entry)
    {
    }
    void forward(const std::string& target, const ClaimRecord& claim, DoneCallback done) override;

private:
    LedgerWorld& m_world;
    std::size_t m_entry;
};

static std::string entryName(std::size_t entry)
{
    return std::string(1, static_cast<char>('a' + entry));
}

static std::size_t entryIndex(const std::string& name)
{
    return static_cast<std::size_t>(name[0] - 'a');
}

class LedgerWorld::Entry {
public:
    Entry(LedgerWorld& world, std::size_t index, const Scenario& scenario)
        : scheduler(world.m_clock)
        , store(world, index)
        , forwarder(world, index)
        , coordinator(scenario.coordinators[index])
        , m_index(index)
        , m_scenario(scenario)
    {
        start();
    }

    /// Replaces the process by a new one, which knows nothing.
    void restart()
    {
        ledger.reset();
        scheduler.clear();
        inbox.clear();
        executed.clear();
        isFrozen = false;
        start();
    }

    EntryScheduler scheduler;
    EntryStore store;
    EntryForwarder forwarder;
    std::unique_ptr<IdempotencyLedger> ledger;
    /// The entry that this one takes for the coordinator.
    std::size_t coordinator;
    bool isFrozen { false };
    /// What arrived while it was frozen.
    std::deque<Action> inbox;
    std::set<std::uint64_t> executed;

private:
    void start()
    {
        LedgerOptions options;
        options.layout = m_scenario.layout;
        options.batchDelay = 0ms;
        options.minSwapInterval = 0ms;
        options.storeRetryInterval = 0ms;
        ledger = std::make_unique<IdempotencyLedger>(
            store, scheduler, options, entryName(m_index), ++m_incarnation, [this](unsigned) { return entryName(coordinator); }, &forwarder);
        LedgerTestAccess::setFaults(*ledger, m_scenario.faults);
    }

    std::size_t m_index;
    const Scenario& m_scenario;
    std::uint64_t m_incarnation { 0 };
};

void LedgerWorld::EntryForwarder::forward(const std::string& target, const ClaimRecord& claim, DoneCallback done)
{
    LedgerWorld& world = m_world;
    std::size_t from = m_entry;
    std::size_t to = entryIndex(target);
    auto reply = [&world, from, to, done](const ClaimResult& result) {
        Operation message;
        message.kind = OperationKind::Message;
        message.entry = to;
        message.arrive = [&world, from, done, result] { world.deliver(from, [done, result] { done(result); }); };
        message.lose = [] {};
        world.m_operations.push_back(std::move(message));
    };
    Operation message;
    message.kind = OperationKind::Message;
    message.entry = from;
    message.arrive = [&world, to, claim, reply] {
        world.deliver(to, [&world, to, claim, reply] { world.m_entries[to]->ledger->handleForwarded(claim, reply); });
    };
    message.lose = [&world, from, done] { world.deliver(from, [done] { done(absl::UnavailableError("lost")); }); };
    world.m_operations.push_back(std::move(message));
}

LedgerWorld::LedgerWorld(const Scenario& scenario, ScheduleExplorer& explorer)
    : m_scenario(scenario)
    , m_explorer(explorer)
    , m_repeatsLeft(scenario.repeats)
{
    constexpr std::size_t entries = 2;
    for (std::size_t index = 0; index < entries; ++index)
        m_entries.push_back(std::make_unique<Entry>(*this, index, scenario));
}

LedgerWorld::~LedgerWorld() = default;

std::size_t LedgerWorld::executionsOf(const std::string& key) const
{
    return static_cast<std::size_t>(std::count_if(m_executions.begin(), m_executions.end(),
        [&key](const Execution& execution) { return execution.key == key; }));
}

void LedgerWorld::breakPromise(const std::string& text)
{
    if (m_violation.empty())
        m_violation = text;
}

void LedgerWorld::run()
{
    constexpr std::size_t maxSteps = 1'000;
    while (m_violation.empty()) {
        std::vector<Action> possible = actions();
        if (possible.empty())
            break;
        if (++m_steps > maxSteps) {
            breakPromise("the run doesn't end");
            break;
        }
        possible[m_explorer.choose(possible.size())]();
        settle();
    }
}

// Option zero is what happens when nothing goes wrong; the rest is listed from
// the likely to the odd.
std::vector<LedgerWorld::Action> LedgerWorld::actions()
{
    std::vector<Action> defaults;
    std::vector<Action> departures;
    bool hasScript = m_nextScriptStep < m_scenario.script.size();
    auto scriptStep = [this] { runScriptStep(); };
    bool isQuietStep = m_nextScriptStep < m_scenario.quietSteps;
    if (hasScript && !isQuietStep)
        defaults.emplace_back(scriptStep);
    for (auto operation = m_operations.begin(); operation != m_operations.end(); ++operation)
        addOperationActions(operation, defaults, departures);
    if (hasScript && isQuietStep && m_operations.empty())
        defaults.emplace_back(scriptStep);
    bool isOver = defaults.empty() && m_unanswered == 0;
    bool isAnyFrozen = std::any_of(m_entries.begin(), m_entries.end(), [](const auto& entry) { return entry->isFrozen; });
    if (isOver && !isAnyFrozen)
        return {};
    addWakeActions(defaults.empty() ? defaults : departures);
    addFaultActions(departures);
    if (m_unanswered > 0)
        (defaults.empty() ? defaults : departures).emplace_back([this] { tick(); });
    defaults.insert(defaults.end(), std::make_move_iterator(departures.begin()), std::make_move_iterator(departures.end()));
    return defaults;
}

void LedgerWorld::addOperationActions(std::list<Operation>::iterator operation, std::vector<Action>& defaults, std::vector<Action>& departures)
{
    auto take = [this, operation] {
        Operation taken = std::move(*operation);
        m_operations.erase(operation);
        return taken;
    };
    if (operation->kind == OperationKind::Message) {
        defaults.emplace_back([take] { take().arrive(); });
        departures.emplace_back([take] { take().lose(); });
        return;
    }
    if (operation->kind == OperationKind::List) {
        defaults.emplace_back([this, take] {
            Operation list = take();
            deliver(list.entry, [done = list.listed, listing = listAll()] { done(listing); });
        });
        departures.emplace_back([this, take] {
            Operation list = take();
            deliver(list.entry, [done = list.listed] { done(absl::UnavailableError("lost")); });
        });
        return;
    }
    if (operation->isOrphan) {
        departures.emplace_back([this, take] { applySwap(take()); });
        return;
    }
    defaults.emplace_back([this, take] {
        Operation swap = take();
        deliver(swap.entry, [done = swap.swapped, result = applySwap(swap)] { done(result); });
    });
    auto loseAnswer = [this](const Operation& swap, SwapOutcome outcome) {
        deliver(swap.entry, [done = swap.swapped, outcome] { done({ outcome, 0 }); });
    };
    departures.emplace_back([this, take, loseAnswer] {
        Operation swap = take();
        applySwap(swap);
        loseAnswer(swap, SwapOutcome::Unknown);
    });
    departures.emplace_back([operation, loseAnswer] {
        operation->isOrphan = true;
        loseAnswer(*operation, SwapOutcome::Unknown);
    });
    departures.emplace_back([take, loseAnswer] { loseAnswer(take(), SwapOutcome::NotSent); });
}

void LedgerWorld::addWakeActions(std::vector<Action>& possible)
{
    for (const auto& entryPointer : m_entries) {
        Entry& entry = *entryPointer;
        if (!entry.isFrozen)
            continue;
        auto emptyInbox = [&entry] {
            for (; !entry.inbox.empty(); entry.inbox.pop_front())
                entry.inbox.front()();
        };
        possible.emplace_back([&entry, emptyInbox] {
            entry.isFrozen = false;
            emptyInbox();
        });
        possible.emplace_back([&entry, emptyInbox] {
            entry.isFrozen = false;
            entry.scheduler.runDue();
            emptyInbox();
        });
    }
}

void LedgerWorld::addFaultActions(std::vector<Action>& departures)
{
    for (const auto& entryPointer : m_entries) {
        Entry& entry = *entryPointer;
        if (!entry.isFrozen)
            departures.emplace_back([&entry] { entry.isFrozen = true; });
        departures.emplace_back([&entry] { entry.coordinator = 1 - entry.coordinator; });
    }
    for (std::size_t index = 0; index < m_entries.size() && m_unanswered > 0; ++index)
        departures.emplace_back([this, index] { restart(index); });
}

// The callers of the old process lose their connections and repeat.
void LedgerWorld::restart(std::size_t entry)
{
    m_entries[entry]->restart();
    std::vector<std::shared_ptr<Request>> open;
    open.swap(m_openRequests);
    for (const auto& request : open) {
        if (request->isAnswered)
            continue;
        if (request->entry != entry) {
            m_openRequests.push_back(request);
            continue;
        }
        request->isAnswered = true;
        --m_unanswered;
        repeat(request);
    }
}

void LedgerWorld::runScriptStep()
{
    const ScriptStep& step = m_scenario.script[m_nextScriptStep++];
    switch (step.kind) {
    case ScriptStep::Kind::Request:
        sendRequest(step.entry, step.key, false);
        break;
    case ScriptStep::Kind::Wait:
        m_clock.set(m_clock.now() + step.wait);
        break;
    case ScriptStep::Kind::Freeze:
        m_entries[step.entry]->isFrozen = true;
        break;
    }
}

void LedgerWorld::tick()
{
    TimePoint next = TimePoint::max();
    for (const auto& entry : m_entries) {
        if (!entry->isFrozen && entry->scheduler.hasTimer())
            next = std::min(next, entry->scheduler.nextDue());
    }
    if (next == TimePoint::max())
        next = m_clock.now() + 1s;
    m_clock.set(std::max(next, m_clock.now()));
}

void LedgerWorld::settle()
{
    for (const auto& entry : m_entries) {
        if (!entry->isFrozen)
            entry->scheduler.runDue();
    }
}

void LedgerWorld::deliver(std::size_t entry, Action callback)
{
    if (m_entries[entry]->isFrozen)
        m_entries[entry]->inbox.push_back(std::move(callback));
    else
        callback();
}

SwapResult LedgerWorld::applySwap(const Operation& operation)
{
    StoredValue& stored = m_content[operation.key];
    if (stored.revision != operation.expected)
        return { SwapOutcome::Conflict, 0 };
    stored = { operation.key, operation.value, ++m_revision };
    return { SwapOutcome::Committed, m_revision };
}

StoreListing LedgerWorld::listAll() const
{
    StoreListing listing;
    listing.revision = m_revision;
    for (const auto& stored : m_content)
        listing.values.push_back(stored.second);
    return listing;
}

void LedgerWorld::sendRequest(std::size_t entry, const std::string& key, bool isRedirected)
{
    auto request = std::make_shared<Request>();
    request->entry = entry;
    request->key = key;
    request->isRedirected = isRedirected;
    ++m_unanswered;
    m_openRequests.push_back(request);
    constexpr std::uint64_t fingerprint = 7;
    deliver(entry, [this, request] {
        m_entries[request->entry]->ledger->claim("team", request->key, fingerprint, [this, request](const ClaimResult& result) { finishRequest(request, result); });
    });
}

void LedgerWorld::finishRequest(const std::shared_ptr<Request>& request, const ClaimResult& result)
{
    if (request->isAnswered) {
        breakPromise("a claim was answered twice");
        return;
    }
    request->isAnswered = true;
    --m_unanswered;
    switch (result.verdict) {
    case ClaimVerdict::Won:
        execute(request, result.holder);
        break;
    case ClaimVerdict::AlreadyClaimed:
        redirect(request, result.holder);
        break;
    case ClaimVerdict::NotAvailable:
        request->wasRefused = true;
        repeat(request);
        break;
    }
}

// A run may turn out not to happen, because the endpoint refused it.
void LedgerWorld::execute(const std::shared_ptr<Request>& request, const ClaimId& id)
{
    if (request->wasRefused)
        breakPromise("a request that was refused was executed");
    if (m_explorer.choose(2) == 1) {
        m_entries[request->entry]->ledger->release(id);
        repeat(request);
        return;
    }
    TimePoint now = m_clock.now();
    for (const Execution& earlier : m_executions) {
        if (earlier.id == id)
            breakPromise("a claim was executed twice");
        if (earlier.key == request->key && now - earlier.at < m_scenario.layout.retention)
            breakPromise("key " + request->key + " was executed twice");
    }
    m_executions.push_back({ request->key, id, now });
    m_entries[request->entry]->executed.insert(id.serial);
}

void LedgerWorld::redirect(const std::shared_ptr<Request>& request, const ClaimId& holder)
{
    std::size_t target = entryIndex(holder.entry);
    if (target != request->entry && !request->isRedirected) {
        sendRequest(target, request->key, true);
        return;
    }
    bool isAnswerKept = target == request->entry && m_entries[target]->executed.count(holder.serial) > 0;
    if (!isAnswerKept)
        repeat(request);
}

void LedgerWorld::repeat(const std::shared_ptr<Request>& request)
{
    if (m_repeatsLeft == 0)
        return;
    --m_repeatsLeft;
    sendRequest(1 - request->entry, request->key, false);
}

} // namespace catkinwing
