#pragma once

#include "catkinwing/Gateway/EndpointRegistry.h"
#include "catkinwing/Http/HttpClient.h"
#include "catkinwing/Support/Scheduler.h"
#include <absl/status/statusor.h>
#include <set>

namespace catkinwing {

/// Reads an engine's load page; InvalidArgument for anything else.
absl::StatusOr<EndpointStatus> parseLoadPage(absl::string_view body);

/// A page of cache events.
struct CacheEventPage {
    /// Number of the last event published; lower than one seen before if the
    /// engine has started anew.
    std::uint64_t last { 0 };
    std::vector<CacheEvent> events;
};

/// Reads an engine's page of cache events; hashes are bound to \p models.
absl::StatusOr<CacheEventPage> parseCacheEvents(absl::string_view body, const std::vector<std::string>& models);

/// Asks the zone's engines for their load and cache events. The entries of the
/// zone divide the engines among them, two to each, once there are many, and the
/// pace falls with their number, so that the cost of a daemon stays bounded.
class EndpointPoller {
public:
    /// All references must outlive this.
    EndpointPoller(std::string self, EndpointRegistry& registry, HttpClient& client, Scheduler& scheduler);
    void start();
    /// Names the live entries of the zone, this one included.
    void setEntries(std::vector<std::string> entries) { m_entries = std::move(entries); }

private:
    void tick();
    bool isMine(const std::string& endpoint, std::size_t endpoints) const;
    void askLoad(const std::string& name, const EndpointSettings& settings);
    void askCacheEvents(const std::string& name, const EndpointSettings& settings);

    std::string m_self;
    EndpointRegistry& m_registry;
    HttpClient& m_client;
    Scheduler& m_scheduler;
    std::vector<std::string> m_entries;
    std::map<std::string, std::uint64_t> m_lastEvents;
    std::set<std::string> m_asked;
};

} // namespace catkinwing
