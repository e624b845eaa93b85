#pragma once

#include "catkinwing/Http/HttpMessage.h"
#include "catkinwing/Support/Hash.h"
#include <absl/strings/string_view.h>
#include <absl/types/optional.h>
#include <cstdint>
#include <string>

namespace catkinwing {

/// Header that asks an engine to begin its stream at an event, counted from
/// zero; an engine that did so sends it back with the same number.
constexpr const char* resumeFromHeader = "Catkinwing-Resume-From";

/// Returns the event at which a response begins: zero without the header,
/// nothing if the header is not a number.
absl::optional<std::uint64_t> parseResumeFrom(const HttpHeaders& headers);

/// Bounds of a splicer.
struct SseLimits {
    /// Longest event; a longer one breaks the stream.
    std::size_t maxEventBytes { 1u << 20 };
};

/// State of a spliced stream.
enum class SseState {
    /// The terminal event has not come.
    Open,
    /// The terminal event has been handed on; the answer is whole.
    Complete,
    /// The stream can't be continued; end it as an error.
    Broken,
};

/// What the events said about the answer.
struct SseSummary {
    /// Events with data that were handed on, without the terminal one; for a
    /// model engine, its output tokens or nearly so.
    std::uint64_t events { 0 };
    /// Last finish reason; empty if none came.
    std::string finishReason;
    /// Token counts as the engine reported them, if it did.
    absl::optional<std::uint64_t> promptTokens;
    absl::optional<std::uint64_t> completionTokens;
};

/// Joins the server-sent events of successive attempts into one stream.
/// Hands on whole events only, byte for byte, so that an event cut by a failure
/// is never joined to another attempt's bytes. Holds at most one event.
class SseSplicer {
public:
    explicit SseSplicer(SseLimits limits = {})
        : m_limits(limits)
    {
    }

    /// Begins the stream of a further attempt whose first event has the number
    /// \p firstEvent. An attempt that begins at zero again is compared with
    /// what was handed on; one that begins elsewhere breaks the stream.
    void beginAttempt(std::uint64_t firstEvent);
    /// Takes bytes of the attempt and returns those to hand on.
    std::string feed(absl::string_view bytes);
    /// Ends the attempt; \p isWhole tells whether its body arrived whole.
    /// Returns bytes still to be handed on and drops a partial event.
    std::string endAttempt(bool isWhole);

    SseState state() const { return m_state; }
    /// Returns the number of bytes kept of the event that has begun.
    std::size_t partialBytes() const { return m_partial.size(); }
    /// Number of events handed on; the number to resume from.
    std::uint64_t deliveredEvents() const { return m_summary.events; }
    std::uint64_t deliveredBytes() const { return m_deliveredBytes; }
    const SseSummary& summary() const { return m_summary; }

private:
    struct EventShape {
        bool hasData { false };
        bool isTerminal { false };
    };

    std::size_t findEventEnd(absl::string_view bytes);
    void resetParser();
    void takeEvent(absl::string_view event, std::string& out);
    void handOn(absl::string_view event, EventShape shape, std::string& out);
    void compareReplayed(absl::string_view event, EventShape shape);
    void noteContent(absl::string_view event);
    static EventShape shapeOf(absl::string_view event);

    SseLimits m_limits;
    SseState m_state { SseState::Open };
    SseSummary m_summary;
    std::uint64_t m_deliveredBytes { 0 };
    /// Chained hash of the data events handed on.
    std::uint64_t m_deliveredChain { 0 };
    /// Events of this attempt still to be compared and dropped.
    std::uint64_t m_eventsToReplay { 0 };
    std::uint64_t m_replayedChain { 0 };
    /// Start of an event whose end has not come.
    std::string m_partial;
    std::size_t m_lineBytes { 0 };
    bool m_lastWasCarriageReturn { false };
    /// A blank line ended with a carriage return; a line feed may belong to it.
    bool m_endsAfterCarriageReturn { false };
};

} // namespace catkinwing
