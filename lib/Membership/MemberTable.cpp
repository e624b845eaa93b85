#include "MemberTable.h"

#include "catkinwing/Support/Hash.h"
#include <absl/strings/str_cat.h>
#include <algorithm>

namespace catkinwing {

void Member::dropReports()
{
    receivedSequence = 0;
    lastAcknowledgedAt.reset();
    channel.reset();
    failures = 0;
    demand.clear();
    load.clear();
    served.reset();
    configReportedAt.reset();
    contactsSentAt.reset();
}

bool Member::hasRecentAcknowledgement(const MembershipOptions& options, TimePoint now, Duration interval) const
{
    return lastAcknowledgedAt && now - *lastAcknowledgedAt <= interval * static_cast<int>(options.unacknowledgedAfterIntervals);
}

bool Member::isUsable(const MembershipOptions& options, TimePoint now, Duration interval) const
{
    return state == MemberState::Live && !draining && failures < options.unusableAfterFailures && hasRecentAcknowledgement(options, now, interval);
}

Member* MemberTable::find(const std::string& name)
{
    auto found = m_members.find(name);
    return found == m_members.end() ? nullptr : &found->second;
}

Member* MemberTable::find(const EntryRef& ref)
{
    Member* member = find(ref.name);
    return member && member->identity.ref == ref ? member : nullptr;
}

bool MemberTable::isInUse(const SocketAddress& address) const
{
    return std::any_of(m_members.begin(), m_members.end(), [&](const auto& entry) {
        return entry.second.state != MemberState::Dead && entry.second.identity.peerAddress == address;
    });
}

std::size_t MemberTable::liveCount() const
{
    return static_cast<std::size_t>(std::count_if(m_members.begin(), m_members.end(),
        [](const auto& entry) { return entry.second.state != MemberState::Dead; }));
}

static std::uint64_t hashOf(const EntryRef& ref)
{
    return stableHash(ref.name, ref.incarnation.start ^ ref.incarnation.random);
}

std::uint32_t MemberTable::digest(const EntryRef& self) const
{
    // A sum doesn't depend on the order in which the entries are added. The order differs
    // between entries, because an entry isn't in its own table and is added first.
    std::uint64_t sum = hashOf(self);
    for (const auto& [name, member] : m_members) {
        if (member.state != MemberState::Dead)
            sum += hashOf(member.identity.ref);
    }
    return static_cast<std::uint32_t>(sum);
}

std::vector<SocketAddress> MemberTable::addresses() const
{
    std::vector<SocketAddress> addresses;
    for (const auto& [name, member] : m_members) {
        if (member.state != MemberState::Dead)
            addresses.push_back(member.identity.peerAddress);
    }
    return addresses;
}

} // namespace catkinwing
