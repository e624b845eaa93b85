#include "MessageJson.h"

namespace catkinwing {

static Json::Value toJson(const ConfigEntry& entry)
{
    Json::Value json(Json::arrayValue);
    json.append(entry.path);
    json.append(Json::Value(static_cast<Json::Int64>(entry.revision)));
    if (entry.text)
        json.append(*entry.text);
    return json;
}

static bool fromJson(const Json::Value& json, ConfigEntry& out)
{
    constexpr Json::ArrayIndex fields = 2;
    if (!json.isArray() || json.size() < fields || json.size() > fields + 1)
        return false;
    if (json.size() > fields && !fromJson(json[fields], out.text.emplace()))
        return false;
    return fromJson(json[0], out.path) && fromJson(json[1], out.revision);
}

static Json::Value toJson(const ConfigRevision& known)
{
    Json::Value json(Json::arrayValue);
    json.append(known.path);
    json.append(Json::Value(static_cast<Json::Int64>(known.revision)));
    return json;
}

static bool fromJson(const Json::Value& json, ConfigRevision& out)
{
    return json.isArray() && json.size() == 2 && fromJson(json[0], out.path) && fromJson(json[1], out.revision);
}

Json::Value toJson(const ConfigPush& push)
{
    Json::Value json(Json::objectValue);
    json["e"] = arrayToJson(push.entries);
    return json;
}

bool fromJson(const Json::Value& json, ConfigPush& out)
{
    FieldReader reader(json);
    reader.require("e", out.entries);
    return reader.finish();
}

Json::Value toJson(const ConfigPull& pull)
{
    Json::Value json(Json::objectValue);
    json["k"] = arrayToJson(pull.known);
    return json;
}

bool fromJson(const Json::Value& json, ConfigPull& out)
{
    FieldReader reader(json);
    reader.require("k", out.known);
    return reader.finish();
}

Json::Value toJson(const ConfigNewer& newer)
{
    Json::Value json(Json::objectValue);
    json["e"] = arrayToJson(newer.entries);
    if (newer.hasMore)
        json["m"] = true;
    return json;
}

bool fromJson(const Json::Value& json, ConfigNewer& out)
{
    FieldReader reader(json);
    reader.require("e", out.entries);
    reader.accept("m", out.hasMore);
    return reader.finish();
}

} // namespace catkinwing
