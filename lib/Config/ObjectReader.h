#pragma once

#include "JsonPointer.h"
#include "catkinwing/Config/ConfigFault.h"
#include "catkinwing/Config/KeySettings.h"
#include "catkinwing/Support/Clock.h"
#include "catkinwing/Support/SocketAddress.h"
#include <absl/container/flat_hash_set.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/string_view.h>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace catkinwing {

/// Which durations a field takes.
enum class DurationRange {
    FromZero,
    AboveZero,
};

/// Which ports an address may have.
enum class PortRange {
    /// Zero lets the system choose one.
    FromZero,
    AboveZero,
};

/// Reads the members of a JSON object into typed values. A member that is
/// absent or of the wrong type leaves its target as it was, since the schema
/// speaks for it; what the schema can't say is reported here.
class ObjectReader {
public:
    ObjectReader(const nlohmann::json& value, std::string pointer, std::vector<ConfigFault>& faults);

    bool has(const char* member) const { return find(member) != nullptr; }
    std::string pointerTo(absl::string_view member) const { return memberPointer(m_pointer, member); }
    /// Reports a fault of \p member, which need not be there.
    void report(absl::string_view member, std::string message) const;
    /// Reports a fault of \p member in an item of the list \p list.
    void reportItem(const char* list, std::size_t index, const char* member, std::string message) const;

    void read(const char* member, std::string& target) const;
    void read(const char* member, bool& target) const;
    void read(const char* member, int& target) const;
    void read(const char* member, std::int64_t& target) const;
    void read(const char* member, double& target) const;
    void read(const char* member, KeyDigest& target) const;
    void read(const char* member, std::vector<std::string>& target) const;
    /// Reads an object whose members are all strings.
    void read(const char* member, std::map<std::string, std::string>& target) const;
    void read(const char* member, Duration& target, DurationRange range) const;
    void read(const char* member, SocketAddress& target, PortRange range) const;
    void read(const char* member, std::vector<SocketAddress>& target) const;

    template <typename Value>
    void read(const char* member, std::optional<Value>& target) const
    {
        if (has(member))
            read(member, target.emplace());
    }

    /// Calls \p readMembers with a reader of the object at \p member, if there is one.
    template <typename ReadMembers>
    void readObject(const char* member, ReadMembers readMembers) const
    {
        if (const nlohmann::json* value = find(member))
            readMembers(ObjectReader(*value, pointerTo(member), *m_faults));
    }

    /// Fills \p target with one item for each of the array at \p member; calls
    /// \p readItem with a reader and the item.
    template <typename Item, typename ReadItem>
    void readList(const char* member, std::vector<Item>& target, ReadItem readItem) const
    {
        const nlohmann::json* list = find(member);
        if (!list || !list->is_array())
            return;
        target.resize(list->size());
        for (std::size_t i = 0; i < target.size(); ++i)
            readItem(ObjectReader((*list)[i], itemPointer(pointerTo(member), i), *m_faults), target[i]);
    }

    /// Reports each string of the list \p list that stands there before.
    void reportRepeats(const char* list, const std::vector<std::string>& items) const;

    /// Reports each item of the list \p list whose member \p member has the same
    /// \p key as an earlier one's. Empty keys were not read and don't count.
    template <typename Item, typename Key>
    void reportRepeats(const char* list, const std::vector<Item>& items, const char* member, Key key) const
    {
        absl::flat_hash_set<std::string> seen;
        for (std::size_t i = 0; i < items.size(); ++i) {
            std::string value = key(items[i]);
            if (!value.empty() && !seen.insert(value).second)
                reportItem(list, i, member, absl::StrCat("'", value, "' stands here a second time"));
        }
    }

private:
    const nlohmann::json* find(const char* member) const;

    const nlohmann::json* m_value;
    std::string m_pointer;
    std::vector<ConfigFault>* m_faults;
};

/// Returns the name of an item; for reportRepeats.
template <typename Item>
const std::string& nameOf(const Item& item)
{
    return item.name;
}

/// Returns the digest of a key, or nothing if it was not read; for reportRepeats.
std::string digestText(const KeySettings& key);

/// Reads a list of keys; names and digests must be unique.
void readKeys(const ObjectReader& reader, const char* member, std::vector<KeySettings>& target);

} // namespace catkinwing
