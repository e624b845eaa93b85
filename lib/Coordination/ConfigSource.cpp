#include "catkinwing/Coordination/ConfigSource.h"

#include "catkinwing/Support/Hash.h"
#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace catkinwing {

/// A store that has answered nothing for longer may have been away when it ended a watch. Watches
/// that nothing happens on are answered more often.
static constexpr std::chrono::milliseconds maxCutWatchSilence { 1'300 };
/// Number of earlier texts that are remembered of each document, to recognize them in a copy of
/// the store that is some seconds old.
static constexpr std::size_t maxEarlierTexts = 8;

struct ConfigSource::Impl : std::enable_shared_from_this<Impl> {
    /// One text of a document as the store had it, by number and hash.
    struct Version {
        std::int64_t number { 0 };
        std::uint64_t textHash { 0 };
    };

    /// What was last emitted or told of a document.
    struct Known {
        StoreRevision revision {};
        bool isTombstone { false };
        std::uint64_t textHash { 0 };
        /// Earlier texts, the latest last.
        std::vector<Version> earlier;
    };

    Impl(Store& givenStore, Scheduler& givenScheduler, Random& givenRandom, ConfigSourceOptions givenOptions, ChangesCallback givenOnChanges)
        : store(givenStore)
        , scheduler(givenScheduler)
        , random(givenRandom)
        , options(std::move(givenOptions))
        , onChanges(std::move(givenOnChanges))
        , retryDelay(options.retryDelay)
    {
    }

    // Wraps a callback so that it does nothing after stop().
    template <typename Function>
    auto whileRunning(Function function)
    {
        return [weak = weak_from_this(), run = run, function](const auto&... arguments) {
            auto self = weak.lock();
            if (self && self->isRunning && self->run == run)
                function(*self, arguments...);
        };
    }

    Duration spread(std::chrono::milliseconds pause);
    void callLater(Duration delay, void (Impl::*step)());
    void noteFailure();
    void noteReached();
    /// Pause before the next attempt after one that has just failed.
    Duration retryPause();

    void list();
    void onListed(const absl::StatusOr<StoreListing>& listing);
    void takeOver(const StoreListing& listing);
    void addTombstones(const std::set<std::string>& listed, StoreRevision listedAt, std::vector<ConfigChange>& changes);
    void relistFromTimeToTime();

    void openWatch();
    void onEvents(const std::vector<StoreEvent>& events);
    void onWatchEnd(const absl::Status& status);
    void reopenCutWatch();
    void listAfterGap();
    void listIfNotFollowing();
    void renewWatchFromTimeToTime();
    static bool hasSameText(const Known& last, const Version& version);
    static bool isEarlierText(const Known& last, const Version& version);
    static void record(Known& last, StoreRevision changedAt, const std::optional<std::string>& text);
    void emit(const std::vector<ConfigChange>& changes);
    void addIfNews(std::string path, StoreRevision changedAt, std::optional<std::string> text, std::vector<ConfigChange>& changes);

    Store& store;
    Scheduler& scheduler;
    Random& random;
    ConfigSourceOptions options;
    ChangesCallback onChanges;
    ConfigSourceCounters counters;

    bool isRunning { false };
    /// Counts start() calls, and watches opened, to tell old callbacks apart.
    std::uint64_t run { 0 };
    std::uint64_t watchNumber { 0 };
    std::unique_ptr<StoreWatch> currentWatch;
    bool isFollowing { false };
    /// The store has ended a watch that it had answered, and hasn't answered since.
    bool isWatchCut { false };
    bool isListing { false };
    std::chrono::milliseconds retryDelay;
    StoreRevision revision {};
    std::optional<TimePoint> reachedAt;
    TimePoint answeredAt {};
    /// When the last list or watch began.
    TimePoint attemptBeganAt {};
    std::map<std::string, Known> known;
};

Duration ConfigSource::Impl::spread(std::chrono::milliseconds pause)
{
    auto half = static_cast<std::uint64_t>(std::max<std::int64_t>(pause.count() / 2, 1));
    return pause / 2 + std::chrono::milliseconds(random.below(half)) + std::chrono::milliseconds(1);
}

void ConfigSource::Impl::callLater(Duration delay, void (Impl::*step)())
{
    scheduler.callAfter(delay, whileRunning([step](Impl& self) { (self.*step)(); }));
}

void ConfigSource::Impl::noteFailure()
{
    ++counters.failures;
    isFollowing = false;
    isWatchCut = false;
    reachedAt.reset();
    retryDelay = std::min(retryDelay * 2, options.longestRetryDelay);
}

void ConfigSource::Impl::noteReached()
{
    answeredAt = scheduler.clock().now();
    isWatchCut = false;
    if (!reachedAt)
        reachedAt = answeredAt;
}

// An attempt that ran into its timeout has used up its pause, so that the store's
// return is found within one pause.
Duration ConfigSource::Impl::retryPause()
{
    Duration taken = scheduler.clock().now() - attemptBeganAt;
    return std::max(spread(options.retryDelay), spread(retryDelay) - taken);
}

void ConfigSource::Impl::list()
{
    if (isListing)
        return;
    isListing = true;
    attemptBeganAt = scheduler.clock().now();
    ++counters.lists;
    store.list(options.prefix, whileRunning([](Impl& self, const absl::StatusOr<StoreListing>& listing) { self.onListed(listing); }));
}

void ConfigSource::Impl::onListed(const absl::StatusOr<StoreListing>& listing)
{
    isListing = false;
    bool isStale = listing.ok() && listing->revision < revision;
    if (isStale)
        ++counters.staleDropped;
    // The watch may run ahead of a list that is under way.
    if (isStale && isFollowing)
        return;
    if (!listing.ok() || isStale) {
        callLater(retryPause(), &Impl::list);
        noteFailure();
        return;
    }
    retryDelay = options.retryDelay;
    if (!listing->isSecondHand)
        noteReached();
    takeOver(*listing);
    openWatch();
}

void ConfigSource::Impl::takeOver(const StoreListing& listing)
{
    ++counters.listsApplied;
    std::vector<ConfigChange> changes;
    std::set<std::string> listed;
    for (const auto& value : listing.values) {
        std::string path = value.key.substr(options.prefix.size());
        listed.insert(path);
        addIfNews(std::move(path), value.revision, value.value, changes);
    }
    addTombstones(listed, listing.revision, changes);
    std::stable_sort(changes.begin(), changes.end(), [](const auto& a, const auto& b) { return a.revision < b.revision; });
    revision = listing.revision;
    emit(changes);
}

void ConfigSource::Impl::addTombstones(const std::set<std::string>& listed, StoreRevision listedAt, std::vector<ConfigChange>& changes)
{
    for (const auto& [path, last] : known) {
        // One that is known at a later revision was made after the listing.
        bool wasDeleted = !last.isTombstone && last.revision <= listedAt && listed.count(path) == 0;
        if (!wasDeleted)
            continue;
        ++counters.tombstonesFromLists;
        changes.push_back({ path, listedAt, std::nullopt });
    }
    for (const auto& change : changes) {
        if (!change.text)
            record(known[change.path], change.revision, std::nullopt);
    }
}

void ConfigSource::Impl::openWatch()
{
    if (!isRunning)
        return;
    ++counters.watches;
    ++watchNumber;
    isFollowing = true;
    attemptBeganAt = scheduler.clock().now();
    StoreWatchCallbacks callbacks;
    callbacks.onEvents = whileRunning([number = watchNumber](Impl& self, const std::vector<StoreEvent>& events) {
        if (number == self.watchNumber)
            self.onEvents(events);
    });
    callbacks.onEnd = whileRunning([number = watchNumber](Impl& self, const absl::Status& status) {
        if (number == self.watchNumber)
            self.onWatchEnd(status);
    });
    callbacks.onCurrent = [weak = weak_from_this(), number = watchNumber] {
        auto self = weak.lock();
        if (self && number == self->watchNumber)
            self->noteReached();
    };
    currentWatch = store.watch(options.prefix, revision.next(), std::move(callbacks));
}

void ConfigSource::Impl::onEvents(const std::vector<StoreEvent>& events)
{
    retryDelay = options.retryDelay;
    noteReached();
    std::vector<ConfigChange> changes;
    for (const auto& event : events) {
        std::optional<std::string> text;
        if (!event.isDeletion)
            text = event.current.value;
        addIfNews(event.current.key.substr(options.prefix.size()), event.current.revision, std::move(text), changes);
        revision = std::max(revision, event.current.revision);
    }
    emit(changes);
}

// Deletions in the part that the watch can't tell show only in a list. The store has
// answered, so the pause need only spread the callers.
void ConfigSource::Impl::listAfterGap()
{
    noteReached();
    isFollowing = false;
    callLater(spread(options.retryDelay), &Impl::list);
}

// Called when another call has found the store in a new era. A watch that is open finds that
// itself; one that has failed would wait for its next attempt.
void ConfigSource::Impl::listIfNotFollowing()
{
    if (isFollowing)
        return;
    retryDelay = options.retryDelay;
    list();
}

void ConfigSource::Impl::onWatchEnd(const absl::Status& status)
{
    if (absl::IsOutOfRange(status)) {
        listAfterGap();
        return;
    }
    bool isCut = reachedAt && !isWatchCut && scheduler.clock().now() - answeredAt <= maxCutWatchSilence;
    if (isCut) {
        reopenCutWatch();
        return;
    }
    Duration pause = retryPause();
    noteFailure();
    callLater(pause, &Impl::openWatch);
}

// A store that works may cut a watch that waits. The next watch shows whether it works.
void ConfigSource::Impl::reopenCutWatch()
{
    ++counters.failures;
    isWatchCut = true;
    isFollowing = false;
    callLater(spread(options.retryDelay), &Impl::openWatch);
}

void ConfigSource::Impl::renewWatchFromTimeToTime()
{
    callLater(spread(options.renewWatchEvery), &Impl::renewWatchFromTimeToTime);
    if (isFollowing)
        openWatch();
}

void ConfigSource::Impl::relistFromTimeToTime()
{
    callLater(spread(options.relistEvery), &Impl::relistFromTimeToTime);
    if (isFollowing)
        list();
}

bool ConfigSource::Impl::hasSameText(const Known& last, const Version& version)
{
    return !last.isTombstone && last.revision.number == version.number && last.textHash == version.textHash;
}

bool ConfigSource::Impl::isEarlierText(const Known& last, const Version& version)
{
    return std::any_of(last.earlier.begin(), last.earlier.end(),
        [&version](const Version& other) { return other.number == version.number && other.textHash == version.textHash; });
}

void ConfigSource::Impl::record(Known& last, StoreRevision changedAt, const std::optional<std::string>& text)
{
    if (last.revision.number != 0 && !last.isTombstone)
        last.earlier.push_back({ last.revision.number, last.textHash });
    if (last.earlier.size() > maxEarlierTexts)
        last.earlier.erase(last.earlier.begin());
    last.revision = changedAt;
    last.isTombstone = !text;
    last.textHash = text ? stableHash(*text) : 0;
}

// All documents of a copy are at positions of the new era, though most were written before. A
// document of which the number and the text are known was not written since. A number alone
// doesn't tell, since it may have been given out again.
void ConfigSource::Impl::addIfNews(std::string path, StoreRevision changedAt, std::optional<std::string> text, std::vector<ConfigChange>& changes)
{
    Known& last = known[path];
    if (changedAt <= last.revision) {
        counters.staleDropped += changedAt < last.revision ? 1 : 0;
        return;
    }
    Version version { changedAt.number, text ? stableHash(*text) : 0 };
    bool mayBeCopied = text && last.revision.number != 0 && last.revision.era < changedAt.era;
    if (mayBeCopied && hasSameText(last, version)) {
        last.revision = changedAt;
        return;
    }
    bool isRestored = mayBeCopied && isEarlierText(last, version);
    record(last, changedAt, text);
    changes.push_back({ std::move(path), changedAt, std::move(text), isRestored });
}

void ConfigSource::Impl::emit(const std::vector<ConfigChange>& changes)
{
    if (!changes.empty())
        onChanges(changes);
}

ConfigSource::ConfigSource(Store& store, Scheduler& scheduler, Random& random, ConfigSourceOptions options, ChangesCallback onChanges)
    : m_impl(std::make_shared<Impl>(store, scheduler, random, std::move(options), std::move(onChanges)))
{
}

ConfigSource::~ConfigSource()
{
    stop();
}

void ConfigSource::start()
{
    if (m_impl->isRunning)
        return;
    m_impl->isRunning = true;
    ++m_impl->run;
    m_impl->store.setEraCallback(m_impl->whileRunning([](Impl& self) { self.listIfNotFollowing(); }));
    m_impl->list();
    m_impl->callLater(m_impl->spread(m_impl->options.renewWatchEvery), &Impl::renewWatchFromTimeToTime);
    m_impl->callLater(m_impl->spread(m_impl->options.relistEvery), &Impl::relistFromTimeToTime);
}

void ConfigSource::stop()
{
    m_impl->isRunning = false;
    m_impl->isListing = false;
    m_impl->isFollowing = false;
    m_impl->currentWatch.reset();
}

void ConfigSource::noteKnown(const std::string& path, StoreRevision revision, bool isTombstone)
{
    Impl::Known& last = m_impl->known[path];
    if (revision <= last.revision)
        return;
    last.revision = revision;
    last.isTombstone = isTombstone;
    last.textHash = 0;
}

StoreRevision ConfigSource::revision() const
{
    return m_impl->revision;
}

std::optional<TimePoint> ConfigSource::reachedAt() const
{
    return m_impl->isWatchCut ? std::nullopt : m_impl->reachedAt;
}

bool ConfigSource::isFollowing() const
{
    return m_impl->isFollowing;
}

const ConfigSourceCounters& ConfigSource::counters() const
{
    return m_impl->counters;
}

} // namespace catkinwing
