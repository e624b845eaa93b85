#pragma once

#include "catkinwing/Coordination/Store.h"
#include "catkinwing/Support/Random.h"
#include "catkinwing/Support/Scheduler.h"
#include <optional>

namespace catkinwing {

/// One document of the configuration as the store has it.
struct ConfigChange {
    /// Path below the prefix, such as "teams/T".
    std::string path;
    /// Never earlier than another one for the same path.
    StoreRevision revision {};
    /// Empty if the document was deleted.
    std::optional<std::string> text;
    /// The text was replaced or deleted before, and is there again only because the store has
    /// come back from a copy of itself.
    bool isRestored { false };
};

/// Settings of a source.
struct ConfigSourceOptions {
    /// Store keys that begin so are documents.
    std::string prefix { "/catkinwing/config/" };
    /// First pause after a failure, counted from the start of the failed attempt;
    /// doubled up to the longest, with jitter.
    std::chrono::milliseconds retryDelay { 500 };
    std::chrono::milliseconds longestRetryDelay { 10'000 };
    /// The watch is opened anew this often from the revision reached, which
    /// finds what a silently dead connection kept back.
    std::chrono::milliseconds renewWatchEvery { 10'000 };
    /// The whole prefix is listed this often, behind all else.
    std::chrono::milliseconds relistEvery { 3'600'000 };
};

/// Counts since the start of the process.
struct ConfigSourceCounters {
    std::uint64_t lists { 0 };
    /// Lists whose answers were taken over. Changes before them may have passed unseen.
    std::uint64_t listsApplied { 0 };
    std::uint64_t watches { 0 };
    std::uint64_t failures { 0 };
    /// Answers older than what was already known; dropped.
    std::uint64_t staleDropped { 0 };
    std::uint64_t tombstonesFromLists { 0 };
};

/// Follows the configuration in the store by list and watch, through outages,
/// compactions and new eras of the store. Each document only ever moves to later revisions.
class ConfigSource {
public:
    using ChangesCallback = std::function<void(const std::vector<ConfigChange>&)>;

    /// \p store, \p scheduler and \p random must outlive the source.
    ConfigSource(Store& store, Scheduler& scheduler, Random& random, ConfigSourceOptions options, ChangesCallback onChanges);
    ~ConfigSource();
    ConfigSource(const ConfigSource&) = delete;
    ConfigSource& operator=(const ConfigSource&) = delete;

    void start();
    void stop();

    /// Tells of a document learnt elsewhere, such as from a peer: if the store
    /// no longer has it, the next list gives a tombstone, and older revisions of it are not emitted.
    void noteKnown(const std::string& path, StoreRevision revision, bool isTombstone);

    /// Returns the store revision up to which all changes were emitted, or are emitted by the
    /// current call; zero before the first list.
    StoreRevision revision() const;
    /// Returns since when the store has answered this source, whatever it said,
    /// without a failure since; nothing while it doesn't. A watch that ends soon after an answer is
    /// no failure if the next one is answered.
    std::optional<TimePoint> reachedAt() const;
    /// Tells whether a watch is open and no failure has been seen since.
    bool isFollowing() const;
    const ConfigSourceCounters& counters() const;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace catkinwing
