#pragma once

#include "catkinwing/Routing/EndpointView.h"
#include <absl/container/flat_hash_map.h>
#include <absl/functional/function_ref.h>
#include <absl/strings/string_view.h>
#include <absl/types/span.h>

namespace catkinwing {

/// The endpoints of one availability zone as one entry sees them, with an index
/// by model so that a decision doesn't visit every endpoint.
class CellView {
public:
    CellView(std::string region, std::string zone);

    const std::string& region() const { return m_region; }
    const std::string& zone() const { return m_zone; }
    /// Returns the number of endpoints.
    std::size_t size() const { return m_byName.size(); }
    /// Returns one more than the highest handle ever in use at once.
    std::size_t handleLimit() const { return m_slots.size(); }

    /// Adds \p endpoint or replaces the one of its name. The handle stays the
    /// same for as long as the name is in the cell.
    EndpointHandle upsert(EndpointView endpoint);
    /// Removes the endpoint of that name, if there is one.
    void remove(absl::string_view name);
    /// Returns the handle for \p name, or nothing.
    std::optional<EndpointHandle> find(absl::string_view name) const;
    /// Returns whether \p handle names an endpoint.
    bool contains(EndpointHandle handle) const;
    /// Returns the endpoint of a valid handle; the reference lasts until the
    /// next upsert.
    const EndpointView& endpoint(EndpointHandle handle) const { return m_slots[handle].view; }
    /// Lets \p change alter an endpoint, all but its name, and renews the index.
    void modify(EndpointHandle handle, absl::FunctionRef<void(EndpointView&)> change);

    /// Returns all endpoints that serve \p model, in the order of arrival.
    absl::Span<const EndpointHandle> endpointsFor(absl::string_view model) const;
    /// Returns those that serve \p model and take a request now, in any order.
    absl::Span<const EndpointHandle> openEndpointsFor(absl::string_view model) const;
    /// Returns those that have \p adapter loaded, whatever models they serve.
    absl::Span<const EndpointHandle> endpointsWithAdapter(absl::string_view adapter) const;
    /// Returns whether the endpoint serves \p model and takes a request now.
    bool isOpenFor(EndpointHandle handle, absl::string_view model) const;
    /// Returns the requests that this entry could still place for \p model.
    unsigned freeCredits(absl::string_view model) const;

    /// The calls that most events need, as short forms of modify.
    void recordDispatch(EndpointHandle handle, double prefillTokens, TimePoint now);
    void recordFirstToken(EndpointHandle handle, double prefillTokens);
    void recordSettled(EndpointHandle handle, TimePoint now);
    void recordReport(EndpointHandle handle, const EndpointLoadReport& report);

private:
    struct ModelIndex {
        std::vector<EndpointHandle> all;
        std::vector<EndpointHandle> open;
    };
    struct Slot {
        EndpointView view;
        bool used { false };
        /// True while the endpoint stands in the open lists.
        bool listedOpen { false };
        /// For each model of the view, its place in that model's open list.
        std::vector<std::uint32_t> openPositions;
    };

    EndpointHandle takeSlot();
    void addToIndex(EndpointHandle handle);
    void removeFromIndex(EndpointHandle handle);
    void renewOpen(EndpointHandle handle);
    void listOpen(EndpointHandle handle);
    void unlistOpen(EndpointHandle handle);
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
