#pragma once

#include "Scenario.h"
#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

namespace catkinwing::bench {

/// One request of a recorded trace.
struct TraceRequest {
    /// Time since the start of the trace.
    std::chrono::microseconds at { 0 };
    /// Zone of the caller.
    std::string zone;
    std::string team;
    std::string requestClass;
    /// Empty where the caller names none.
    std::string session;
    /// Region that the request may not leave; empty for none.
    std::string home;
    /// Blocks at the start of the prompt that all requests of the team share.
    unsigned teamBlocks { 0 };
    /// Blocks after them that the requests of the session share.
    unsigned sessionBlocks { 0 };
    /// Prompt tokens after the shared blocks.
    unsigned tailTokens { 0 };
    unsigned outputTokens { 0 };
    bool idempotent { true };
};

/// Makes the trace of \p scenario; the same seed gives the same trace.
std::vector<TraceRequest> generateTrace(const Scenario& scenario, std::uint64_t seed);
/// Writes one JSON object a line.
void writeTrace(std::ostream& out, const std::vector<TraceRequest>& trace);
/// Reads what writeTrace wrote, or a recording in the same form; throws
/// nlohmann::json::exception on a line that isn't.
std::vector<TraceRequest> readTrace(std::istream& in);

/// Returns the hashes of the shared blocks of a request's prompt.
std::vector<std::uint64_t> blockHashes(const TraceRequest& traced);
/// Returns the length of a request's prompt.
double promptTokens(const TraceRequest& traced, double tokensPerBlock);
/// Returns the hit ratio of one cache without bound in each region, which no
/// policy can pass.
double idealHitRatio(const Scenario& scenario, const std::vector<TraceRequest>& trace);

} // namespace catkinwing::bench
