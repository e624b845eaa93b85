#pragma once

#include "catkinwing/Coordination/Store.h"
#include "catkinwing/Routing/ServiceVersions.h"
#include "catkinwing/Support/Scheduler.h"
#include <absl/strings/string_view.h>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace catkinwing {

struct IngressContext;

/// Key of the store that holds the version record.
constexpr const char* versionRecordKey = "catkinwing/stream-versions";

/// States of which services every stream that can still be resumed began at one software
/// version. Entries that start read from it what they would otherwise have to observe for the
/// lifetime of a stream.
struct VersionRecord {
    /// The era of the store and the version of the configuration that it was written in. It states
    /// nothing in another era or under another configuration.
    std::int64_t era { 0 };
    std::int64_t configuration { 0 };
    /// The version by service.
    std::map<std::string, BuildId> builds;
};

inline bool operator==(const VersionRecord& a, const VersionRecord& b) { return a.era == b.era && a.configuration == b.configuration && a.builds == b.builds; }

std::string writeVersionRecord(const VersionRecord& record);
/// Returns nothing if the text can't be read.
std::optional<VersionRecord> readVersionRecord(absl::string_view text);

/// The version record as an entry knows it from the store.
struct StoredVersionRecord {
    VersionRecord record;
    /// Revision of the key; number zero if the store doesn't have it.
    StoreRevision revision {};
    /// Era of the store at the last change.
    std::int64_t storeEra { 0 };
};

/// Makes the endpoint table of \p parts use what the record states, if it is of the store's era
/// and of the configuration in force.
void applyVersionRecord(IngressContext& parts);

/// Returns the record that the store should hold, from the one that it holds and from what this
/// entry has observed.
VersionRecord nextVersionRecord(const IngressContext& parts, TimePoint now);

/// Keeps the version record in the store. One entry writes it when it changes.
class VersionRecordWriter {
public:
    /// All references must outlive the writer.
    VersionRecordWriter(Store& store, IngressContext& parts);
    ~VersionRecordWriter();
    VersionRecordWriter(const VersionRecordWriter&) = delete;
    VersionRecordWriter& operator=(const VersionRecordWriter&) = delete;

    /// Must be called several times a second while the entry follows the store.
    void tick();

private:
    void write(const VersionRecord& record);
    void readStoredRevision();

    Store& m_store;
    IngressContext& m_parts;
    /// The time from which the store has held another record.
    std::optional<TimePoint> m_differsSince;
    TimePoint m_writeAgainAt {};
    std::shared_ptr<bool> m_isAlive { std::make_shared<bool>(true) };
};

} // namespace catkinwing
