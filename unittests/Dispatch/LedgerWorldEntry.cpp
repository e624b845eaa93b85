#include "LedgerWorldEntry.h"

namespace catkinwing {

std::string entryName(std::size_t entry)
{
    return std::string(1, static_cast<char>('a' + entry));
}

std::size_t entryIndex(const std::string& name)
{
    return static_cast<std::size_t>(name[0] - 'a');
}

void LedgerWorld::EntryStore::list(const std::string& prefix, ListCallback done)
{
    Operation operation;
    operation.kind = OperationKind::List;
    operation.entry = m_entry;
    operation.key = prefix;
    operation.listed = std::move(done);
    m_world.m_operations.push_back(std::move(operation));
}

void LedgerWorld::EntryStore::compareAndSwap(const std::string& key, StoreRevision expected, const std::string& value, StoreLease, SwapCallback done)
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

void LedgerWorld::Entry::start()
{
    LedgerOptions options;
    options.layout = m_scenario.layout;
    options.batchDelay = std::chrono::milliseconds(0);
    options.minSwapInterval = std::chrono::milliseconds(0);
    options.storeRetryInterval = std::chrono::milliseconds(0);
    ledger = std::make_unique<IdempotencyLedger>(
        store, scheduler, options, entryName(m_index), ++m_incarnation, [this](unsigned) { return entryName(coordinator); }, &forwarder);
    LedgerTestAccess::setFaults(*ledger, m_scenario.faults);
}

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

} // namespace catkinwing
