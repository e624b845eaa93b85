#pragma once

#include "catkinwing/Standin/StandinFrontend.h"
#include "catkinwing/Standin/StoreState.h"

namespace catkinwing::platform {

/// A stand-in for the platform's store: keys, leases, watches that end when
/// their history is gone, and the faults that every stand-in has.
///
/// All its answers carry the number of its era in Store-Era, from 1 on. It can
/// come back from a copy of its state, and has a new era then. Over HTTP,
/// POST /standin/copy takes a copy and returns its number as "copy", and
/// POST /standin/restore comes back from the one that its body names.
class StoreStandin : public standin::StandinService {
public:
    using Copy = standin::StoreState::Copy;

    virtual Copy takeCopy() = 0;
    /// Loses everything since \p copy was taken, and all history. Waiting
    /// watches are cut. Revisions and lease numbers go on from the copy's.
    virtual void restore(const Copy& copy) = 0;
    virtual std::int64_t era() const = 0;
};

std::unique_ptr<StoreStandin> makeStoreStandin(Scheduler& scheduler, standin::ExecutionLog& log, standin::StoreLimits limits);

} // namespace catkinwing::platform
