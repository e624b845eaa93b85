#pragma once

#include "catkinwing/Config/DaemonSettings.h"
#include "catkinwing/Gateway/ConfigWriter.h"
#include "catkinwing/Gateway/EntryDirectory.h"
#include "catkinwing/Gateway/FaultInjection.h"
#include "catkinwing/Gateway/RequestBroker.h"
#include "catkinwing/Membership/Membership.h"

namespace catkinwing {

/// What the operators' interface shows and does.
struct OperatorParts {
    const DaemonSettings& settings;
    ConfigKeeper& config;
    ConfigWriter& writer;
    RequestBroker& broker;
    Membership& membership;
    const EntryDirectory& entries;
    LinkFaults& faults;
    const Clock& clock;
    std::function<bool()> isDraining;
    /// Tells whether this entry can serve callers.
    std::function<bool()> isReady;
    std::function<void()> drain;
    /// Returns figures of the store's client and the like, for status.
    std::function<nlohmann::json()> extraStatus;
    const ClientMemory& clientMemory;
};

/// The interface for operators: configuration, state, reports, metrics.
class OperatorApi {
public:
    explicit OperatorApi(OperatorParts parts);
    void handle(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder);

private:
    using Responder = std::shared_ptr<HttpResponder>;

    /// What a bearer token may reach: everything, or one document.
    struct Access {
        bool isKnown { false };
        bool reachesAll { false };
        std::string subtree;
    };

    Access accessOf(const HttpHeaders& headers) const;
    bool handleOpen(const HttpRequest& request, HttpResponder& responder);
    void handleDocument(const HttpRequest& request, const Responder& responder, const Access& access);
    void applyDocument(const HttpRequest& request, const Responder& responder, const DocumentPath& path);
    void sendDocument(HttpResponder& responder, const DocumentPath& path) const;
    void sendRevisions(HttpResponder& responder) const;
    void sendStatus(HttpResponder& responder) const;
    void sendExplanation(const HttpRequest& request, HttpResponder& responder) const;
    void setFaults(const HttpRequest& request, HttpResponder& responder);

    OperatorParts m_parts;
};

} // namespace catkinwing
