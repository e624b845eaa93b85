#pragma once

#include "catkinwing/Standin/StandinFrontend.h"
#include <functional>
#include <string>

namespace catkinwing::platform {

/// Settings of one endpoint.
struct EndpointStandinSettings {
    /// Names this start of the endpoint; requests for another are refused.
    std::string incarnation;
    /// Time from the start of an execution to its answer or first event.
    Duration delay {};
    /// Events of each answer; zero answers in one piece.
    unsigned events { 0 };
    /// Time between two events.
    Duration pause {};
    /// Says in each answer that it leaves, whatever its registration says.
    bool isLeaving { false };
    /// Limit in requests a second that each answer names; none if empty.
    std::string requestLimit {};
    /// Identifier of a shared part of prompts that crashes the endpoint when it begins to answer;
    /// none if empty.
    std::string crashingPart {};
    /// Ends the process as a crash does.
    std::function<void()> crash {};
};

/// A stand-in for an endpoint as the platform runs them: it refuses what is
/// meant for another incarnation, signs its answers, and begins a stream after
/// the event that the request names.
class EndpointStandin : public standin::StandinService {
public:
    /// Does nothing for \p span and loses nothing, like a process that is
    /// stopped and continued. Over HTTP, POST /standin/silence with "span_ms".
    virtual void fallSilent(Duration span) = 0;
};

std::unique_ptr<EndpointStandin> makeEndpointStandin(Scheduler& scheduler, standin::ExecutionLog& log, EndpointStandinSettings settings);

} // namespace catkinwing::platform
