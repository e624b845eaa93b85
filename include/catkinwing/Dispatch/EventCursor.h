#pragma once

#include <absl/strings/string_view.h>
#include <absl/types/optional.h>
#include <cstdint>
#include <string>

namespace catkinwing {

/// Cuts the bytes of an event stream into whole events and follows their ids,
/// so that a stream that breaks can go on elsewhere without a gap or a repeat.
/// Holds at most one event that has not ended.
class EventCursor {
public:
    /// \p lastId is the event after which the client asked to begin.
    explicit EventCursor(absl::optional<std::uint64_t> lastId = absl::nullopt)
        : m_lastId(lastId)
    {
    }

    /// Forgets the part of an event that the attempt before left behind.
    void beginAttempt() { m_partial.clear(); }
    /// Takes bytes and returns the whole events among them, byte for byte.
    std::string feed(absl::string_view bytes);
    /// Tells whether an event has begun and not ended.
    bool hasPartial() const { return !m_partial.empty(); }
    /// Returns the number of bytes that are held of it.
    std::size_t partialBytes() const { return m_partial.size(); }
    /// Tells whether an event had an id that doesn't follow; the stream can't
    /// be handed on any further.
    bool isBroken() const { return m_isBroken; }
    /// Returns the id of the last whole event; nothing before the first.
    absl::optional<std::uint64_t> lastId() const { return m_lastId; }
    std::uint64_t events() const { return m_events; }

private:
    void takeEvent(absl::string_view event, std::string& out);

    absl::optional<std::uint64_t> m_lastId;
    std::uint64_t m_events { 0 };
    std::string m_partial;
    bool m_isBroken { false };
};

} // namespace catkinwing
