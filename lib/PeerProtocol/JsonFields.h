#pragma once

#include "catkinwing/PeerProtocol/PeerMessages.h"
#include <absl/status/status.h>
#include <absl/strings/string_view.h>
#include <jsoncpp/json/json.h>
#include <string>

namespace catkinwing {

/// Longest time that is decoded.
constexpr std::chrono::hours maxDecodedDuration { 24 * 365 };

/// Returns \p duration in whole milliseconds.
Json::Value toJson(Duration duration);
/// Returns 64 bits as 11 characters.
Json::Value bitsToJson(std::uint64_t bits);
/// Returns start and random bits as 22 characters.
Json::Value toJson(const Incarnation& incarnation);
/// Returns [name, incarnation].
Json::Value toJson(const EntryRef& ref);
/// Returns "host:port".
Json::Value toJson(const SocketAddress& address);

bool fromJson(const Json::Value& json, Duration& out);
bool fromJson(const Json::Value& json, Incarnation& out);
bool fromJson(const Json::Value& json, EntryRef& out);
bool fromJson(const Json::Value& json, SocketAddress& out);
bool fromJson(const Json::Value& json, std::string& out);
bool fromJson(const Json::Value& json, std::uint32_t& out);
bool fromJson(const Json::Value& json, std::uint64_t& out);
bool fromJson(const Json::Value& json, std::int64_t& out);
bool fromJson(const Json::Value& json, bool& out);
bool bitsFromJson(const Json::Value& json, std::uint64_t& out);

/// Reads an array of values that fromJson() reads.
template <typename T>
bool fromJson(const Json::Value& json, std::vector<T>& out)
{
    if (!json.isArray())
        return false;
    out.reserve(json.size());
    for (const Json::Value& item : json) {
        T value;
        if (!fromJson(item, value))
            return false;
        out.push_back(std::move(value));
    }
    return true;
}

/// Returns an array of what toJson() makes of each item.
template <typename T>
Json::Value arrayToJson(const std::vector<T>& items)
{
    Json::Value array(Json::arrayValue);
    for (const T& item : items)
        array.append(toJson(item));
    return array;
}

/// Reads the fields of one object strictly: a field that is missing, of another
/// type or unknown makes the object invalid.
class FieldReader {
public:
    explicit FieldReader(const Json::Value& object);

    /// Reads a field that must be there.
    template <typename T>
    void require(const char* key, T& out)
    {
        const Json::Value* field = take(key);
        if (!field || !fromJson(*field, out))
            m_isValid = false;
    }

    /// Reads a field that may be left out; \p out then keeps its value.
    template <typename T>
    void accept(const char* key, T& out)
    {
        const Json::Value* field = take(key);
        if (field && !fromJson(*field, out))
            m_isValid = false;
    }

    /// Reads a field into an optional.
    template <typename T>
    void accept(const char* key, std::optional<T>& out)
    {
        const Json::Value* field = take(key);
        if (field && !fromJson(*field, out.emplace()))
            m_isValid = false;
    }

    /// Reads 64 bits written by bitsToJson(); zero if left out.
    void acceptBits(const char* key, std::uint64_t& out);
    /// Returns the field, or null if it is left out.
    const Json::Value* take(const char* key);
    /// Makes the object invalid.
    void reject() { m_isValid = false; }
    /// Returns whether all fields were known and valid.
    bool finish() const { return m_isValid && m_taken == m_size; }

private:
    const Json::Value& m_object;
    std::size_t m_size { 0 };
    std::size_t m_taken { 0 };
    bool m_isValid { true };
};

/// Reads an object of names and numbers, such as {"team":12}.
template <typename Item, typename Number>
bool countsFromJson(const Json::Value& json, std::vector<Item>& out, std::string Item::*name, Number Item::*count)
{
    if (!json.isObject())
        return false;
    for (auto field = json.begin(); field != json.end(); ++field) {
        Item item;
        item.*name = field.name();
        if (!fromJson(*field, item.*count))
            return false;
        out.push_back(std::move(item));
    }
    return true;
}

/// Writes what countsFromJson() reads.
template <typename Item, typename Number>
Json::Value countsToJson(const std::vector<Item>& items, std::string Item::*name, Number Item::*count)
{
    Json::Value object(Json::objectValue);
    for (const Item& item : items)
        object[item.*name] = Json::Value(static_cast<Json::UInt64>(item.*count));
    return object;
}

} // namespace catkinwing
