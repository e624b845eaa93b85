#include "catkinwing/Gateway/ConfigKeeper.h"

#include "catkinwing/Support/Logging.h"
#include <absl/strings/strip.h>
#include <nlohmann/json.hpp>

namespace catkinwing {

static constexpr const char* documentField = "document";
static constexpr const char* writeIdField = "write_id";

std::string encodeStoredDocument(const StoredDocument& document)
{
    return nlohmann::json { { writeIdField, document.writeId }, { documentField, document.text } }.dump();
}

StoredDocument decodeStoredDocument(absl::string_view value)
{
    nlohmann::json json = nlohmann::json::parse(value.begin(), value.end(), nullptr, false);
    bool isEnvelope = json.is_object() && json.size() == 2 && json.contains(documentField) && json.contains(writeIdField)
        && json[documentField].is_string() && json[writeIdField].is_string();
    if (!isEnvelope)
        return { {}, std::string(value) };
    return { json[writeIdField].get<std::string>(), json[documentField].get<std::string>() };
}

static ConfigSourceOptions sourceOptions()
{
    ConfigSourceOptions options;
    options.prefix = configKeyPrefix;
    return options;
}

ConfigKeeper::ConfigKeeper(Store& store, Scheduler& scheduler, Random& random, ConfigKeeperEvents events)
    : m_events(std::move(events))
    , m_source(store, scheduler, random, sourceOptions(), [this](const std::vector<ConfigChange>& changes) { applyFromStore(changes); })
    , m_store(store)
{
}

void ConfigKeeper::setWatching(bool isWatching)
{
    if (isWatching == m_isWatching)
        return;
    m_isWatching = isWatching;
    logChange(LogLevel::Info, isWatching ? "config_watch_started" : "config_watch_stopped", {});
    if (isWatching)
        m_source.start();
    else
        m_source.stop();
}

void ConfigKeeper::listOnce()
{
    if (m_isListing || m_isWatching)
        return;
    m_isListing = true;
    m_store.list(configKeyPrefix, [this](absl::StatusOr<StoreListing> listing) {
        m_isListing = false;
        if (!listing.ok())
            return;
        std::vector<ConfigChange> changes;
        for (const StoredValue& value : listing->values)
            changes.push_back({ std::string(absl::StripPrefix(value.key, configKeyPrefix)), value.revision.number, value.value });
        applyFromStore(changes);
    });
}

bool ConfigKeeper::offer(const std::string& path, std::int64_t revision, const std::optional<std::string>& text)
{
    absl::StatusOr<DocumentPath> parsed = parseDocumentPath(path);
    if (!parsed.ok())
        return false;
    TreeEntry entry { *parsed, revision, text ? std::make_shared<const std::string>(*text) : nullptr };
    OfferResult result = m_tree.offer(entry);
    if (result.outcome == OfferOutcome::Invalid) {
        logChange(LogLevel::Warning, "config_document_invalid",
            { { "path", path }, { "revision", revision }, { "faults", result.faults.size() }, { "first", result.faults.empty() ? "" : result.faults.front().pointer + ": " + result.faults.front().message } });
    }
    return result.outcome == OfferOutcome::Applied;
}

void ConfigKeeper::announceChange()
{
    if (m_events.onChanged)
        m_events.onChanged(m_tree.snapshot());
}

void ConfigKeeper::applyFromStore(const std::vector<ConfigChange>& changes)
{
    std::vector<ConfigEntry> news;
    for (const ConfigChange& change : changes) {
        std::optional<std::string> text;
        if (change.text)
            text = decodeStoredDocument(*change.text).text;
        if (offer(change.path, change.revision.number, text))
            news.push_back({ change.path, change.revision.number, std::move(text) });
    }
    if (news.empty())
        return;
    announceChange();
    if (m_events.onNews)
        m_events.onNews(news);
}

void ConfigKeeper::offerOwnWrite(const DocumentPath& path, std::int64_t revision, std::optional<std::string> text)
{
    m_source.noteKnown(path.toString(), revision, !text);
    if (!offer(path.toString(), revision, text))
        return;
    announceChange();
    if (m_events.onNews)
        m_events.onNews({ { path.toString(), revision, std::move(text) } });
}

std::size_t ConfigKeeper::offerFromPeer(const std::vector<ConfigEntry>& entries)
{
    std::size_t applied = 0;
    for (const ConfigEntry& entry : entries) {
        if (!offer(entry.path, entry.revision, entry.text))
            continue;
        m_source.noteKnown(entry.path, entry.revision, !entry.text);
        ++applied;
    }
    if (applied > 0)
        announceChange();
    return applied;
}

std::vector<ConfigEntry> ConfigKeeper::newerThan(const std::vector<ConfigRevision>& known) const
{
    std::vector<PathRevision> revisions;
    for (const ConfigRevision& revision : known) {
        absl::StatusOr<DocumentPath> path = parseDocumentPath(revision.path);
        if (path.ok())
            revisions.push_back({ *path, revision.revision });
    }
    std::vector<ConfigEntry> entries;
    for (const TreeEntry& entry : m_tree.newerThan(revisions)) {
        ConfigEntry news { entry.path.toString(), entry.revision, std::nullopt };
        if (entry.text)
            news.text = *entry.text;
        entries.push_back(std::move(news));
    }
    return entries;
}

std::vector<ConfigRevision> ConfigKeeper::revisions() const
{
    std::vector<ConfigRevision> revisions;
    for (const PathRevision& revision : m_tree.revisions())
        revisions.push_back({ revision.path.toString(), revision.revision });
    return revisions;
}

} // namespace catkinwing
