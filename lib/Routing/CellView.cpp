#include "catkinwing/Routing/CellView.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace catkinwing {

CellView::CellView(std::string region, std::string zone)
    : m_region(std::move(region))
    , m_zone(std::move(zone))
{
}

/// Sorts \p names and removes duplicates, which would be indexed twice.
static void sortAndDeduplicate(std::vector<std::string>& names)
{
    std::sort(names.begin(), names.end());
    names.erase(std::unique(names.begin(), names.end()), names.end());
}

static void sortAndDeduplicate(EndpointView& endpoint)
{
    sortAndDeduplicate(endpoint.models);
    sortAndDeduplicate(endpoint.adapters);
}

EndpointHandle CellView::upsert(EndpointView endpoint)
{
    auto known = m_byName.find(endpoint.name);
    if (known != m_byName.end()) {
        EndpointHandle handle = known->second;
        modify(handle, [&endpoint](EndpointView& view) { view = std::move(endpoint); });
        return handle;
    }
    EndpointHandle handle = allocateSlot();
    m_byName.emplace(endpoint.name, handle);
    sortAndDeduplicate(endpoint);
    m_slots[handle].view = std::move(endpoint);
    m_slots[handle].used = true;
    addToIndex(handle);
    return handle;
}

void CellView::remove(absl::string_view name)
{
    auto known = m_byName.find(name);
    if (known == m_byName.end())
        return;
    EndpointHandle handle = known->second;
    removeFromIndex(handle);
    m_slots[handle] = Slot();
    m_freeSlots.push_back(handle);
    m_byName.erase(known);
}

std::optional<EndpointHandle> CellView::find(absl::string_view name) const
{
    auto known = m_byName.find(name);
    if (known == m_byName.end())
        return std::nullopt;
    return known->second;
}

bool CellView::contains(EndpointHandle handle) const
{
    return handle < m_slots.size() && m_slots[handle].used;
}

void CellView::modify(EndpointHandle handle, absl::FunctionRef<void(EndpointView&)> change)
{
    assert(contains(handle) && "handle does not refer to an endpoint of the cell");
    EndpointView changed = m_slots[handle].view;
    change(changed);
    sortAndDeduplicate(changed);
    assert(changed.name == m_slots[handle].view.name && "the name of an endpoint must not change");
    EndpointView& view = m_slots[handle].view;
    if (changed.models == view.models && changed.adapters == view.adapters) {
        view = std::move(changed);
        updateOpenLists(handle);
        return;
    }
    removeFromIndex(handle);
    m_slots[handle].view = std::move(changed);
    addToIndex(handle);
}

absl::Span<const EndpointHandle> CellView::endpointsFor(absl::string_view model) const
{
    auto known = m_byModel.find(model);
    if (known == m_byModel.end())
        return {};
    return known->second.all;
}

absl::Span<const EndpointHandle> CellView::openEndpointsFor(absl::string_view model) const
{
    auto known = m_byModel.find(model);
    if (known == m_byModel.end())
        return {};
    return known->second.open;
}

absl::Span<const EndpointHandle> CellView::endpointsWithAdapter(absl::string_view adapter) const
{
    auto known = m_byAdapter.find(adapter);
    if (known == m_byAdapter.end())
        return {};
    return known->second;
}

bool CellView::isOpenFor(EndpointHandle handle, absl::string_view model) const
{
    if (!contains(handle) || !m_slots[handle].inOpenLists)
        return false;
    const auto& models = m_slots[handle].view.models;
    return std::any_of(models.begin(), models.end(), [model](const std::string& served) { return served == model; });
}

unsigned CellView::freeCredits(absl::string_view model) const
{
    unsigned credits = 0;
    for (EndpointHandle handle : openEndpointsFor(model))
        credits += inFlightLimit(endpoint(handle)) - endpoint(handle).ownInFlight;
    return credits;
}

void CellView::recordDispatch(EndpointHandle handle, double prefillTokens, TimePoint now)
{
    catkinwing::recordDispatch(m_slots[handle].view, prefillTokens, now);
    updateOpenLists(handle);
}

void CellView::recordFirstToken(EndpointHandle handle, double prefillTokens)
{
    catkinwing::recordFirstToken(m_slots[handle].view, prefillTokens);
}

void CellView::recordRequestEnded(EndpointHandle handle, TimePoint now)
{
    catkinwing::recordRequestEnded(m_slots[handle].view, now);
    updateOpenLists(handle);
}

void CellView::recordReport(EndpointHandle handle, const EndpointLoadReport& report)
{
    catkinwing::recordReport(m_slots[handle].view, report);
}

EndpointHandle CellView::allocateSlot()
{
    if (!m_freeSlots.empty()) {
        EndpointHandle handle = m_freeSlots.back();
        m_freeSlots.pop_back();
        return handle;
    }
    m_slots.emplace_back();
    return static_cast<EndpointHandle>(m_slots.size() - 1);
}

void CellView::addToIndex(EndpointHandle handle)
{
    for (const std::string& model : m_slots[handle].view.models)
        m_byModel[model].all.push_back(handle);
    for (const std::string& adapter : m_slots[handle].view.adapters)
        m_byAdapter[adapter].push_back(handle);
    updateOpenLists(handle);
}

static void eraseHandle(std::vector<EndpointHandle>& handles, EndpointHandle handle)
{
    handles.erase(std::remove(handles.begin(), handles.end(), handle), handles.end());
}

void CellView::removeFromIndex(EndpointHandle handle)
{
    if (m_slots[handle].inOpenLists)
        removeFromOpenLists(handle);
    for (const std::string& model : m_slots[handle].view.models) {
        auto index = m_byModel.find(model);
        if (index == m_byModel.end())
            continue;
        eraseHandle(index->second.all, handle);
        if (index->second.all.empty())
            m_byModel.erase(index);
    }
    for (const std::string& adapter : m_slots[handle].view.adapters) {
        auto index = m_byAdapter.find(adapter);
        if (index == m_byAdapter.end())
            continue;
        eraseHandle(index->second, handle);
        if (index->second.empty())
            m_byAdapter.erase(index);
    }
}

void CellView::updateOpenLists(EndpointHandle handle)
{
    bool open = acceptsRequest(m_slots[handle].view);
    if (open == m_slots[handle].inOpenLists)
        return;
    if (open)
        addToOpenLists(handle);
    else
        removeFromOpenLists(handle);
}

void CellView::addToOpenLists(EndpointHandle handle)
{
    Slot& slot = m_slots[handle];
    slot.openPositions.clear();
    for (const std::string& model : slot.view.models) {
        std::vector<EndpointHandle>& open = m_byModel[model].open;
        slot.openPositions.push_back(static_cast<std::uint32_t>(open.size()));
        open.push_back(handle);
    }
    slot.inOpenLists = true;
}

void CellView::removeFromOpenLists(EndpointHandle handle)
{
    Slot& slot = m_slots[handle];
    for (std::size_t i = 0; i < slot.view.models.size(); ++i) {
        const std::string& model = slot.view.models[i];
        std::vector<EndpointHandle>& open = m_byModel[model].open;
        std::uint32_t position = slot.openPositions[i];
        // Moves the last element here, so that the removal takes constant time.
        EndpointHandle last = open.back();
        open[position] = last;
        open.pop_back();
        if (last != handle)
            setOpenPosition(last, model, position);
    }
    slot.openPositions.clear();
    slot.inOpenLists = false;
}

void CellView::setOpenPosition(EndpointHandle handle, absl::string_view model, std::uint32_t position)
{
    Slot& slot = m_slots[handle];
    for (std::size_t i = 0; i < slot.view.models.size(); ++i) {
        if (slot.view.models[i] == model)
            slot.openPositions[i] = position;
    }
}

} // namespace catkinwing
