#include "LedgerWorld.h"

#include "LedgerWorldEntry.h"
#include <algorithm>

namespace catkinwing {

using namespace std::chrono_literals;

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

std::size_t LedgerWorld::choose(std::size_t options)
{
    bool isFixed = m_nextScriptStep <= m_scenario.fixedSteps;
    return isFixed ? 0 : m_explorer.choose(options);
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
        possible[choose(possible.size())]();
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
        departures.emplace_back([this, take] {
            Operation list = take();
            answerLater(
                list.entry, [done = list.listed, listing = listAll()] { done(listing); },
                [done = list.listed] { done(absl::UnavailableError("lost")); });
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
    departures.emplace_back([this, take] {
        Operation swap = take();
        answerLater(
            swap.entry, [done = swap.swapped, result = applySwap(swap)] { done(result); },
            [done = swap.swapped] { done({ SwapOutcome::Unknown, 0 }); });
    });
}

// The store has acted, and its answer is on the way while other things happen.
void LedgerWorld::answerLater(std::size_t entry, const Action& tell, const Action& tellLost)
{
    Operation answer;
    answer.kind = OperationKind::Message;
    answer.entry = entry;
    answer.arrive = [this, entry, tell] { deliver(entry, tell); };
    answer.lose = [this, entry, tellLost] { deliver(entry, tellLost); };
    m_operations.push_back(std::move(answer));
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
    m_revision = m_revision.next();
    stored = { operation.key, operation.value, m_revision, {} };
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
    if (choose(2) == 1) {
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
