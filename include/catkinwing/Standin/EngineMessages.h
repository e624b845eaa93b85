#pragma once

#include "catkinwing/Http/HttpMessage.h"
#include "catkinwing/Standin/EngineCache.h"
#include "catkinwing/Standin/EngineModel.h"
#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>
#include <string>

namespace catkinwing::standin {

/// A completion as an OpenAI-compatible engine is asked for it.
struct CompletionRequest {
    std::string model;
    /// All message contents together, or the prompt.
    std::string prompt;
    std::size_t maxTokens { 0 };
    /// Zero for an ordinary request; else the event the stream begins with.
    std::size_t resumeFrom { 0 };
    int priority { 0 };
    bool isChat { false };
    bool isStream { false };
    bool includesUsage { false };
};

/// Reads a completion; \p defaultTokens stands for an absent max_tokens.
absl::StatusOr<CompletionRequest> parseCompletion(const HttpRequest& request, std::size_t defaultTokens);

/// The texts of an answer. They are the same on every replica, down to id and
/// time of creation, so that streams can be compared byte by byte.
class CompletionWriter {
public:
    explicit CompletionWriter(const CompletionRequest& request);

    /// Returns the stream event of one token.
    std::string tokenEvent(std::size_t index, const std::string& text) const;
    /// Returns the stream event that ends the answer.
    std::string lastEvent() const;
    std::string usageEvent(std::size_t cachedTokens) const;
    /// Returns the whole answer as one document.
    nlohmann::json whole(const std::string& text, std::size_t cachedTokens) const;

private:
    nlohmann::json envelope(bool isChunk) const;
    nlohmann::json usage(std::size_t cachedTokens) const;

    std::string m_id;
    std::string m_model;
    std::size_t m_promptTokens;
    std::size_t m_outputTokens;
    bool m_isChat;
};

/// Event that closes a stream.
constexpr const char* doneEvent = "data: [DONE]\n\n";

nlohmann::json toJson(const CacheEventPage& page);

} // namespace catkinwing::standin
