#pragma once

#include "catkinwing/Dispatch/IdempotencyLedger.h"

namespace catkinwing {

/// Departures from the ledger's rules, each of which lets a request run twice.
/// Only tests set one, to show that their checks would notice.
struct LedgerFaults {
    /// Takes a swap whose answer was lost for a committed one.
    bool takesUnknownForCommitted { false };
    /// The coordinator grants claims by its own view, before its swap.
    bool grantsBeforeSwap { false };
    /// Opens the next generation without sealing the one before.
    bool opensWithoutSealing { false };
    /// Reports a claim as won however late that is learned.
    bool ignoresClaimTimeout { false };
    /// Drops a generation without regard to its age.
    bool dropsEarly { false };
};

/// Gives tests access to what no other user of a ledger may touch.
class LedgerTestAccess {
public:
    static void setFaults(IdempotencyLedger& ledger, const LedgerFaults& faults);
};

} // namespace catkinwing
