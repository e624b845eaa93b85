#pragma once

#include "catkinwing/Coordination/Store.h"
#include "catkinwing/Support/Scheduler.h"
#include <absl/strings/string_view.h>

namespace catkinwing {

/// What is known in the end of a write whose answer was lost.
enum class SettledOutcome {
    /// The write took effect.
    Committed,
    /// The write took no effect and never will.
    NotCommitted,
    /// Not known; the write may still take effect.
    StillUnknown,
};

/// What the caller wants of the lost write.
enum class SettleIntent {
    /// Have it take effect if that is still possible.
    Complete,
    /// Keep it from taking effect if that is still possible.
    Abandon,
};

/// The compare-and-swap whose answer was lost.
struct LostSwap {
    std::string key;
    StoreRevision expected { 0 };
    std::string value;
    StoreLease lease { 0 };
    /// Tells whether a stored value holds the write, by its unique id.
    std::function<bool(absl::string_view stored)> holdsWrite;
    /// True if every later writer keeps the ids of the writes before it, so
    /// that a value without the id proves that the write was never made.
    bool laterValuesKeepId { false };
    SettleIntent intent { SettleIntent::Complete };
    /// Written when abandoning a write to an absent key. Needed because an
    /// absent key that stays absent could still take the late write.
    std::string valueToBlockAbsentKey;
};

/// How long and how often to ask.
struct SettleOptions {
    std::chrono::milliseconds retryDelay { 200 };
    std::chrono::milliseconds deadline { 10'000 };
};

/// Result of settling.
struct SettleResult {
    SettledOutcome outcome { SettledOutcome::StillUnknown };
    /// Revision at which the key was last seen to hold the write, if committed.
    StoreRevision revision { 0 };
};

/// Finds out what became of \p lost. A read that shows the old revision proves
/// nothing, because the write may be in flight and land later; so the key is
/// then moved past the expected revision, either by the same write again or by
/// its old content. Only one swap on a revision can win, so afterwards the lost
/// one has either taken effect or never will. \p done is called once, later.
void settleSwap(Store& store, Scheduler& scheduler, LostSwap lost, SettleOptions options, std::function<void(SettleResult)> done);

} // namespace catkinwing
