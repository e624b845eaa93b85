#pragma once

#include "LedgerFaults.h"
#include "ScheduleExplorer.h"
#include "catkinwing/Dispatch/IdempotencyLedger.h"
#include "catkinwing/Support/ManualScheduler.h"
#include <array>
#include <deque>
#include <list>
#include <map>
#include <set>

namespace catkinwing {

/// One step of a scenario.
struct ScriptStep {
    enum class Kind {
        /// A caller sends a request with a key to an entry.
        Request,
        /// Time passes for all.
        Wait,
        /// The entry's process stands still until its turn to wake comes.
        Freeze,
    };
    Kind kind { Kind::Request };
    std::size_t entry { 0 };
    std::string key;
    Duration wait {};
};

/// What happens, apart from what the explorer chooses.
struct Scenario {
    std::vector<ScriptStep> script;
    LedgerFaults faults;
    LedgerLayout layout;
    /// The first steps, which each wait until all is quiet; the others don't.
    std::size_t quietSteps { 0 };
    /// The first steps, up to which nothing departs from the default.
    std::size_t fixedSteps { 0 };
    /// The entry that each takes for the coordinator at first.
    std::array<std::size_t, 2> coordinators { 0, 0 };
    /// Times that callers repeat a request that wasn't answered.
    unsigned repeats { 2 };
};

/// Two entries with real ledgers, a deterministic store, and messages between
/// them, in which an explorer decides what happens next and what goes wrong.
class LedgerWorld {
public:
    LedgerWorld(const Scenario& scenario, ScheduleExplorer& explorer);
    ~LedgerWorld();

    /// Runs until nothing is left to happen.
    void run();
    /// Says which promise was broken; empty if none.
    const std::string& violation() const { return m_violation; }
    std::size_t executions() const { return m_executions.size(); }
    std::size_t executionsOf(const std::string& key) const;
    std::size_t steps() const { return m_steps; }

private:
    class Entry;
    class EntryStore;
    class EntryScheduler;
    class EntryForwarder;

    enum class OperationKind { List,
        Swap,
        Message };

    /// A store call or a message under way.
    struct Operation {
        OperationKind kind { OperationKind::List };
        std::size_t entry { 0 };
        std::string key;
        StoreRevision expected { 0 };
        std::string value;
        Store::ListCallback listed;
        Store::SwapCallback swapped;
        /// Runs where a message arrives, and where it is lost.
        std::function<void()> arrive;
        std::function<void()> lose;
        /// Its sender was told that the answer was lost; it may still take effect.
        bool isOrphan { false };
    };

    struct Execution {
        std::string key;
        ClaimId id;
        TimePoint at;
    };

    struct Request {
        std::size_t entry { 0 };
        std::string key;
        bool isRedirected { false };
        bool isAnswered { false };
        bool wasRefused { false };
    };

    using Action = std::function<void()>;

    std::size_t choose(std::size_t options);
    std::vector<Action> actions();
    void addOperationActions(std::list<Operation>::iterator operation, std::vector<Action>& defaults, std::vector<Action>& departures);
    void answerLater(std::size_t entry, const Action& tell, const Action& tellLost);
    void addWakeActions(std::vector<Action>& possible);
    void addFaultActions(std::vector<Action>& departures);
    void restart(std::size_t entry);
    void runScriptStep();
    void tick();
    void settle();
    void sendRequest(std::size_t entry, const std::string& key, bool isRedirected);
    void finishRequest(const std::shared_ptr<Request>& request, const ClaimResult& result);
    void redirect(const std::shared_ptr<Request>& request, const ClaimId& holder);
    void execute(const std::shared_ptr<Request>& request, const ClaimId& id);
    void repeat(const std::shared_ptr<Request>& request);
    SwapResult applySwap(const Operation& operation);
    StoreListing listAll() const;
    void deliver(std::size_t entry, Action callback);
    void breakPromise(const std::string& text);

    const Scenario& m_scenario;
    ScheduleExplorer& m_explorer;
    ManualClock m_clock;
    std::map<std::string, StoredValue> m_content;
    StoreRevision m_revision { 0 };
    std::list<Operation> m_operations;
    std::vector<std::unique_ptr<Entry>> m_entries;
    std::size_t m_nextScriptStep { 0 };
    unsigned m_repeatsLeft { 0 };
    std::size_t m_unanswered { 0 };
    std::vector<std::shared_ptr<Request>> m_openRequests;
    std::size_t m_steps { 0 };
    std::vector<Execution> m_executions;
    std::string m_violation;
};

} // namespace catkinwing
