#include "ZoneTable.h"

#include "catkinwing/Membership/RelayChoice.h"
#include "catkinwing/Support/Hash.h"
#include <absl/strings/str_cat.h>
#include <algorithm>

namespace catkinwing {

// Maximum number of contact addresses kept for a zone in addition to its entries.
static constexpr std::size_t maxContacts = 8;

static std::uint32_t nonZero(std::uint64_t hash)
{
    auto low = static_cast<std::uint32_t>(hash);
    return low == 0 ? 1 : low;
}

static std::vector<std::string> activeNames(const std::vector<ZoneEntry>& entries)
{
    std::vector<std::string> names;
    for (const ZoneEntry& entry : entries) {
        if (!entry.draining)
            names.push_back(entry.ref.name);
    }
    return names;
}

static const ZoneEntry& entryNamed(const std::vector<ZoneEntry>& entries, const std::string& name)
{
    return *std::find_if(entries.begin(), entries.end(), [&](const ZoneEntry& entry) { return entry.ref.name == name; });
}

void Zone::addContact(const SocketAddress& address)
{
    if (std::find(contacts.begin(), contacts.end(), address) != contacts.end())
        return;
    if (contacts.size() == maxContacts)
        contacts.erase(contacts.begin());
    contacts.push_back(address);
}

std::optional<SocketAddress> Zone::target(const std::string& zone, const std::string& ownZone) const
{
    std::vector<std::string> ranked = rankRelays(activeNames(entries), zone, ownZone);
    std::size_t choices = ranked.size() + contacts.size();
    if (choices == 0)
        return std::nullopt;
    std::size_t choice = failures % choices;
    if (choice < ranked.size())
        return entryNamed(entries, ranked[choice]).peerAddress;
    return contacts[choice - ranked.size()];
}

ZoneTable::ZoneTable(std::string ownZone)
    : m_ownZone(std::move(ownZone))
    , m_digest(nonZero(stableHash(m_ownZone)))
{
}

Zone* ZoneTable::find(const std::string& name)
{
    auto found = m_zones.find(name);
    return found == m_zones.end() ? nullptr : &found->second;
}

Zone* ZoneTable::findOrAdd(const std::string& name, const std::string& region, TimePoint now)
{
    if (name == m_ownZone)
        return nullptr;
    auto [entry, isNew] = m_zones.try_emplace(name);
    if (!isNew)
        return &entry->second;
    entry->second.region = region;
    entry->second.waitingSince = now;
    std::uint64_t sum = stableHash(m_ownZone);
    for (const auto& [zone, state] : m_zones)
        sum += stableHash(zone);
    m_digest = nonZero(sum);
    return &entry->second;
}

std::vector<ZoneContact> ZoneTable::contacts() const
{
    std::vector<ZoneContact> contacts;
    for (const auto& [name, zone] : m_zones) {
        if (!zone.entries.empty())
            contacts.push_back({ name, zone.region, zone.entries.front().peerAddress });
        else if (!zone.contacts.empty())
            contacts.push_back({ name, zone.region, zone.contacts.back() });
    }
    return contacts;
}

std::uint32_t rosterDigestOf(const std::vector<ZoneEntry>& entries)
{
    std::string text;
    for (const ZoneEntry& entry : entries) {
        absl::StrAppend(&text, entry.ref.name, ",", entry.ref.incarnation.start, ",", entry.ref.incarnation.random, ",",
            entry.callerAddress.toString(), ",", entry.peerAddress.toString(), entry.draining ? ",d;" : ";");
    }
    return nonZero(stableHash(text));
}

} // namespace catkinwing
