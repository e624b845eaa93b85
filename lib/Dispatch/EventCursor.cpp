#include "catkinwing/Dispatch/EventCursor.h"

#include <absl/strings/numbers.h>
#include <absl/strings/strip.h>

namespace catkinwing {

// A longer event than any that an engine makes; what grows beyond it is no event stream.
static constexpr std::size_t maxEventBytes = 1u << 20;
static constexpr const char* eventEnd = "\n\n";
static constexpr std::size_t eventEndLength = 2;

static absl::optional<std::uint64_t> idOf(absl::string_view event)
{
    while (!event.empty()) {
        std::size_t end = event.find('\n');
        absl::string_view line = event.substr(0, end);
        event.remove_prefix(end == absl::string_view::npos ? event.size() : end + 1);
        if (!absl::ConsumePrefix(&line, "id:"))
            continue;
        std::uint64_t id = 0;
        if (absl::SimpleAtoi(line, &id))
            return id;
    }
    return absl::nullopt;
}

std::string EventCursor::feed(absl::string_view bytes)
{
    std::string out;
    // The end of an event may begin with the last byte that was searched.
    std::size_t searched = m_partial.empty() ? 0 : m_partial.size() - 1;
    m_partial.append(bytes.data(), bytes.size());
    std::size_t begin = 0;
    std::size_t end = m_partial.find(eventEnd, searched);
    while (end != std::string::npos && !m_isBroken) {
        end += eventEndLength;
        takeEvent(absl::string_view(m_partial).substr(begin, end - begin), out);
        begin = end;
        end = m_partial.find(eventEnd, begin);
    }
    m_partial.erase(0, begin);
    if (m_partial.size() > maxEventBytes)
        m_isBroken = true;
    return out;
}

void EventCursor::takeEvent(absl::string_view event, std::string& out)
{
    absl::optional<std::uint64_t> id = idOf(event);
    bool follows = !id || !m_lastId || *id == *m_lastId + 1;
    if (!follows) {
        m_isBroken = true;
        return;
    }
    if (id)
        m_lastId = id;
    ++m_events;
    out.append(event.data(), event.size());
}

} // namespace catkinwing
