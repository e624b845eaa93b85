#pragma once

#include "catkinwing/Gateway/ConfigKeeper.h"
#include "catkinwing/Gateway/EntryDirectory.h"
#include "catkinwing/Gateway/KeyedRequests.h"
#include "catkinwing/Gateway/OpenRequests.h"
#include "catkinwing/Gateway/RequestReader.h"

namespace catkinwing {

/// What the interfaces of a daemon share.
struct ApiParts {
    RequestBroker& broker;
    KeyedRequests& keyed;
    const ConfigKeeper& config;
    const EntryDirectory& entries;
    Random& random;
    Metrics& metrics;
    const Clock& clock;
    std::string region;
    std::string zone;
    /// "http" or "https", for addresses given to callers.
    std::string callerScheme;
};

/// The interface for callers: model calls, plain services and steering.
class CallerApi {
public:
    explicit CallerApi(ApiParts parts);

    /// Answers a request from a caller.
    void handle(HttpRequest request, const std::shared_ptr<HttpResponder>& responder);
    /// Answers a request that another entry forwarded; \p path is the caller's.
    void handleForwarded(HttpRequest request, const std::shared_ptr<HttpResponder>& responder);
    /// From now on refuses new work as not run and names other entries.
    void startDraining() { m_isDraining = true; }
    /// Returns the number of requests whose answers have not gone out.
    std::size_t openRequests() { return m_open.count(); }

private:
    using Responder = std::shared_ptr<HttpResponder>;

    void serve(HttpRequest request, const Responder& responder, const CallerIdentity& identity, const ReadContext& context);
    bool answerOutsideResidency(const HttpRequest& request, HttpResponder& responder, const std::string& requestId, const TeamDocument& team);
    void sendModels(HttpResponder& responder, const CallerIdentity& identity) const;
    void sendEntries(const HttpRequest& request, HttpResponder& responder, const CallerIdentity& identity);
    void sendIssuedKey(HttpResponder& responder, const std::string& requestId, const CallerIdentity& identity);
    void sendDraining(HttpResponder& responder, const std::string& requestId, const TeamDocument* team);
    std::int64_t revisionOf(const TeamDocument& team) const;

    ApiParts m_parts;
    OpenRequests m_open;
    bool m_isDraining { false };
};

} // namespace catkinwing
