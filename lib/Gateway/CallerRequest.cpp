#include "catkinwing/Gateway/CallerRequest.h"

#include "catkinwing/Config/KeyDigest.h"
#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

namespace catkinwing {

static constexpr absl::string_view servicesPrefix = "/services/";
static constexpr double bytesPerToken = 4;

CallerRoute routeOf(absl::string_view path)
{
    if (path == "/v1/chat/completions")
        return CallerRoute::ChatCompletions;
    if (path == "/v1/completions")
        return CallerRoute::Completions;
    if (path == "/v1/models")
        return CallerRoute::Models;
    if (path == "/v1/entries")
        return CallerRoute::Entries;
    if (path == "/v1/idempotency-keys")
        return CallerRoute::IdempotencyKeys;
    if (absl::StartsWith(path, servicesPrefix))
        return CallerRoute::Service;
    return CallerRoute::Unknown;
}

static ApiError fault(int status, std::string code, std::string message)
{
    ApiError error;
    error.status = status;
    error.code = std::move(code);
    error.message = std::move(message);
    return error;
}

std::variant<CallerIdentity, ApiError> authenticate(std::shared_ptr<const ConfigSnapshot> snapshot, const HttpHeaders& headers)
{
    constexpr absl::string_view scheme = "Bearer ";
    const std::string* authorization = headers.find("Authorization");
    if (!authorization || !absl::StartsWithIgnoreCase(*authorization, scheme))
        return fault(401, "missing_key", "header Authorization has no bearer key");
    absl::string_view key = absl::StripAsciiWhitespace(absl::string_view(*authorization).substr(scheme.size()));
    KeyOwner owner = findCallerKey(*snapshot, digestKey(key));
    if (!owner.team)
        return fault(401, "unknown_key", "the bearer key belongs to no team");
    return CallerIdentity { std::move(snapshot), owner.team, owner.key->name };
}

Residency residencyOf(const TeamDocument& team)
{
    if (!team.residency)
        return Residency::unrestricted();
    return Residency::within(team.residency->regions);
}

std::variant<ClassChoice, ApiError> chooseClass(const TeamDocument& team, const HttpHeaders& headers)
{
    const std::string* wanted = headers.find("Catkinwing-Class");
    const RequestClass* requestClass = findClass(team, wanted ? *wanted : team.defaultClass);
    if (!requestClass)
        return fault(400, "unknown_class", absl::StrCat("team '", team.name, "' has no class '", wanted ? *wanted : team.defaultClass, "'"));
    ClassChoice choice { requestClass, requestClass->timeout };
    const std::string* timeout = headers.find("Catkinwing-Timeout-Ms");
    if (!timeout)
        return choice;
    std::int64_t milliseconds = 0;
    if (!absl::SimpleAtoi(*timeout, &milliseconds) || milliseconds <= 0)
        return fault(400, "bad_timeout", "header Catkinwing-Timeout-Ms is not a positive number");
    // Compared as milliseconds: a huge number would overflow the clock's unit.
    auto limit = std::chrono::duration_cast<std::chrono::milliseconds>(choice.timeout);
    choice.timeout = std::min(limit, std::chrono::milliseconds(milliseconds));
    return choice;
}

// Text of one message: a string, or an array of parts of which the text counts.
static void appendContent(const nlohmann::json& content, std::string& prompt)
{
    if (content.is_string()) {
        prompt += content.get_ref<const std::string&>();
        return;
    }
    if (!content.is_array())
        return;
    for (const nlohmann::json& part : content) {
        auto text = part.is_object() ? part.find("text") : part.end();
        if (part.is_object() && text != part.end() && text->is_string())
            prompt += text->get_ref<const std::string&>();
    }
}

// Appends the text of one message or part to the prompt, as a segment of its own.
static void appendSegment(const nlohmann::json& content, ModelCall& call)
{
    std::string text;
    appendContent(content, text);
    call.prompt += text;
    call.segments.push_back(digestKey(text).toHex());
}

static std::optional<ApiError> readMessages(const nlohmann::json& body, ModelCall& call)
{
    auto messages = body.find("messages");
    if (messages == body.end() || !messages->is_array() || messages->empty())
        return fault(400, "bad_messages", "field 'messages' is not a list of messages");
    for (const nlohmann::json& message : *messages) {
        if (!message.is_object())
            return fault(400, "bad_messages", "an item of 'messages' is not an object");
        auto content = message.find("content");
        if (content != message.end())
            appendSegment(*content, call);
    }
    return std::nullopt;
}

static std::optional<ApiError> readPrompt(const nlohmann::json& body, ModelCall& call)
{
    auto field = body.find("prompt");
    if (field == body.end() || !(field->is_string() || field->is_array()))
        return fault(400, "bad_prompt", "field 'prompt' is not text");
    if (field->is_string()) {
        appendSegment(*field, call);
        return std::nullopt;
    }
    for (const nlohmann::json& part : *field) {
        if (part.is_string())
            appendSegment(part, call);
    }
    return std::nullopt;
}

static std::optional<double> readOutputLimit(const nlohmann::json& body)
{
    for (const char* name : { "max_completion_tokens", "max_tokens" }) {
        auto field = body.find(name);
        if (field != body.end() && field->is_number() && field->get<double>() > 0)
            return field->get<double>();
    }
    return std::nullopt;
}

std::variant<ModelCall, ApiError> parseModelCall(CallerRoute route, const std::string& body)
{
    nlohmann::json json = nlohmann::json::parse(body, nullptr, false);
    if (json.is_discarded())
        return fault(400, "bad_json", "the body is not JSON");
    if (!json.is_object())
        return fault(400, "bad_json", "the body is not a JSON object");
    auto model = json.find("model");
    if (model == json.end() || !model->is_string())
        return fault(400, "bad_model", "field 'model' is not text");
    ModelCall call;
    call.model = model->get<std::string>();
    auto stream = json.find("stream");
    if (stream != json.end() && !stream->is_boolean() && !stream->is_null())
        return fault(400, "bad_stream", "field 'stream' is neither true nor false");
    call.isStreaming = stream != json.end() && stream->is_boolean() && stream->get<bool>();
    auto problem = route == CallerRoute::ChatCompletions ? readMessages(json, call) : readPrompt(json, call);
    if (problem)
        return *problem;
    call.promptTokens = static_cast<double>(call.prompt.size()) / bytesPerToken;
    call.maximumOutputTokens = readOutputLimit(json);
    return call;
}

static bool contains(const std::vector<std::string>& names, const std::string& name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

static const ModelDocument* findModelOfAdapter(const ConfigSnapshot& snapshot, const std::string& adapter)
{
    for (const auto& [name, model] : snapshot.models) {
        for (const AdapterSettings& candidate : model->adapters) {
            if (candidate.name == adapter)
                return model.get();
        }
    }
    return nullptr;
}

std::optional<ApiError> resolveModel(const ConfigSnapshot& snapshot, const TeamDocument& team, ModelCall& call)
{
    bool isModel = contains(team.models, call.model);
    bool isAdapter = !isModel && contains(team.adapters, call.model);
    if (!isModel && !isAdapter)
        return fault(404, "model_not_found", absl::StrCat("team '", team.name, "' has no model '", call.model, "'"));
    const ModelDocument* model = isModel ? findModel(snapshot, call.model) : findModelOfAdapter(snapshot, call.model);
    if (!model)
        return fault(503, "model_not_configured", absl::StrCat("model '", call.model, "' is named by the team but has no document"));
    if (isAdapter) {
        call.adapter = call.model;
        call.model = model->name;
    }
    if (call.promptTokens > static_cast<double>(model->maximumContextTokens))
        return fault(400, "prompt_too_long", absl::StrCat("the prompt is longer than the ", model->maximumContextTokens, " tokens of model '", call.model, "'"));
    return std::nullopt;
}

std::variant<ServiceCall, ApiError> parseServiceCall(const TeamDocument& team, const HttpRequest& request)
{
    absl::string_view rest = absl::string_view(request.path).substr(servicesPrefix.size());
    std::size_t slash = rest.find('/');
    ServiceCall call;
    call.service = std::string(rest.substr(0, slash));
    call.target = slash == absl::string_view::npos ? "/" : std::string(rest.substr(slash));
    if (!request.query.empty())
        absl::StrAppend(&call.target, "?", request.query);
    auto service = std::find_if(team.services.begin(), team.services.end(),
        [&call](const TeamService& candidate) { return candidate.name == call.service; });
    if (service == team.services.end())
        return fault(404, "service_not_found", absl::StrCat("team '", team.name, "' has no service '", call.service, "'"));
    call.isIdempotent = contains(service->idempotentMethods, request.method);
    return call;
}

std::string serviceModelName(absl::string_view service)
{
    return absl::StrCat("service/", service);
}

static bool isHopByHop(absl::string_view name)
{
    constexpr std::array<absl::string_view, 11> names {
        "connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "proxy-connection", "te", "trailer",
        "transfer-encoding", "upgrade", "content-length", "host"
    };
    return std::any_of(names.begin(), names.end(), [name](absl::string_view candidate) { return absl::EqualsIgnoreCase(name, candidate); });
}

HttpHeaders headersToPassOn(const HttpHeaders& headers)
{
    HttpHeaders passed;
    for (const HttpHeader& field : headers.fields()) {
        // The caller's key is the gateway's business; endpoints get none of it.
        bool isGateways = absl::StartsWithIgnoreCase(field.name, "catkinwing-") || absl::EqualsIgnoreCase(field.name, "authorization");
        if (!isHopByHop(field.name) && !isGateways && !absl::EqualsIgnoreCase(field.name, "expect"))
            passed.add(field.name, field.value);
    }
    return passed;
}

} // namespace catkinwing
