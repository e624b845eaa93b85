#pragma once

#include "catkinwing/Http/HttpServer.h"
#include "catkinwing/Standin/CallCounters.h"
#include "catkinwing/Standin/ExecutionLog.h"
#include "catkinwing/Standin/Faults.h"
#include "catkinwing/Support/Random.h"
#include "catkinwing/Support/Scheduler.h"
#include <memory>
#include <string>

namespace catkinwing::standin {

/// A request as a service of a stand-in gets it, after the faults were drawn.
struct StandinCall {
    HttpRequest request;
    CallIdentity identity;
    std::shared_ptr<HttpResponder> responder;
    /// The stand-in is to refuse writes.
    bool readOnly { false };
    /// The stand-in is to say that it is leaving.
    bool leaving { false };
};

/// What one kind of stand-in does with its requests.
class StandinService {
public:
    virtual ~StandinService() = default;
    virtual void handle(StandinCall call) = 0;
    /// Answers a request that a fault switch refuses, as not executed.
    virtual void refuse(const HttpRequest& request, HttpResponder& responder) const;
    /// Returns the name under which \p request is counted.
    virtual std::string kindOf(const HttpRequest& request) const;
    /// Tells whether \p request belongs in the execution log.
    virtual bool isLogged(const HttpRequest& request) const = 0;
    /// Called when the fault switches were set.
    virtual void faultsChanged(const FaultSettings&) { }
    /// Handles a control request that the frontend doesn't know; returns false
    /// if the service doesn't know it either.
    virtual bool handleControl(const HttpRequest&, HttpResponder&) { return false; }
    /// Adds fields of its own to the counters.
    virtual void addCounters(nlohmann::json&) const { }
};

/// Sends \p body as a JSON answer.
void sendJson(HttpResponder& responder, int status, const nlohmann::json& body, HttpHeaders headers = {});
/// Sends a refusal of a request that was not executed, with Retry-After.
void sendNotExecuted(HttpResponder& responder, int status, const std::string& message, std::chrono::seconds retryAfter);
/// Refuses a request as not executed because the stand-in is leaving.
void sendLeaving(HttpResponder& responder, const std::string& message);

/// What all stand-ins share: fault switches, counters and the execution log.
class StandinFrontend {
public:
    StandinFrontend(Scheduler& scheduler, ExecutionLog& log, StandinService& service, std::uint64_t seed);
    ~StandinFrontend();
    StandinFrontend(const StandinFrontend&) = delete;
    StandinFrontend& operator=(const StandinFrontend&) = delete;

    /// Handles one request; the handler of the HTTP server calls this.
    void handle(HttpRequest request, std::shared_ptr<HttpResponder> responder);
    /// Sets the fault switches.
    void setFaults(FaultSettings settings);

private:
    struct Pending;

    void handleControl(const HttpRequest& request, HttpResponder& responder);
    void replaceFaults(const HttpRequest& request, HttpResponder& responder);
    void admit(HttpRequest request, std::shared_ptr<HttpResponder> responder, const CallIdentity& identity, const FaultPlan& plan);
    void hang(const std::shared_ptr<HttpResponder>& responder, const CallIdentity& identity);

    Scheduler& m_scheduler;
    ExecutionLog& m_log;
    StandinService& m_service;
    Random m_random;
    FaultSettings m_faults;
    CallCounters m_counters;
    std::shared_ptr<Pending> m_pending;
};

} // namespace catkinwing::standin
