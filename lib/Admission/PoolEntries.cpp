#include "PoolEntries.h"

#include <algorithm>

namespace catkinwing {

double PoolQueue::ClassState::cost() const
{
    double sum = 0;
    for (const auto& [group, queue] : queuesByGroup)
        sum += queue.cost();
    return sum;
}

const QueuedRequest* PoolQueue::ClassState::firstStartable() const
{
    const QueuedRequest* first = nullptr;
    for (const auto& [group, queue] : queuesByGroup) {
        if (!group->canStart)
            continue;
        const QueuedRequest& head = queue.front();
        if (!first || head.deadline < first->deadline || (head.deadline == first->deadline && head.id < first->id))
            first = &head;
    }
    return first;
}

double PoolQueue::ClassState::costAhead(TimePoint deadline) const
{
    double sum = 0;
    for (const auto& [group, queue] : queuesByGroup)
        sum += queue.costAhead(deadline);
    return sum;
}

PoolQueue::ClassState* PoolQueue::TeamState::nextClass()
{
    ClassState* next = nullptr;
    for (auto& [key, entry] : classes) {
        if (!entry.firstStartable())
            continue;
        if (!next || entry.counter < next->counter)
            next = &entry;
    }
    return next;
}

void PoolQueue::TeamState::boundClassCounters(double maxLag)
{
    // Only differences between counters matter, so the counters are rebased to the
    // virtual time of the classes.
    for (auto& [key, entry] : classes)
        entry.counter = std::max(entry.counter - classVirtualTime, -maxLag);
    classVirtualTime = 0;
}

} // namespace catkinwing
