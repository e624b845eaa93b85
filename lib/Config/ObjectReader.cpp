#include "ObjectReader.h"

#include <absl/strings/ascii.h>
#include <absl/time/time.h>

namespace catkinwing {

using nlohmann::json;

/// Longest duration, so that sums of a few never overflow the clock.
static constexpr std::chrono::hours maximumDuration { 8784 };

ObjectReader::ObjectReader(const json& value, std::string pointer, std::vector<ConfigFault>& faults)
    : m_value(&value)
    , m_pointer(std::move(pointer))
    , m_faults(&faults)
{
}

const json* ObjectReader::find(const char* member) const
{
    if (!m_value->is_object())
        return nullptr;
    auto found = m_value->find(member);
    return found == m_value->end() ? nullptr : &*found;
}

void ObjectReader::report(absl::string_view member, std::string message) const
{
    m_faults->push_back({ pointerTo(member), std::move(message) });
}

void ObjectReader::reportItem(const char* list, std::size_t index, const char* member, std::string message) const
{
    m_faults->push_back({ memberPointer(itemPointer(pointerTo(list), index), member), std::move(message) });
}

void ObjectReader::read(const char* member, std::string& target) const
{
    const json* value = find(member);
    if (value && value->is_string())
        target = value->get<std::string>();
}

void ObjectReader::read(const char* member, bool& target) const
{
    const json* value = find(member);
    if (value && value->is_boolean())
        target = value->get<bool>();
}

void ObjectReader::read(const char* member, int& target) const
{
    const json* value = find(member);
    if (value && value->is_number_integer())
        target = value->get<int>();
}

void ObjectReader::read(const char* member, std::int64_t& target) const
{
    const json* value = find(member);
    if (value && value->is_number_integer())
        target = value->get<std::int64_t>();
}

void ObjectReader::read(const char* member, double& target) const
{
    const json* value = find(member);
    if (value && value->is_number())
        target = value->get<double>();
}

void ObjectReader::read(const char* member, KeyDigest& target) const
{
    std::string hex;
    read(member, hex);
    if (auto digest = parseKeyDigest(hex))
        target = *digest;
}

void ObjectReader::read(const char* member, std::vector<std::string>& target) const
{
    const json* list = find(member);
    if (!list || !list->is_array())
        return;
    target.clear();
    for (const json& item : *list)
        target.push_back(item.is_string() ? item.get<std::string>() : std::string());
}

void ObjectReader::read(const char* member, std::map<std::string, std::string>& target) const
{
    const nlohmann::json* value = find(member);
    if (!value || !value->is_object())
        return;
    for (const auto& [name, text] : value->items()) {
        if (text.is_string())
            target.emplace(name, text.get<std::string>());
    }
}

void ObjectReader::read(const char* member, Duration& target, DurationRange range) const
{
    std::string text;
    read(member, text);
    absl::Duration duration;
    bool isSigned = !text.empty() && !absl::ascii_isdigit(static_cast<unsigned char>(text.front()));
    if (isSigned || !absl::ParseDuration(text, &duration))
        return;
    if (duration > absl::FromChrono(maximumDuration))
        return report(member, absl::StrCat("expected a duration of at most ", maximumDuration.count(), "h"));
    target = absl::ToChronoNanoseconds(duration);
    if (range == DurationRange::AboveZero && target <= Duration::zero())
        report(member, "expected a duration above zero");
}

/// Reads an address; \p reportFault takes what is wrong with it.
template <typename ReportFault>
static void readAddress(const json& value, SocketAddress& target, PortRange range, ReportFault reportFault)
{
    if (!value.is_string())
        return;
    auto address = parseSocketAddress(value.get_ref<const std::string&>());
    if (!address.ok())
        return reportFault(std::string(address.status().message()));
    if (range == PortRange::AboveZero && address->port == 0)
        return reportFault("expected a port from 1 to 65535");
    target = *std::move(address);
}

void ObjectReader::read(const char* member, SocketAddress& target, PortRange range) const
{
    if (const json* value = find(member))
        readAddress(*value, target, range, [&](std::string message) { report(member, std::move(message)); });
}

void ObjectReader::read(const char* member, std::vector<SocketAddress>& target) const
{
    const json* list = find(member);
    if (!list || !list->is_array())
        return;
    target.assign(list->size(), SocketAddress {});
    for (std::size_t i = 0; i < target.size(); ++i) {
        auto reportItem = [&](std::string message) { m_faults->push_back({ itemPointer(pointerTo(member), i), std::move(message) }); };
        readAddress((*list)[i], target[i], PortRange::AboveZero, reportItem);
    }
}

void ObjectReader::reportRepeats(const char* list, const std::vector<std::string>& items) const
{
    absl::flat_hash_set<std::string> seen;
    for (std::size_t i = 0; i < items.size(); ++i) {
        if (!items[i].empty() && !seen.insert(items[i]).second)
            m_faults->push_back({ itemPointer(pointerTo(list), i), absl::StrCat("'", items[i], "' stands here a second time") });
    }
}

std::string digestText(const KeySettings& key)
{
    return key.digest == KeyDigest {} ? std::string() : key.digest.toHex();
}

void readKeys(const ObjectReader& reader, const char* member, std::vector<KeySettings>& target)
{
    reader.readList(member, target, [](const ObjectReader& key, KeySettings& settings) {
        key.read("name", settings.name);
        key.read("sha256", settings.digest);
    });
    reader.reportRepeats(member, target, "name", nameOf<KeySettings>);
    reader.reportRepeats(member, target, "sha256", digestText);
}

} // namespace catkinwing
