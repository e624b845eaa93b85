#pragma once

#include "catkinwing/Coordination/SettleSwap.h"
#include "catkinwing/Gateway/ConfigKeeper.h"

namespace catkinwing {

/// A wish to write or delete one document.
struct ConfigWrite {
    DocumentPath path;
    /// Revision at which the operator read it; zero if it was absent.
    std::int64_t expected { 0 };
    /// Names the write, so that sending it again is safe.
    std::string writeId;
    /// Empty to delete the document.
    std::optional<std::string> text;
};

/// What became of a write.
enum class WriteOutcome {
    /// It is in force from \c revision on.
    Accepted,
    /// The document is at another revision than the operator read.
    Changed,
    Invalid,
    /// The store can't be reached; nothing was written.
    NotWritten,
    /// The store's answer is lost and can't be found out.
    Unknown,
};

/// Result of a write.
struct WriteResult {
    WriteOutcome outcome { WriteOutcome::Unknown };
    std::int64_t revision { 0 };
    std::vector<ConfigFault> faults;
    /// The document as it is now, if it has changed; empty if it is absent.
    std::optional<std::string> current;
};

/// Writes documents for operators by compare-and-swap. A write is accepted once
/// it is committed in the store, and by nothing else.
class ConfigWriter {
public:
    using DoneCallback = std::function<void(WriteResult)>;

    /// All references must outlive this.
    ConfigWriter(Store& store, Scheduler& scheduler, ConfigKeeper& keeper);
    /// Validates and writes; \p done is called once, later unless it is invalid.
    void apply(ConfigWrite write, DoneCallback done);

private:
    struct Task {
        ConfigWrite write;
        DoneCallback done;
        std::string key;
        std::string value;
    };

    void compare(const std::shared_ptr<Task>& task, const absl::StatusOr<StoredValue>& stored, bool isRetried);
    void swap(const std::shared_ptr<Task>& task);
    void remove(const std::shared_ptr<Task>& task);
    void conclude(const std::shared_ptr<Task>& task, SwapResult result);
    void settleWrite(const std::shared_ptr<Task>& task);
    void accept(const std::shared_ptr<Task>& task, std::int64_t revision);
    void reread(const std::shared_ptr<Task>& task);

    Store& m_store;
    Scheduler& m_scheduler;
    ConfigKeeper& m_keeper;
};

} // namespace catkinwing
