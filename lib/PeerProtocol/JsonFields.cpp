#include "JsonFields.h"

#include <absl/strings/escaping.h>
#include <cstring>

namespace catkinwing {

using Millis = std::chrono::duration<std::int64_t, std::milli>;

Json::Value toJson(Duration duration)
{
    return Json::Value(static_cast<Json::Int64>(std::chrono::duration_cast<Millis>(duration).count()));
}

static std::string bytesOf(std::uint64_t bits)
{
    constexpr int bitsPerByte = 8;
    std::string bytes;
    for (std::size_t i = 0; i < sizeof(bits); ++i)
        bytes.push_back(static_cast<char>((bits >> (i * bitsPerByte)) & 0xff));
    return bytes;
}

static std::uint64_t bitsOf(absl::string_view bytes)
{
    constexpr int bitsPerByte = 8;
    std::uint64_t bits = 0;
    for (std::size_t i = 0; i < sizeof(bits); ++i)
        bits |= static_cast<std::uint64_t>(static_cast<unsigned char>(bytes[i])) << (i * bitsPerByte);
    return bits;
}

static bool unescape(const Json::Value& json, std::size_t size, std::string& bytes)
{
    return json.isString() && absl::WebSafeBase64Unescape(json.asString(), &bytes) && bytes.size() == size;
}

Json::Value bitsToJson(std::uint64_t bits)
{
    return Json::Value(absl::WebSafeBase64Escape(bytesOf(bits)));
}

Json::Value toJson(const Incarnation& incarnation)
{
    return Json::Value(absl::WebSafeBase64Escape(bytesOf(incarnation.start) + bytesOf(incarnation.random)));
}

Json::Value toJson(const EntryRef& ref)
{
    Json::Value json(Json::arrayValue);
    json.append(ref.name);
    json.append(toJson(ref.incarnation));
    return json;
}

Json::Value toJson(const SocketAddress& address)
{
    return Json::Value(address.toString());
}

bool fromJson(const Json::Value& json, Duration& out)
{
    std::int64_t millis = 0;
    if (!fromJson(json, millis) || millis < 0 || Millis(millis) > maxDecodedDuration)
        return false;
    out = Millis(millis);
    return true;
}

bool fromJson(const Json::Value& json, Incarnation& out)
{
    std::string bytes;
    if (!unescape(json, 2 * sizeof(std::uint64_t), bytes))
        return false;
    absl::string_view view(bytes);
    out.start = bitsOf(view);
    out.random = bitsOf(view.substr(sizeof(std::uint64_t)));
    return true;
}

bool fromJson(const Json::Value& json, EntryRef& out)
{
    return json.isArray() && json.size() == 2 && fromJson(json[0], out.name) && fromJson(json[1], out.incarnation);
}

bool fromJson(const Json::Value& json, SocketAddress& out)
{
    if (!json.isString())
        return false;
    absl::StatusOr<SocketAddress> address = parseSocketAddress(json.asString());
    if (!address.ok())
        return false;
    out = *std::move(address);
    return true;
}

bool fromJson(const Json::Value& json, std::string& out)
{
    if (!json.isString())
        return false;
    out = json.asString();
    return true;
}

// jsoncpp counts a double with no fraction as an integer; the protocol doesn't.
static bool isIntegerToken(const Json::Value& json)
{
    return json.type() == Json::intValue || json.type() == Json::uintValue;
}

bool fromJson(const Json::Value& json, std::uint32_t& out)
{
    if (!isIntegerToken(json) || !json.isUInt())
        return false;
    out = json.asUInt();
    return true;
}

bool fromJson(const Json::Value& json, std::uint64_t& out)
{
    if (!isIntegerToken(json) || !json.isUInt64())
        return false;
    out = json.asUInt64();
    return true;
}

bool fromJson(const Json::Value& json, std::int64_t& out)
{
    if (!isIntegerToken(json) || !json.isInt64())
        return false;
    out = json.asInt64();
    return true;
}

bool fromJson(const Json::Value& json, bool& out)
{
    if (!json.isBool())
        return false;
    out = json.asBool();
    return true;
}

bool bitsFromJson(const Json::Value& json, std::uint64_t& out)
{
    std::string bytes;
    if (!unescape(json, sizeof(std::uint64_t), bytes))
        return false;
    out = bitsOf(bytes);
    return true;
}

FieldReader::FieldReader(const Json::Value& object)
    : m_object(object)
    , m_isValid(object.isObject())
{
    if (m_isValid)
        m_size = object.size();
}

const Json::Value* FieldReader::take(const char* key)
{
    if (!m_object.isObject())
        return nullptr;
    const Json::Value* field = m_object.find(key, key + std::strlen(key));
    if (field)
        ++m_taken;
    return field;
}

void FieldReader::acceptBits(const char* key, std::uint64_t& out)
{
    const Json::Value* field = take(key);
    if (field && !bitsFromJson(*field, out))
        m_isValid = false;
}

} // namespace catkinwing
