#include "catkinwing/PeerProtocol/StoreChanges.h"

#include "catkinwing/Support/Cbor.h"
#include <algorithm>
#include <nlohmann/json.hpp>

namespace catkinwing {

using nlohmann::json;
using std::chrono::milliseconds;

// A revision without an era is written as earlier releases do.
static json writeRevision(const StoreRevision& revision)
{
    if (revision.era == 0)
        return revision.number;
    return json::array({ revision.era, revision.number });
}

static bool readRevision(const json& field, StoreRevision& revision)
{
    if (field.is_number_integer()) {
        revision = field.get<std::int64_t>();
        return true;
    }
    bool isPair = field.is_array() && field.size() == 2 && field[0].is_number_integer() && field[1].is_number_integer();
    if (isPair)
        revision = { field[0].get<std::int64_t>(), field[1].get<std::int64_t>() };
    return isPair;
}

// CBOR, since values may be any bytes.
std::string encodeStoreChanges(const StoreChanges& changes)
{
    json list = json::array();
    for (const StoreChange& change : changes.changes) {
        json row = json::array({ change.key, writeRevision(change.revision) });
        if (!change.isDeletion)
            row.push_back(change.value);
        list.push_back(std::move(row));
    }
    milliseconds age = std::min<milliseconds>(changes.age, longestStoreAge);
    json message = json::array({ writeRevision(changes.revision), std::move(list), changes.spansListing, age.count() });
    std::string bytes;
    json::to_cbor(message, bytes);
    return bytes;
}

static bool readChange(const json& row, StoreChange& change)
{
    constexpr std::size_t deletionFields = 2;
    constexpr std::size_t writeFields = 3;
    bool isRow = row.is_array() && (row.size() == deletionFields || row.size() == writeFields) && row[0].is_string();
    if (!isRow || !readRevision(row[1], change.revision) || (row.size() == writeFields && !row[2].is_string()))
        return false;
    change.key = row[0].get<std::string>();
    change.isDeletion = row.size() == deletionFields;
    if (!change.isDeletion)
        change.value = row[2].get<std::string>();
    return true;
}

static bool isMessage(const json& message)
{
    constexpr std::size_t fields = 4;
    return message.is_array() && message.size() == fields && message[1].is_array()
        && message[2].is_boolean() && message[3].is_number_unsigned() && message[3] <= milliseconds(longestStoreAge).count();
}

absl::StatusOr<StoreChanges> decodeStoreChanges(absl::string_view bytes)
{
    json message = parseCbor(bytes);
    StoreChanges changes;
    if (!isMessage(message) || !readRevision(message[0], changes.revision))
        return absl::InvalidArgumentError("changes of the store from an entry can't be read");
    changes.spansListing = message[2].get<bool>();
    changes.age = milliseconds(message[3].get<std::int64_t>());
    for (const json& row : message[1]) {
        StoreChange change;
        if (!readChange(row, change))
            return absl::InvalidArgumentError("a change of the store from an entry can't be read");
        changes.changes.push_back(std::move(change));
    }
    return changes;
}

} // namespace catkinwing
