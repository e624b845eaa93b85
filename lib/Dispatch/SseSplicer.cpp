#include "catkinwing/Dispatch/SseSplicer.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/strip.h>
#include <cassert>
#include <nlohmann/json.hpp>

namespace catkinwing {

static constexpr absl::string_view terminalData = "[DONE]";
static constexpr absl::string_view terminalEvent = "data: [DONE]\n\n";

absl::optional<std::uint64_t> parseResumeFrom(const HttpHeaders& headers)
{
    absl::optional<std::uint64_t> first;
    for (const HttpHeader& field : headers.fields()) {
        if (!absl::EqualsIgnoreCase(field.name, resumeFromHeader))
            continue;
        std::uint64_t value = 0;
        bool isNumber = absl::SimpleAtoi(field.value, &value);
        if (!isNumber || (first && *first != value))
            return absl::nullopt;
        first = value;
    }
    return first.value_or(0);
}

void SseSplicer::beginAttempt(std::uint64_t firstEvent)
{
    resetParser();
    if (m_state != SseState::Open)
        return;
    m_replayedChain = 0;
    m_eventsToReplay = 0;
    if (firstEvent == m_summary.events)
        return;
    // Only from the start can what was handed on be compared.
    if (firstEvent != 0) {
        m_state = SseState::Broken;
        return;
    }
    m_eventsToReplay = m_summary.events;
}

void SseSplicer::resetParser()
{
    m_partial.clear();
    m_lineBytes = 0;
    m_lastWasCarriageReturn = false;
    m_endsAfterCarriageReturn = false;
}

// Returns how many of the bytes belong to the event under way if it ends
// among them. Lines end with LF, CR LF or CR; after a blank line that ended
// with CR, the next byte decides whether an LF belongs to it, so that the
// result doesn't depend on how the bytes were cut into pieces.
std::size_t SseSplicer::findEventEnd(absl::string_view bytes)
{
    for (std::size_t index = 0; index < bytes.size(); ++index) {
        char byte = bytes[index];
        if (m_endsAfterCarriageReturn)
            return byte == '\n' ? index + 1 : index;
        if (byte == '\n') {
            bool isSecondOfPair = m_lastWasCarriageReturn;
            m_lastWasCarriageReturn = false;
            if (isSecondOfPair)
                continue;
            if (m_lineBytes == 0)
                return index + 1;
            m_lineBytes = 0;
            continue;
        }
        if (byte == '\r') {
            m_endsAfterCarriageReturn = m_lineBytes == 0;
            m_lastWasCarriageReturn = true;
            m_lineBytes = 0;
            continue;
        }
        m_lastWasCarriageReturn = false;
        ++m_lineBytes;
    }
    return absl::string_view::npos;
}

std::string SseSplicer::feed(absl::string_view bytes)
{
    std::string out;
    while (!bytes.empty() && m_state == SseState::Open) {
        std::size_t end = findEventEnd(bytes);
        absl::string_view piece = bytes.substr(0, end);
        if (m_partial.size() + piece.size() > m_limits.maxEventBytes) {
            m_state = SseState::Broken;
            break;
        }
        if (end == absl::string_view::npos) {
            m_partial.append(piece.data(), piece.size());
            return out;
        }
        bytes.remove_prefix(end);
        if (m_partial.empty()) {
            takeEvent(piece, out);
        } else {
            m_partial.append(piece.data(), piece.size());
            takeEvent(m_partial, out);
        }
        resetParser();
    }
    if (m_state != SseState::Open)
        resetParser();
    return out;
}

std::string SseSplicer::endAttempt(bool isWhole)
{
    std::string out;
    if (m_state == SseState::Open && m_endsAfterCarriageReturn)
        takeEvent(m_partial, out);
    // Some engines end the body right after the terminal line; it counts only
    // if the body's framing shows that nothing is missing.
    else if (m_state == SseState::Open && isWhole && shapeOf(m_partial).isTerminal)
        takeEvent(terminalEvent, out);
    resetParser();
    return out;
}

void SseSplicer::takeEvent(absl::string_view event, std::string& out)
{
    EventShape shape = shapeOf(event);
    if (m_eventsToReplay > 0)
        compareReplayed(event, shape);
    else
        handOn(event, shape, out);
}

void SseSplicer::handOn(absl::string_view event, EventShape shape, std::string& out)
{
    out.append(event.data(), event.size());
    m_deliveredBytes += event.size();
    if (shape.isTerminal) {
        m_state = SseState::Complete;
        return;
    }
    if (!shape.hasData)
        return;
    ++m_summary.events;
    m_deliveredChain = stableHash(event, m_deliveredChain);
    noteContent(event);
}

// One chained hash stands for all events handed on, so that the comparison
// needs no memory of them.
void SseSplicer::compareReplayed(absl::string_view event, EventShape shape)
{
    if (shape.isTerminal) {
        m_state = SseState::Broken;
        return;
    }
    if (!shape.hasData)
        return;
    m_replayedChain = stableHash(event, m_replayedChain);
    --m_eventsToReplay;
    if (m_eventsToReplay == 0 && m_replayedChain != m_deliveredChain)
        m_state = SseState::Broken;
}

static absl::string_view takeLine(absl::string_view& text)
{
    std::size_t end = text.find_first_of("\r\n");
    absl::string_view line = text.substr(0, end);
    text.remove_prefix(end == absl::string_view::npos ? text.size() : end + 1);
    return line;
}

// Tells whether the line is a data field, and leaves its value.
static bool takeDataField(absl::string_view& line)
{
    if (line == "data") {
        line = {};
        return true;
    }
    if (!absl::ConsumePrefix(&line, "data:"))
        return false;
    absl::ConsumePrefix(&line, " ");
    return true;
}

SseSplicer::EventShape SseSplicer::shapeOf(absl::string_view event)
{
    EventShape shape;
    while (!event.empty()) {
        absl::string_view line = takeLine(event);
        if (!takeDataField(line))
            continue;
        shape.isTerminal = !shape.hasData && line == terminalData;
        shape.hasData = true;
    }
    return shape;
}

static std::string joinData(absl::string_view event)
{
    std::string data;
    while (!event.empty()) {
        absl::string_view line = takeLine(event);
        if (takeDataField(line))
            data.append(line.data(), line.size());
    }
    return data;
}

// Returns what follows the JSON member's colon; empty if it isn't there. In a
// string value the quotes would be escaped, so they can't be mistaken.
static absl::string_view textAfterMember(absl::string_view event, absl::string_view quotedName)
{
    std::size_t at = event.find(quotedName);
    if (at == absl::string_view::npos)
        return {};
    event.remove_prefix(at + quotedName.size());
    event = absl::StripLeadingAsciiWhitespace(event);
    if (!absl::ConsumePrefix(&event, ":"))
        return {};
    return absl::StripLeadingAsciiWhitespace(event);
}

static absl::optional<std::uint64_t> countIn(const nlohmann::json& usage, const char* name)
{
    auto member = usage.find(name);
    if (member == usage.end() || !member->is_number_unsigned())
        return absl::nullopt;
    return member->get<std::uint64_t>();
}

// Looks for two members by their text, so that the usual event isn't parsed.
void SseSplicer::noteContent(absl::string_view event)
{
    absl::string_view reason = textAfterMember(event, "\"finish_reason\"");
    if (absl::ConsumePrefix(&reason, "\"")) {
        constexpr std::size_t longestReason = 64;
        reason = reason.substr(0, std::min(reason.find('"'), longestReason));
        m_summary.finishReason = std::string(reason);
    }
    if (!absl::StartsWith(textAfterMember(event, "\"usage\""), "{"))
        return;
    auto document = nlohmann::json::parse(joinData(event), nullptr, false);
    if (!document.is_object())
        return;
    auto usage = document.find("usage");
    if (usage == document.end() || !usage->is_object())
        return;
    m_summary.promptTokens = countIn(*usage, "prompt_tokens");
    m_summary.completionTokens = countIn(*usage, "completion_tokens");
}

} // namespace catkinwing
