#pragma once

#include "JsonFields.h"

namespace catkinwing {

// JSON forms of the messages; fields at their default are left out. Each
// fromJson() returns false, and leaves the output unspecified, for anything that
// toJson() doesn't make.

Json::Value toJson(const Heartbeat& heartbeat);
Json::Value toJson(const ZoneDigest& digest);
Json::Value toJson(const ZoneContact& contact);
Json::Value toJson(const ConfigPush& push);
Json::Value toJson(const ConfigPull& pull);
Json::Value toJson(const ConfigNewer& newer);
Json::Value toJson(const EndpointLeaving& leaving);
Json::Value toJson(const EntryLeaving& leaving);
Json::Value toJson(const ClaimBatch& batch);
Json::Value toJson(const ClaimReply& reply);
Json::Value toJson(const RunningAnswerQuery& query);
Json::Value toJson(const RunningAnswer& answer);
Json::Value toJson(const Acknowledgement& acknowledgement);
Json::Value toJson(const PeerError& error);

bool fromJson(const Json::Value& json, Heartbeat& out);
bool fromJson(const Json::Value& json, ZoneDigest& out);
bool fromJson(const Json::Value& json, ZoneContact& out);
bool fromJson(const Json::Value& json, ConfigPush& out);
bool fromJson(const Json::Value& json, ConfigPull& out);
bool fromJson(const Json::Value& json, ConfigNewer& out);
bool fromJson(const Json::Value& json, EndpointLeaving& out);
bool fromJson(const Json::Value& json, EntryLeaving& out);
bool fromJson(const Json::Value& json, ClaimBatch& out);
bool fromJson(const Json::Value& json, ClaimReply& out);
bool fromJson(const Json::Value& json, RunningAnswerQuery& out);
bool fromJson(const Json::Value& json, RunningAnswer& out);
bool fromJson(const Json::Value& json, Acknowledgement& out);
bool fromJson(const Json::Value& json, PeerError& out);

} // namespace catkinwing
