#include "MessageJson.h"

namespace catkinwing {

Json::Value toJson(const EndpointLeaving& leaving)
{
    Json::Value json(Json::objectValue);
    json["e"] = leaving.endpoint;
    json["i"] = leaving.incarnation;
    return json;
}

bool fromJson(const Json::Value& json, EndpointLeaving& out)
{
    FieldReader reader(json);
    reader.require("e", out.endpoint);
    reader.require("i", out.incarnation);
    return reader.finish();
}

static Json::Value toJson(const FreezeMark& mark)
{
    Json::Value json(Json::arrayValue);
    json.append(mark.count);
    json.append(toJson(mark.span));
    json.append(toJson(mark.age));
    return json;
}

static bool fromJson(const Json::Value& json, FreezeMark& out)
{
    constexpr Json::ArrayIndex fields = 3;
    return json.isArray() && json.size() == fields
        && fromJson(json[0], out.count) && fromJson(json[1], out.span) && fromJson(json[2], out.age);
}

static Json::Value toJson(const StateHashes& hashes)
{
    Json::Value json(Json::arrayValue);
    json.append(bitsToJson(hashes.config));
    json.append(hashes.members);
    json.append(hashes.zones);
    return json;
}

static bool fromJson(const Json::Value& json, StateHashes& out)
{
    constexpr Json::ArrayIndex fields = 3;
    return json.isArray() && json.size() == fields
        && bitsFromJson(json[0], out.config) && fromJson(json[1], out.members) && fromJson(json[2], out.zones);
}

// Written as a whole or not at all.
static void putWhereabouts(Json::Value& json, const EntryIdentity& sender)
{
    if (sender.zone.empty())
        return;
    Json::Value& card = json["c"] = Json::Value(Json::arrayValue);
    card.append(sender.zone);
    card.append(sender.region);
    card.append(toJson(sender.callerAddress));
    card.append(toJson(sender.peerAddress));
    card.append(toJson(sender.operatorAddress));
}

static bool takeWhereabouts(const Json::Value* card, EntryIdentity& out)
{
    constexpr Json::ArrayIndex fields = 5;
    if (!card)
        return true;
    if (!card->isArray() || card->size() != fields)
        return false;
    const Json::Value& json = *card;
    return fromJson(json[0], out.zone) && !out.zone.empty() && fromJson(json[1], out.region)
        && fromJson(json[2], out.callerAddress) && fromJson(json[3], out.peerAddress) && fromJson(json[4], out.operatorAddress);
}

static void putLists(Json::Value& json, const Heartbeat& heartbeat)
{
    if (!heartbeat.demand.empty())
        json["w"] = countsToJson(heartbeat.demand, &GroupDemand::group, &GroupDemand::requests);
    if (!heartbeat.load.empty())
        json["f"] = countsToJson(heartbeat.load, &EndpointLoad::endpoint, &EndpointLoad::inFlight);
    if (!heartbeat.served.empty())
        json["t"] = countsToJson(heartbeat.served, &TeamTokens::team, &TeamTokens::tokens);
    if (heartbeat.hasMoreServed)
        json["tm"] = true;
    if (!heartbeat.leaving.empty())
        json["l"] = arrayToJson(heartbeat.leaving);
    if (!heartbeat.members.empty())
        json["p"] = arrayToJson(heartbeat.members);
    if (!heartbeat.contacts.empty())
        json["zc"] = arrayToJson(heartbeat.contacts);
    if (!heartbeat.digests.empty())
        json["zd"] = arrayToJson(heartbeat.digests);
}

Json::Value toJson(const Heartbeat& heartbeat)
{
    Json::Value json(Json::objectValue);
    json["n"] = toJson(heartbeat.sender.ref);
    putWhereabouts(json, heartbeat.sender);
    json["s"] = Json::Value(static_cast<Json::UInt64>(heartbeat.sequence));
    if (heartbeat.acknowledged != 0)
        json["a"] = Json::Value(static_cast<Json::UInt64>(heartbeat.acknowledged));
    if (heartbeat.draining)
        json["d"] = true;
    if (heartbeat.hashes)
        json["h"] = toJson(*heartbeat.hashes);
    if (heartbeat.freeze)
        json["fz"] = toJson(*heartbeat.freeze);
    putLists(json, heartbeat);
    return json;
}

static void takeLists(FieldReader& reader, Heartbeat& out)
{
    const Json::Value* demand = reader.take("w");
    if (demand && !countsFromJson(*demand, out.demand, &GroupDemand::group, &GroupDemand::requests))
        reader.reject();
    const Json::Value* load = reader.take("f");
    if (load && !countsFromJson(*load, out.load, &EndpointLoad::endpoint, &EndpointLoad::inFlight))
        reader.reject();
    const Json::Value* served = reader.take("t");
    if (served && !countsFromJson(*served, out.served, &TeamTokens::team, &TeamTokens::tokens))
        reader.reject();
    reader.accept("tm", out.hasMoreServed);
    reader.accept("l", out.leaving);
    reader.accept("p", out.members);
    reader.accept("zc", out.contacts);
    reader.accept("zd", out.digests);
}

bool fromJson(const Json::Value& json, Heartbeat& out)
{
    FieldReader reader(json);
    reader.require("n", out.sender.ref);
    if (!takeWhereabouts(reader.take("c"), out.sender))
        reader.reject();
    reader.require("s", out.sequence);
    reader.accept("a", out.acknowledged);
    reader.accept("d", out.draining);
    reader.accept("h", out.hashes);
    reader.accept("fz", out.freeze);
    takeLists(reader, out);
    return reader.finish();
}

} // namespace catkinwing
