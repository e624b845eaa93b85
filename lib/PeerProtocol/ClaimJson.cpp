#include "MessageJson.h"

namespace catkinwing {

constexpr std::uint32_t claimOutcomes = 3;
constexpr std::uint32_t runStates = 3;
constexpr std::uint32_t peerErrorCodes = 6;

template <typename Enum>
static bool enumFromJson(const Json::Value& json, std::uint32_t count, Enum& out)
{
    std::uint32_t value = 0;
    if (!fromJson(json, value) || value >= count)
        return false;
    out = static_cast<Enum>(value);
    return true;
}

static bool fromJson(const Json::Value& json, ClaimOutcome& out)
{
    return enumFromJson(json, claimOutcomes, out);
}

static bool fromJson(const Json::Value& json, RunState& out)
{
    return enumFromJson(json, runStates, out);
}

static bool fromJson(const Json::Value& json, PeerErrorCode& out)
{
    return enumFromJson(json, peerErrorCodes, out);
}

static Json::Value toJson(const ClaimRef& ref)
{
    Json::Value json(Json::arrayValue);
    json.append(ref.entry);
    json.append(bitsToJson(ref.incarnation));
    json.append(Json::Value(static_cast<Json::UInt64>(ref.serial)));
    return json;
}

static bool fromJson(const Json::Value& json, ClaimRef& out)
{
    constexpr Json::ArrayIndex fields = 3;
    return json.isArray() && json.size() == fields && fromJson(json[0], out.entry) && bitsFromJson(json[1], out.incarnation)
        && fromJson(json[2], out.serial);
}

static Json::Value toJson(const Claim& claim)
{
    Json::Value json(Json::arrayValue);
    json.append(bitsToJson(claim.keyHigh));
    json.append(bitsToJson(claim.keyLow));
    json.append(bitsToJson(claim.fingerprint));
    json.append(toJson(claim.id));
    return json;
}

static bool fromJson(const Json::Value& json, Claim& out)
{
    constexpr Json::ArrayIndex fields = 4;
    return json.isArray() && json.size() == fields && bitsFromJson(json[0], out.keyHigh) && bitsFromJson(json[1], out.keyLow)
        && bitsFromJson(json[2], out.fingerprint) && fromJson(json[3], out.id);
}

static Json::Value toJson(const ClaimAnswer& answer)
{
    Json::Value json(Json::objectValue);
    json["c"] = Json::Value(static_cast<Json::UInt64>(answer.serial));
    json["o"] = static_cast<std::uint32_t>(answer.outcome);
    if (answer.holder)
        json["h"] = toJson(*answer.holder);
    if (answer.isOtherRequest)
        json["x"] = true;
    if (answer.retryAfter != Duration::zero())
        json["r"] = toJson(answer.retryAfter);
    return json;
}

// An answer that says more or less than its outcome calls for is refused.
static bool fromJson(const Json::Value& json, ClaimAnswer& out)
{
    FieldReader reader(json);
    reader.require("c", out.serial);
    reader.require("o", out.outcome);
    reader.accept("h", out.holder);
    reader.accept("x", out.isOtherRequest);
    reader.accept("r", out.retryAfter);
    bool isDefinite = out.outcome != ClaimOutcome::NotAvailable;
    bool saysOther = out.isOtherRequest && out.outcome != ClaimOutcome::AlreadyClaimed;
    bool saysRetry = out.retryAfter != Duration::zero() && isDefinite;
    return reader.finish() && out.holder.has_value() == isDefinite && !saysOther && !saysRetry;
}

Json::Value toJson(const ClaimBatch& batch)
{
    Json::Value json(Json::objectValue);
    json["c"] = arrayToJson(batch.claims);
    return json;
}

bool fromJson(const Json::Value& json, ClaimBatch& out)
{
    FieldReader reader(json);
    reader.require("c", out.claims);
    return reader.finish();
}

Json::Value toJson(const ClaimReply& reply)
{
    Json::Value json(Json::objectValue);
    json["v"] = arrayToJson(reply.answers);
    return json;
}

bool fromJson(const Json::Value& json, ClaimReply& out)
{
    FieldReader reader(json);
    reader.require("v", out.answers);
    return reader.finish();
}

Json::Value toJson(const RunningAnswerQuery& query)
{
    Json::Value json(Json::objectValue);
    json["c"] = query.claimId;
    return json;
}

bool fromJson(const Json::Value& json, RunningAnswerQuery& out)
{
    FieldReader reader(json);
    reader.require("c", out.claimId);
    return reader.finish();
}

Json::Value toJson(const RunningAnswer& answer)
{
    Json::Value json(Json::objectValue);
    json["s"] = static_cast<std::uint32_t>(answer.state);
    return json;
}

bool fromJson(const Json::Value& json, RunningAnswer& out)
{
    FieldReader reader(json);
    reader.require("s", out.state);
    return reader.finish();
}

Json::Value toJson(const EntryLeaving& leaving)
{
    Json::Value json(Json::objectValue);
    json["n"] = toJson(leaving.entry);
    if (leaving.isGone)
        json["x"] = true;
    return json;
}

bool fromJson(const Json::Value& json, EntryLeaving& out)
{
    FieldReader reader(json);
    reader.require("n", out.entry);
    reader.accept("x", out.isGone);
    return reader.finish();
}

Json::Value toJson(const Acknowledgement& /*acknowledgement*/)
{
    return Json::Value(Json::objectValue);
}

bool fromJson(const Json::Value& json, Acknowledgement& /*out*/)
{
    return json.isObject() && json.empty();
}

Json::Value toJson(const PeerError& error)
{
    Json::Value json(Json::objectValue);
    json["c"] = static_cast<std::uint32_t>(error.code);
    json["m"] = error.message;
    if (error.known)
        json["i"] = toJson(*error.known);
    return json;
}

bool fromJson(const Json::Value& json, PeerError& out)
{
    FieldReader reader(json);
    reader.require("c", out.code);
    reader.require("m", out.message);
    reader.accept("i", out.known);
    return reader.finish();
}

} // namespace catkinwing
