#pragma once

#include "catkinwing/Config/ConfigFault.h"
#include "catkinwing/Config/RouteTable.h"
#include "catkinwing/Http/HttpMessage.h"
#include <absl/status/statusor.h>
#include <optional>
#include <string>
#include <vector>

namespace catkinwing {

/// A part of a prompt that several requests may share.
struct PromptPart {
    std::string id;
    std::int64_t tokens { 0 };
};

/// What a client's request says about itself.
struct RequestFacts {
    std::string host;
    /// Credentials that it carries; empty without any.
    std::string caller;
    /// Names the client's attempt; echoed by the endpoint.
    std::string attemptId;
    /// How long the client waits, counted from the arrival.
    std::optional<std::chrono::milliseconds> timeLeft;
    /// In the order of the prompt; the last part is the request's or its session's own.
    std::vector<PromptPart> prompt;
    std::int64_t promptTokens { 0 };
    std::int64_t maxOutputTokens { 0 };
    /// The event after which a stream is to begin.
    std::optional<std::uint64_t> resumeAfter;
    /// The fields that go on to the endpoint.
    HttpHeaders forwarded;
};

/// What an attempt says to its endpoint beside the client's request.
struct AttemptFacts {
    /// The endpoint refuses if it is another one.
    std::string incarnation;
    std::chrono::milliseconds timeLeft { 0 };
    /// Replaces what the client said.
    std::optional<std::uint64_t> resumeAfter;
    /// Zero is the most urgent; nothing leaves it to the endpoint.
    std::optional<int> urgency;
};

/// What the head of an answer says.
struct AnswerFacts {
    /// An endpoint made the answer.
    bool isEndpointAnswer { false };
    /// The endpoint states that it has not executed the request and won't.
    bool wasNotRun { false };
    /// The address belongs to another incarnation.
    bool isOtherIncarnation { false };
    /// The endpoint leaves and wants no further requests.
    bool isLeaving { false };
    /// Of a refusal: how long the endpoint wants no requests from this entry.
    std::optional<std::chrono::milliseconds> pause;
    std::string attemptId;
};

/// What the store holds about one endpoint.
struct EndpointRecord {
    /// Names the endpoint; a later start may bear the same name.
    std::string incarnation;
    /// When this start began, since the Unix epoch by the endpoint's own clock.
    /// It tells the starts under one name apart; nothing if it isn't stated.
    std::optional<std::chrono::milliseconds> startedAt;
    std::string service;
    SocketAddress address;
    std::string availabilityZone;
    bool isLeaving { false };
    /// When it will be gone, if that is sooner than an orderly leave.
    std::optional<std::chrono::milliseconds> goneIn;
    /// How much longer it is cold.
    std::chrono::milliseconds coldFor { 0 };
    unsigned slots { 0 };
};

/// A client's question for entries to connect to.
struct DirectoryQuestion {
    std::string host;
    std::string region;
    std::string availabilityZone;
};

/// Where the store holds what operators and endpoints write.
struct StoreLayout {
    /// The one document of routes and services.
    std::string configurationKey;
    /// Below it: one key for each availability zone that is evacuated.
    std::string evacuationPrefix;
    /// Endpoints register below this prefix under their incarnation.
    std::string endpointPrefix;
};

/// How clients, endpoints and operators spell what the product means: names and
/// formats only. A plain struct, so that each deployment can bring its own.
struct Dialect {
    StoreLayout layout;
    RequestFacts (*readRequest)(const HttpRequest& request);
    void (*writeAttempt)(const AttemptFacts& facts, HttpHeaders& headers);
    AnswerFacts (*readAnswer)(const HttpResponseHead& head);
    ConfigResult<RouteTable> (*readRouteTable)(absl::string_view text);
    absl::StatusOr<EndpointRecord> (*readEndpoint)(const std::string& incarnation, absl::string_view text);
    /// Nothing if the request asks something else.
    std::optional<DirectoryQuestion> (*readDirectoryQuestion)(const HttpRequest& request);
    std::string (*writeDirectoryAnswer)(const std::vector<SocketAddress>& entries, std::chrono::milliseconds validFor);
    bool (*isReadinessQuestion)(const HttpRequest& request);
};

} // namespace catkinwing
