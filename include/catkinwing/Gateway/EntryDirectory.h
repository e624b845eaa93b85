#pragma once

#include "catkinwing/Config/ConfigSnapshot.h"
#include "catkinwing/Gateway/RemoteCells.h"
#include "catkinwing/Membership/MembershipView.h"
#include "catkinwing/Routing/CallerSteering.h"
#include <optional>
#include <string>
#include <vector>

namespace catkinwing {

/// The entries of all zones, for steering callers and for finding one by name.
class EntryDirectory {
public:
    explicit EntryDirectory(EntryIdentity self);

    /// Takes over what the membership knows; \p ownModels are the models of the
    /// own zone.
    void update(const MembershipView& view, const ConfigSnapshot& snapshot, const std::vector<std::string>& ownModels, TimePoint now);
    /// Returns the entries that callers should use, best first.
    std::vector<EntryIdentity> steer(SteeringRequest request, TimePoint now) const;
    /// Returns where a run of an entry is reached, or nothing if it isn't known.
    std::optional<ForwardTarget> find(const std::string& name, std::uint64_t incarnation) const;
    /// Returns the latest run of an entry, or null if it isn't known.
    const EntryIdentity* findByName(const std::string& name) const;
    /// Returns all entries but this one that are not known to be dead.
    const std::vector<EntryIdentity>& others() const { return m_others; }
    const EntryIdentity& self() const { return m_self; }

private:
    void add(EntryIdentity identity, EntryView view);

    EntryIdentity m_self;
    SlowStartPolicy m_slowStart;
    /// Alike in order; the first is this entry.
    std::vector<EntryIdentity> m_identities;
    std::vector<EntryView> m_views;
    std::vector<EntryIdentity> m_others;
};

/// Returns the JSON body of GET /v1/entries.
std::string entriesBody(const std::vector<EntryIdentity>& entries, const std::string& scheme);

} // namespace catkinwing
