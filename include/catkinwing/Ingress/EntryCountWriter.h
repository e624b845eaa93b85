#pragma once

#include "catkinwing/Coordination/Store.h"
#include "catkinwing/Ingress/EntryTable.h"
#include "catkinwing/Support/Scheduler.h"
#include <absl/strings/string_view.h>
#include <memory>
#include <optional>

namespace catkinwing {

/// Key of the store that holds the number of entry addresses.
constexpr const char* entryCountKey = "catkinwing/entry-count";

/// Returns the number that a value of the key states; nothing if it states none.
std::optional<std::size_t> readEntryCount(absl::string_view text);

/// Keeps the number of entry addresses of the last ten minutes in the store, for entries that
/// start while registrations of others have lapsed. One entry writes it when it changes.
class EntryCountWriter {
public:
    /// All references must outlive the writer.
    EntryCountWriter(Store& store, Scheduler& scheduler, EntryTable& entries);
    ~EntryCountWriter();
    EntryCountWriter(const EntryCountWriter&) = delete;
    EntryCountWriter& operator=(const EntryCountWriter&) = delete;

    /// Must be called several times a second while the entries are known.
    void tick();

private:
    void write(std::size_t count);
    void readStoredCount();

    Store& m_store;
    Scheduler& m_scheduler;
    EntryTable& m_entries;
    /// The time from which the store has held another number.
    std::optional<TimePoint> m_differsSince;
    TimePoint m_writeAgainAt {};
    std::shared_ptr<bool> m_isAlive { std::make_shared<bool>(true) };
};

} // namespace catkinwing
