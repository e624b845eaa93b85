#include "catkinwing/Http/HttpMessage.h"

#include <absl/strings/match.h>
#include <algorithm>

namespace catkinwing {

HttpHeaders::HttpHeaders(std::initializer_list<HttpHeader> fields)
    : m_fields(fields)
{
}

void HttpHeaders::add(std::string name, std::string value)
{
    m_fields.push_back({ std::move(name), std::move(value) });
}

void HttpHeaders::set(std::string name, std::string value)
{
    remove(name);
    add(std::move(name), std::move(value));
}

void HttpHeaders::remove(absl::string_view name)
{
    auto isNamed = [name](const HttpHeader& field) { return absl::EqualsIgnoreCase(field.name, name); };
    m_fields.erase(std::remove_if(m_fields.begin(), m_fields.end(), isNamed), m_fields.end());
}

const std::string* HttpHeaders::find(absl::string_view name) const
{
    for (const auto& field : m_fields) {
        if (absl::EqualsIgnoreCase(field.name, name))
            return &field.value;
    }
    return nullptr;
}

bool endsWithConnection(const HttpResponseHead& head)
{
    return !head.headers.find("transfer-encoding") && !head.headers.find("content-length");
}

} // namespace catkinwing
