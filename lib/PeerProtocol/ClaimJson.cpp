#include "MessageJson.h"

namespace catkinwing {

constexpr std::uint32_t claimOutcomes = 4;
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

static Json::Value toJson(const Claim& claim)
{
    Json::Value json(Json::arrayValue);
    json.append(claim.keyHash);
    json.append(claim.claimId);
    json.append(toJson(claim.claimant));
    json.append(Json::Value(static_cast<Json::UInt64>(claim.generation)));
    return json;
}

static bool fromJson(const Json::Value& json, Claim& out)
{
    constexpr Json::ArrayIndex fields = 4;
    return json.isArray() && json.size() == fields && fromJson(json[0], out.keyHash) && fromJson(json[1], out.claimId)
        && fromJson(json[2], out.claimant) && fromJson(json[3], out.generation);
}

static Json::Value toJson(const ClaimAnswer& verdict)
{
    Json::Value json(Json::objectValue);
    json["c"] = verdict.claimId;
    json["o"] = static_cast<std::uint32_t>(verdict.outcome);
    if (verdict.holder)
        json["h"] = toJson(*verdict.holder);
    return json;
}

static bool fromJson(const Json::Value& json, ClaimAnswer& out)
{
    FieldReader reader(json);
    reader.require("c", out.claimId);
    reader.require("o", out.outcome);
    reader.accept("h", out.holder);
    return reader.finish() && out.holder.has_value() == (out.outcome == ClaimOutcome::Held);
}

Json::Value toJson(const ClaimBatch& batch)
{
    Json::Value json(Json::objectValue);
    json["s"] = batch.shard;
    json["c"] = arrayToJson(batch.claims);
    return json;
}

bool fromJson(const Json::Value& json, ClaimBatch& out)
{
    FieldReader reader(json);
    reader.require("s", out.shard);
    reader.require("c", out.claims);
    return reader.finish();
}

Json::Value toJson(const ClaimReply& reply)
{
    Json::Value json(Json::objectValue);
    json["v"] = arrayToJson(reply.verdicts);
    return json;
}

bool fromJson(const Json::Value& json, ClaimReply& out)
{
    FieldReader reader(json);
    reader.require("v", out.verdicts);
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
