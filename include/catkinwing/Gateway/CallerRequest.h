#pragma once

#include "catkinwing/Config/ConfigSnapshot.h"
#include "catkinwing/Gateway/ApiError.h"
#include "catkinwing/Http/HttpMessage.h"
#include "catkinwing/Routing/ResidencyFilter.h"
#include <optional>
#include <string>
#include <variant>

namespace catkinwing {

/// What a caller's path asks for.
enum class CallerRoute {
    ChatCompletions,
    Completions,
    Models,
    Entries,
    IdempotencyKeys,
    Service,
    Unknown,
};

/// Returns the route of \p path.
CallerRoute routeOf(absl::string_view path);

/// Who calls, by the configuration in force.
struct CallerIdentity {
    std::shared_ptr<const ConfigSnapshot> snapshot;
    const TeamDocument* team { nullptr };
    /// Name of the key, by which callers of a team are told apart.
    std::string keyName;
};

/// Finds the team by the bearer key in \p headers; 401 without a known one.
std::variant<CallerIdentity, ApiError> authenticate(std::shared_ptr<const ConfigSnapshot> snapshot, const HttpHeaders& headers);

/// Returns the regions in which the team's data may be processed.
Residency residencyOf(const TeamDocument& team);

/// The class of a request and its time limit.
struct ClassChoice {
    const RequestClass* requestClass { nullptr };
    Duration timeout {};
};

/// Reads Catkinwing-Class and Catkinwing-Timeout-Ms; the shorter time holds.
std::variant<ClassChoice, ApiError> chooseClass(const TeamDocument& team, const HttpHeaders& headers);

/// What the gateway needs from the body of a model call.
struct ModelCall {
    /// As the body names it; an adapter's base model once it is resolved.
    std::string model;
    /// Adapter, if the body names one instead of a model; empty for none.
    std::string adapter;
    bool isStreaming { false };
    /// Text of the prompt, all messages joined.
    std::string prompt;
    /// Names of its messages or parts in their order: hashes of their texts.
    std::vector<std::string> segments;
    double promptTokens { 0 };
    /// Limit on output tokens that the caller set.
    std::optional<double> maximumOutputTokens;
};

/// Reads the body of a model call; 400 for anything that isn't one.
std::variant<ModelCall, ApiError> parseModelCall(CallerRoute route, const std::string& body);

/// Finds the model or adapter that the call names among those of the team, and
/// fills in the adapter's base model; refuses what the team may not use.
std::optional<ApiError> resolveModel(const ConfigSnapshot& snapshot, const TeamDocument& team, ModelCall& call);

/// A call of a plain service.
struct ServiceCall {
    std::string service;
    /// Path and query to ask the service for.
    std::string target;
    bool isIdempotent { false };
};

/// Reads "/services/NAME/PATH"; 404 for a service that the team doesn't have.
std::variant<ServiceCall, ApiError> parseServiceCall(const TeamDocument& team, const HttpRequest& request);

/// Returns the name by which a plain service is placed, queued and counted.
std::string serviceModelName(absl::string_view service);

/// Removes the header fields that belong to one connection or to the gateway.
HttpHeaders headersToPassOn(const HttpHeaders& headers);

} // namespace catkinwing
