#include "catkinwing/Standin/JsonReader.h"

#include <absl/strings/ascii.h>
#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/time/time.h>

namespace catkinwing::standin {

absl::StatusOr<nlohmann::json> parseJsonObject(absl::string_view text)
{
    absl::string_view trimmed = absl::StripAsciiWhitespace(text);
    if (trimmed.empty())
        return nlohmann::json::object();
    auto document = nlohmann::json::parse(trimmed.begin(), trimmed.end(), nullptr, false);
    if (!document.is_object())
        return absl::InvalidArgumentError("body is not a JSON object");
    return document;
}

absl::StatusOr<Duration> parseDuration(const std::string& text)
{
    absl::Duration duration;
    if (!absl::ParseDuration(text, &duration) || duration < absl::ZeroDuration() || duration == absl::InfiniteDuration())
        return absl::InvalidArgumentError(absl::StrCat("\"", text, "\" is not a length of time such as 250ms"));
    return std::chrono::duration_cast<Duration>(absl::ToChronoNanoseconds(duration));
}

std::string JsonReader::text(const char* name)
{
    const auto* field = find(name);
    if (!field)
        return {};
    if (const auto* value = field->get_ptr<const std::string*>())
        return *value;
    fail(name, "text");
    return {};
}

std::vector<std::string> JsonReader::texts(const char* name)
{
    std::vector<std::string> values;
    const auto* items = array(name);
    if (!items)
        return values;
    for (const auto& item : *items) {
        if (!item.is_string()) {
            fail(name, "a list of texts");
            return {};
        }
        values.push_back(item.get_ref<const std::string&>());
    }
    return values;
}

std::string JsonReader::bytes(const char* name)
{
    std::string encoded = text(name);
    std::string decoded;
    if (absl::Base64Unescape(encoded, &decoded) || absl::WebSafeBase64Unescape(encoded, &decoded))
        return decoded;
    fail(name, "base64");
    return {};
}

std::int64_t JsonReader::integer(const char* name)
{
    const auto* field = find(name);
    if (!field)
        return 0;
    if (field->is_number_integer())
        return field->get<std::int64_t>();
    std::int64_t value = 0;
    const auto* digits = field->get_ptr<const std::string*>();
    if (digits && absl::SimpleAtoi(*digits, &value))
        return value;
    fail(name, "an integer");
    return 0;
}

double JsonReader::number(const char* name, double fallback)
{
    const auto* field = find(name);
    if (!field)
        return fallback;
    if (field->is_number())
        return field->get<double>();
    fail(name, "a number");
    return fallback;
}

bool JsonReader::flag(const char* name)
{
    const auto* field = find(name);
    if (!field)
        return false;
    if (field->is_boolean())
        return field->get<bool>();
    fail(name, "true or false");
    return false;
}

Duration JsonReader::duration(const char* name)
{
    std::string value = text(name);
    if (value.empty())
        return {};
    auto parsed = parseDuration(value);
    if (parsed.ok())
        return *parsed;
    fail(name, "a length of time such as 250ms");
    return {};
}

const nlohmann::json* JsonReader::object(const char* name)
{
    const auto* field = find(name);
    if (!field || field->is_object())
        return field;
    fail(name, "an object");
    return nullptr;
}

const nlohmann::json* JsonReader::array(const char* name)
{
    const auto* field = find(name);
    if (!field || field->is_array())
        return field;
    fail(name, "a list");
    return nullptr;
}

// A null field counts as absent, as proto3 JSON has it.
const nlohmann::json* JsonReader::find(const char* name) const
{
    auto field = m_object.find(name);
    if (field == m_object.end() || field->is_null())
        return nullptr;
    return &*field;
}

void JsonReader::fail(const char* name, const char* expected)
{
    if (m_status.ok())
        m_status = absl::InvalidArgumentError(absl::StrCat("field \"", name, "\" is not ", expected));
}

} // namespace catkinwing::standin
