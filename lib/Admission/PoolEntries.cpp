#include "PoolEntries.h"

#include <algorithm>

namespace catkinwing {

double PoolQueue::ClassEntry::cost() const
{
    double sum = 0;
    for (const auto& [lane, flow] : flows)
        sum += flow.cost();
    return sum;
}

const QueuedRequest* PoolQueue::ClassEntry::firstStartable() const
{
    const QueuedRequest* first = nullptr;
    for (const auto& [lane, flow] : flows) {
        if (!lane->canStart)
            continue;
        const QueuedRequest& head = flow.front();
        if (!first || head.deadline < first->deadline || (head.deadline == first->deadline && head.id < first->id))
            first = &head;
    }
    return first;
}

double PoolQueue::ClassEntry::costAhead(TimePoint deadline) const
{
    double sum = 0;
    for (const auto& [lane, flow] : flows)
        sum += flow.costAhead(deadline);
    return sum;
}

PoolQueue::ClassEntry* PoolQueue::TeamEntry::nextClass()
{
    ClassEntry* next = nullptr;
    for (auto& [key, entry] : classes) {
        if (!entry.firstStartable())
            continue;
        if (!next || entry.counter < next->counter)
            next = &entry;
    }
    return next;
}

void PoolQueue::TeamEntry::boundClasses(double credit)
{
    // Only differences between counters matter, so the counters are rebased to the
    // virtual time of the classes.
    for (auto& [key, entry] : classes)
        entry.counter = std::max(entry.counter - classTime, -credit);
    classTime = 0;
}

} // namespace catkinwing
