#include "catkinwing/Standin/EngineMessages.h"

#include "catkinwing/Standin/JsonReader.h"
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

namespace catkinwing::standin {

constexpr const char* chatPath = "/v1/chat/completions";
constexpr const char* priorityHeader = "catkinwing-priority";
constexpr const char* resumeHeader = "catkinwing-resume-from";
constexpr std::int64_t maxOutputTokens = 1'000'000;
// Any time does, as long as replicas agree on it.
constexpr std::int64_t createdAt = 1'700'000'000;

template <typename Number>
static absl::Status readHeader(const HttpRequest& request, const char* name, Number& number)
{
    const std::string* value = request.headers.find(name);
    if (!value || absl::SimpleAtoi(*value, &number))
        return absl::OkStatus();
    return absl::InvalidArgumentError(absl::StrCat("header ", name, " is not a number"));
}

// Contents are text, or a list of parts of which the text ones count.
static absl::Status appendContent(const nlohmann::json& content, std::string& prompt)
{
    if (content.is_string()) {
        prompt += content.get_ref<const std::string&>();
        return absl::OkStatus();
    }
    if (!content.is_array())
        return absl::InvalidArgumentError("a content is neither text nor a list");
    for (const auto& part : content) {
        if (part.is_string()) {
            prompt += part.get_ref<const std::string&>();
            continue;
        }
        if (!part.is_object())
            return absl::InvalidArgumentError("a part of a content is neither text nor an object");
        JsonReader reader(part);
        prompt += reader.text("text");
        if (!reader.status().ok())
            return reader.status();
    }
    return absl::OkStatus();
}

static absl::Status readPrompt(const nlohmann::json& document, CompletionRequest& completion)
{
    if (!completion.isChat) {
        auto prompt = document.find("prompt");
        return prompt == document.end() ? absl::InvalidArgumentError("prompt is missing") : appendContent(*prompt, completion.prompt);
    }
    JsonReader reader(document);
    const auto* messages = reader.array("messages");
    if (!messages)
        return absl::InvalidArgumentError("messages are missing");
    for (const auto& message : *messages) {
        if (!message.is_object() || !message.contains("content"))
            return absl::InvalidArgumentError("a message has no content");
        if (absl::Status status = appendContent(message.at("content"), completion.prompt); !status.ok())
            return status;
    }
    return absl::OkStatus();
}

static absl::Status readLength(JsonReader& reader, std::size_t defaultTokens, CompletionRequest& completion)
{
    std::int64_t wanted = reader.integer("max_completion_tokens");
    if (wanted == 0)
        wanted = reader.integer("max_tokens");
    if (wanted < 0 || wanted > maxOutputTokens)
        return absl::InvalidArgumentError("max_tokens is out of range");
    completion.maxTokens = wanted == 0 ? defaultTokens : static_cast<std::size_t>(wanted);
    return absl::OkStatus();
}

absl::StatusOr<CompletionRequest> parseCompletion(const HttpRequest& request, std::size_t defaultTokens)
{
    auto document = parseJsonObject(request.body);
    if (!document.ok())
        return document.status();
    JsonReader reader(*document);
    CompletionRequest completion;
    completion.isChat = request.path == chatPath;
    completion.model = reader.text("model");
    completion.isStream = reader.flag("stream");
    if (const auto* options = reader.object("stream_options"))
        completion.includesUsage = JsonReader(*options).flag("include_usage");
    absl::Status status = readLength(reader, defaultTokens, completion);
    status.Update(reader.status());
    status.Update(readPrompt(*document, completion));
    status.Update(readHeader(request, priorityHeader, completion.priority));
    status.Update(readHeader(request, resumeHeader, completion.resumeFrom));
    if (!status.ok())
        return status;
    return completion;
}

CompletionWriter::CompletionWriter(const CompletionRequest& request)
    : m_id(absl::StrFormat("%s-%016x", request.isChat ? "chatcmpl" : "cmpl", EngineText(request.prompt).promptHash()))
    , m_model(request.model)
    , m_promptTokens(countTokens(request.prompt))
    , m_outputTokens(request.maxTokens)
    , m_isChat(request.isChat)
{
}

nlohmann::json CompletionWriter::envelope(bool isChunk) const
{
    const char* chatObject = isChunk ? "chat.completion.chunk" : "chat.completion";
    return {
        { "id", m_id },
        { "object", m_isChat ? chatObject : "text_completion" },
        { "created", createdAt },
        { "model", m_model },
    };
}

nlohmann::json CompletionWriter::usage(std::size_t cachedTokens) const
{
    return {
        { "prompt_tokens", m_promptTokens },
        { "completion_tokens", m_outputTokens },
        { "total_tokens", m_promptTokens + m_outputTokens },
        { "prompt_tokens_details", { { "cached_tokens", cachedTokens } } },
    };
}

static std::string toEvent(const nlohmann::json& document)
{
    return absl::StrCat("data: ", document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace), "\n\n");
}

std::string CompletionWriter::tokenEvent(std::size_t index, const std::string& text) const
{
    nlohmann::json choice = { { "index", 0 }, { "finish_reason", nullptr } };
    if (m_isChat) {
        choice["delta"] = { { "content", text } };
        if (index == 0)
            choice["delta"]["role"] = "assistant";
    } else
        choice["text"] = text;
    nlohmann::json document = envelope(true);
    document["choices"] = nlohmann::json::array({ choice });
    return toEvent(document);
}

std::string CompletionWriter::lastEvent() const
{
    nlohmann::json choice = { { "index", 0 }, { "finish_reason", "length" } };
    if (m_isChat)
        choice["delta"] = nlohmann::json::object();
    else
        choice["text"] = "";
    nlohmann::json document = envelope(true);
    document["choices"] = nlohmann::json::array({ choice });
    return toEvent(document);
}

std::string CompletionWriter::usageEvent(std::size_t cachedTokens) const
{
    nlohmann::json document = envelope(true);
    document["choices"] = nlohmann::json::array();
    document["usage"] = usage(cachedTokens);
    return toEvent(document);
}

nlohmann::json CompletionWriter::whole(const std::string& text, std::size_t cachedTokens) const
{
    nlohmann::json choice = { { "index", 0 }, { "finish_reason", "length" } };
    if (m_isChat)
        choice["message"] = { { "role", "assistant" }, { "content", text } };
    else
        choice["text"] = text;
    nlohmann::json document = envelope(false);
    document["choices"] = nlohmann::json::array({ choice });
    document["usage"] = usage(cachedTokens);
    return document;
}

nlohmann::json toJson(const CacheEventPage& page)
{
    nlohmann::json events = nlohmann::json::array();
    for (const CacheEvent& event : page.events) {
        nlohmann::json hashes = nlohmann::json::array();
        for (std::uint64_t hash : event.hashes)
            hashes.push_back(absl::StrFormat("%016x", hash));
        const char* kind = event.kind == CacheEventKind::Stored ? "stored" : "evicted";
        events.push_back({ { "seq", event.sequence }, { "kind", kind }, { "hashes", std::move(hashes) } });
    }
    return { { "first", page.first }, { "next", page.next }, { "events", std::move(events) } };
}

} // namespace catkinwing::standin
