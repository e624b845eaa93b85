#pragma once

#include "catkinwing/Routing/EndpointView.h"
#include <absl/container/flat_hash_map.h>
#include <absl/functional/function_ref.h>
#include <absl/strings/string_view.h>
#include <absl/types/span.h>

namespace catkinwing {

/// One entry's view of the endpoints of a cell, that is, of one availability
/// zone. Indexed by model, so that a routing decision need not visit every
/// endpoint.
class CellView {
public:
    CellView(std::string region, std::string zone);

    const std::string& region() const { return m_region; }
    const std::string& zone() const { return m_zone; }
    /// Returns the number of endpoints.
    std::size_t size() const { return m_byName.size(); }
    /// Returns the exclusive upper bound of all handles handed out so far.
    std::size_t handleLimit() const { return m_slots.size(); }

    /// Adds \p endpoint or replaces the endpoint of the same name. A handle stays
    /// valid until its endpoint is removed.
    EndpointHandle upsert(EndpointView endpoint);
    /// Removes the endpoint called \p name, if present.
    void remove(absl::string_view name);
    /// Returns the handle of the endpoint called \p name, if present.
    std::optional<EndpointHandle> find(absl::string_view name) const;
    /// Returns whether \p handle refers to an endpoint of the cell.
    bool contains(EndpointHandle handle) const;
    /// Returns the endpoint of a valid handle. The next upsert invalidates the
    /// reference.
    const EndpointView& endpoint(EndpointHandle handle) const { return m_slots[handle].view; }
    /// Applies \p change to an endpoint and updates the indexes. \p change must
    /// not alter the name.
    void modify(EndpointHandle handle, absl::FunctionRef<void(EndpointView&)> change);

    /// Returns all endpoints that serve \p model, in the order in which they were
    /// indexed.
    absl::Span<const EndpointHandle> endpointsFor(absl::string_view model) const;
    /// Returns the endpoints that serve \p model and accept a request now, in
    /// unspecified order.
    absl::Span<const EndpointHandle> openEndpointsFor(absl::string_view model) const;
    /// Returns the endpoints that have \p adapter loaded, for any model.
    absl::Span<const EndpointHandle> endpointsWithAdapter(absl::string_view adapter) const;
    /// Returns whether the endpoint serves \p model and accepts a request now.
    bool isOpenFor(EndpointHandle handle, absl::string_view model) const;
    /// Returns how many more requests for \p model this entry may dispatch now,
    /// summed over the open endpoints.
    unsigned freeCredits(absl::string_view model) const;

    /// Apply the functions of the same names in EndpointView.h to an endpoint.
    /// Cheaper than modify, since these events are frequent.
    void recordDispatch(EndpointHandle handle, double prefillTokens, TimePoint now);
    void recordFirstToken(EndpointHandle handle, double prefillTokens);
    void recordRequestEnded(EndpointHandle handle, TimePoint now);
    void recordReport(EndpointHandle handle, const EndpointLoadReport& report);

private:
    struct ModelIndex {
        std::vector<EndpointHandle> all;
        std::vector<EndpointHandle> open;
    };
    struct Slot {
        EndpointView view;
        bool used { false };
        /// True while the endpoint is in the open lists of its models.
        bool inOpenLists { false };
        /// For each model of the view, the endpoint's index in that model's open
        /// list. Empty unless the endpoint is open.
        std::vector<std::uint32_t> openPositions;
    };

    EndpointHandle allocateSlot();
    void addToIndex(EndpointHandle handle);
    void removeFromIndex(EndpointHandle handle);
    void updateOpenLists(EndpointHandle handle);
    void addToOpenLists(EndpointHandle handle);
    void removeFromOpenLists(EndpointHandle handle);
    void setOpenPosition(EndpointHandle handle, absl::string_view model, std::uint32_t position);

    std::string m_region;
    std::string m_zone;
    std::vector<Slot> m_slots;
    std::vector<EndpointHandle> m_freeSlots;
    absl::flat_hash_map<std::string, EndpointHandle> m_byName;
    absl::flat_hash_map<std::string, ModelIndex> m_byModel;
    absl::flat_hash_map<std::string, std::vector<EndpointHandle>> m_byAdapter;
};

} // namespace catkinwing
