#pragma once

#include "catkinwing/Standin/StoreState.h"
#include "catkinwing/Support/Scheduler.h"

namespace catkinwing::standin {

/// Ends the leases of a store when their time has passed.
class LeaseExpiry {
public:
    LeaseExpiry(Scheduler& scheduler, StoreState& state)
        : m_scheduler(scheduler)
        , m_state(state)
    {
    }
    ~LeaseExpiry();
    LeaseExpiry(const LeaseExpiry&) = delete;
    LeaseExpiry& operator=(const LeaseExpiry&) = delete;

    /// Ends what has lapsed and waits for the next; call it around each request.
    void run();

private:
    Scheduler& m_scheduler;
    StoreState& m_state;
    TimerId m_timer { 0 };
};

} // namespace catkinwing::standin
