#include "catkinwing/Config/DocumentDiff.h"

#include "JsonPointer.h"
#include <map>

namespace catkinwing {

using nlohmann::json;
using Pointer = json::json_pointer;

/// A JSON Patch appends to an array at "/-"; says at which index instead.
class AppendIndexes {
public:
    explicit AppendIndexes(const json& oldDocument)
        : m_oldDocument(oldDocument)
    {
    }

    std::string settle(const std::string& pointer)
    {
        Pointer place(pointer);
        if (place.empty() || place.back() != "-" || !m_oldDocument.contains(place.parent_pointer()))
            return pointer;
        Pointer parent = place.parent_pointer();
        const json& list = m_oldDocument.at(parent);
        if (!list.is_array())
            return pointer;
        auto next = m_next.emplace(parent.to_string(), list.size()).first;
        return itemPointer(next->first, next->second++);
    }

private:
    const json& m_oldDocument;
    std::map<std::string, std::size_t> m_next;
};

std::vector<DocumentChange> diffDocuments(const json& oldDocument, const json& newDocument)
{
    std::vector<DocumentChange> changes;
    AppendIndexes indexes(oldDocument);
    for (const json& step : json::diff(oldDocument, newDocument)) {
        DocumentChange change;
        change.pointer = indexes.settle(step.at("path").get<std::string>());
        if (step.at("op") != "add")
            change.oldValue = oldDocument.at(Pointer(change.pointer));
        if (step.at("op") != "remove")
            change.newValue = step.at("value");
        changes.push_back(std::move(change));
    }
    return changes;
}

json toJson(const std::vector<DocumentChange>& changes)
{
    json list = json::array();
    for (const DocumentChange& change : changes) {
        json entry { { "pointer", change.pointer } };
        if (change.oldValue)
            entry["old"] = *change.oldValue;
        if (change.newValue)
            entry["new"] = *change.newValue;
        list.push_back(std::move(entry));
    }
    return list;
}

} // namespace catkinwing
