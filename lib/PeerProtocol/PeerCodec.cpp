#include "catkinwing/PeerProtocol/PeerCodec.h"

#include "JsonRpc.h"
#include "MessageJson.h"
#include <absl/strings/str_cat.h>

namespace catkinwing {

namespace {

    // The number before the slash is the version of the method's parameters.
    template <typename T>
    struct MethodOf;
    template <>
    struct MethodOf<Heartbeat> {
        static constexpr const char* name = "1/hb";
    };
    template <>
    struct MethodOf<ZoneDigest> {
        static constexpr const char* name = "1/zd";
    };
    template <>
    struct MethodOf<ConfigPush> {
        static constexpr const char* name = "1/push";
    };
    template <>
    struct MethodOf<ConfigPull> {
        static constexpr const char* name = "1/pull";
    };
    template <>
    struct MethodOf<EndpointLeaving> {
        static constexpr const char* name = "1/endpoint-leaving";
    };
    template <>
    struct MethodOf<EntryLeaving> {
        static constexpr const char* name = "1/entry-leaving";
    };
    template <>
    struct MethodOf<ClaimBatch> {
        static constexpr const char* name = "1/claim";
    };
    template <>
    struct MethodOf<RunningAnswerQuery> {
        static constexpr const char* name = "1/running";
    };

    // Tags of results, each the single key of a result object.
    template <typename T>
    struct TagOf;
    template <>
    struct TagOf<Heartbeat> {
        static constexpr const char* name = "hb";
    };
    template <>
    struct TagOf<ZoneDigest> {
        static constexpr const char* name = "zd";
    };
    template <>
    struct TagOf<ConfigNewer> {
        static constexpr const char* name = "newer";
    };
    template <>
    struct TagOf<ClaimReply> {
        static constexpr const char* name = "claim";
    };
    template <>
    struct TagOf<RunningAnswer> {
        static constexpr const char* name = "running";
    };
    template <>
    struct TagOf<Acknowledgement> {
        static constexpr const char* name = "ok";
    };
    // A refusal is a result of its own: the library's client drops an error's data.
    template <>
    struct TagOf<PeerError> {
        static constexpr const char* name = "refused";
    };

} // namespace

template <typename... Ts>
static std::vector<const char*> methodNames(const std::variant<Ts...>* /*types*/)
{
    return { MethodOf<Ts>::name... };
}

template <typename T, typename Variant>
static bool decodeAs(const Json::Value& json, std::optional<Variant>& out)
{
    T value;
    if (!fromJson(json, value))
        return false;
    out = std::move(value);
    return true;
}

template <typename... Ts>
static bool decodeCall(const RpcCall& call, std::optional<std::variant<Ts...>>& out)
{
    return ((call.method == MethodOf<Ts>::name && decodeAs<Ts>(call.params, out)) || ...);
}

std::string encodeBatch(const std::vector<PeerMessage>& messages)
{
    std::vector<RpcCall> calls;
    calls.reserve(messages.size());
    for (const PeerMessage& message : messages) {
        calls.push_back(std::visit(
            [](const auto& typed) { return RpcCall { MethodOf<std::decay_t<decltype(typed)>>::name, toJson(typed) }; }, message));
    }
    return encodeCalls(calls);
}

absl::StatusOr<std::vector<PeerMessage>> decodeBatch(absl::string_view bytes)
{
    if (bytes.size() > maxBatchBytes)
        return absl::InvalidArgumentError(absl::StrCat("batch: ", bytes.size(), " bytes are too many"));
    const PeerMessage* types = nullptr;
    absl::StatusOr<std::vector<RpcCall>> calls = decodeCalls(std::string(bytes), methodNames(types));
    if (!calls.ok())
        return calls.status();
    std::vector<PeerMessage> messages;
    messages.reserve(calls->size());
    for (const RpcCall& call : *calls) {
        std::optional<PeerMessage> message;
        if (!decodeCall(call, message))
            return absl::InvalidArgumentError(absl::StrCat("batch: malformed parameters of ", call.method));
        messages.push_back(*std::move(message));
    }
    return messages;
}

template <typename T>
static Json::Value toResult(const T& reply)
{
    Json::Value result(Json::objectValue);
    result[TagOf<T>::name] = toJson(reply);
    return result;
}

std::string encodeReplies(const std::vector<PeerReply>& replies)
{
    std::vector<Json::Value> results;
    results.reserve(replies.size());
    for (const PeerReply& reply : replies)
        results.push_back(std::visit([](const auto& typed) { return toResult(typed); }, reply));
    return encodeResults(results);
}

template <typename T>
static bool decodeTagged(const Json::Value& result, std::optional<PeerReply>& out)
{
    const char* tag = TagOf<T>::name;
    return result.isMember(tag) && decodeAs<T>(result[tag], out);
}

static bool decodeResult(const Json::Value& result, std::optional<PeerReply>& out)
{
    if (!result.isObject() || result.size() != 1)
        return false;
    return decodeTagged<Heartbeat>(result, out) || decodeTagged<ZoneDigest>(result, out) || decodeTagged<ConfigNewer>(result, out)
        || decodeTagged<ClaimReply>(result, out) || decodeTagged<RunningAnswer>(result, out) || decodeTagged<Acknowledgement>(result, out)
        || decodeTagged<PeerError>(result, out);
}

static PeerError toError(const RpcAnswer& answer)
{
    PeerErrorCode code = answer.errorCode == rpcUnknownMethod ? PeerErrorCode::UnknownMethod : PeerErrorCode::Malformed;
    return PeerError { code, answer.errorMessage, std::nullopt };
}

absl::StatusOr<std::vector<PeerReply>> decodeReplies(absl::string_view bytes, std::size_t expected)
{
    if (bytes.size() > maxBatchBytes)
        return absl::InvalidArgumentError(absl::StrCat("replies: ", bytes.size(), " bytes are too many"));
    absl::StatusOr<std::vector<RpcAnswer>> answers = decodeAnswers(std::string(bytes), expected);
    if (!answers.ok())
        return answers.status();
    std::vector<PeerReply> replies;
    replies.reserve(answers->size());
    for (const RpcAnswer& answer : *answers) {
        if (answer.errorCode != 0) {
            replies.emplace_back(toError(answer));
            continue;
        }
        std::optional<PeerReply> reply;
        if (!decodeResult(answer.result, reply))
            return absl::InvalidArgumentError("replies: malformed result");
        replies.push_back(*std::move(reply));
    }
    return replies;
}

static std::size_t bytesOf(const ConfigEntry& entry)
{
    return entry.path.size() + (entry.text ? entry.text->size() : 0);
}

std::vector<ConfigPush> splitConfig(std::vector<ConfigEntry> entries, std::size_t maxBytes)
{
    std::vector<ConfigPush> pushes;
    std::size_t used = 0;
    for (ConfigEntry& entry : entries) {
        std::size_t bytes = bytesOf(entry);
        if (pushes.empty() || used + bytes > maxBytes) {
            pushes.emplace_back();
            used = 0;
        }
        used += bytes;
        pushes.back().entries.push_back(std::move(entry));
    }
    return pushes;
}

} // namespace catkinwing
