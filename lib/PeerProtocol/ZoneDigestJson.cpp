#include "MessageJson.h"

namespace catkinwing {

Json::Value toJson(const ZoneContact& contact)
{
    Json::Value json(Json::arrayValue);
    json.append(contact.zone);
    json.append(contact.region);
    json.append(toJson(contact.peerAddress));
    return json;
}

bool fromJson(const Json::Value& json, ZoneContact& out)
{
    constexpr Json::ArrayIndex fields = 3;
    return json.isArray() && json.size() == fields && fromJson(json[0], out.zone) && !out.zone.empty()
        && fromJson(json[1], out.region) && fromJson(json[2], out.peerAddress);
}

static Json::Value toJson(const ZoneEntry& entry)
{
    Json::Value json = toJson(entry.ref);
    json.append(toJson(entry.callerAddress));
    json.append(toJson(entry.peerAddress));
    if (entry.draining)
        json.append(true);
    return json;
}

static bool fromJson(const Json::Value& json, ZoneEntry& out)
{
    constexpr Json::ArrayIndex fields = 4;
    if (!json.isArray() || json.size() < fields || json.size() > fields + 1)
        return false;
    if (json.size() > fields && !fromJson(json[fields], out.draining))
        return false;
    return fromJson(json[0], out.ref.name) && fromJson(json[1], out.ref.incarnation)
        && fromJson(json[2], out.callerAddress) && fromJson(json[3], out.peerAddress);
}

static Json::Value toJson(const ModelRoom& room)
{
    Json::Value json(Json::arrayValue);
    json.append(room.model);
    json.append(room.freeSlots);
    json.append(room.queued);
    json.append(toJson(room.predictedWait));
    return json;
}

static bool fromJson(const Json::Value& json, ModelRoom& out)
{
    constexpr Json::ArrayIndex fields = 4;
    return json.isArray() && json.size() == fields && fromJson(json[0], out.model)
        && fromJson(json[1], out.freeSlots) && fromJson(json[2], out.queued) && fromJson(json[3], out.predictedWait);
}

Json::Value toJson(const ZoneDigest& digest)
{
    Json::Value json(Json::objectValue);
    json["z"] = digest.zone;
    if (!digest.region.empty())
        json["r"] = digest.region;
    json["n"] = digest.relay;
    json["s"] = Json::Value(static_cast<Json::UInt64>(digest.sequence));
    if (digest.age != Duration::zero())
        json["o"] = toJson(digest.age);
    json["h"] = digest.rosterDigest;
    if (digest.knownRoster != 0)
        json["k"] = digest.knownRoster;
    if (digest.entries)
        json["e"] = arrayToJson(*digest.entries);
    if (!digest.models.empty())
        json["m"] = arrayToJson(digest.models);
    if (!digest.served.empty())
        json["t"] = countsToJson(digest.served, &TeamTokens::team, &TeamTokens::tokens);
    if (digest.hasMoreServed)
        json["tm"] = true;
    if (digest.configDigest != 0)
        json["g"] = bitsToJson(digest.configDigest);
    if (digest.zonesDigest != 0)
        json["y"] = digest.zonesDigest;
    if (!digest.contacts.empty())
        json["zc"] = arrayToJson(digest.contacts);
    return json;
}

bool fromJson(const Json::Value& json, ZoneDigest& out)
{
    FieldReader reader(json);
    reader.require("z", out.zone);
    reader.accept("r", out.region);
    reader.require("n", out.relay);
    reader.require("s", out.sequence);
    reader.accept("o", out.age);
    reader.require("h", out.rosterDigest);
    reader.accept("k", out.knownRoster);
    reader.accept("e", out.entries);
    reader.accept("m", out.models);
    const Json::Value* served = reader.take("t");
    if (served && !countsFromJson(*served, out.served, &TeamTokens::team, &TeamTokens::tokens))
        reader.reject();
    reader.accept("tm", out.hasMoreServed);
    reader.acceptBits("g", out.configDigest);
    reader.accept("y", out.zonesDigest);
    reader.accept("zc", out.contacts);
    return reader.finish() && !out.zone.empty();
}

} // namespace catkinwing
