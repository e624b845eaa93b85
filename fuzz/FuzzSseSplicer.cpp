#include "FuzzInput.h"
#include "catkinwing/Dispatch/SseSplicer.h"
#include <absl/strings/match.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_replace.h>
#include <absl/strings/str_split.h>
#include <vector>

using namespace catkinwing;

static constexpr std::size_t maximumEventBytes = 200;

// Returns the data of one event by the standard's rules, written apart from the
// splicer's own reading.
static std::string dataOf(absl::string_view event)
{
    std::vector<std::string> data;
    for (absl::string_view line : absl::StrSplit(event, '\n')) {
        std::pair<absl::string_view, absl::string_view> field = absl::StrSplit(line, absl::MaxSplits(':', 1));
        if (field.first != "data")
            continue;
        if (absl::StartsWith(field.second, " "))
            field.second.remove_prefix(1);
        data.emplace_back(field.second);
    }
    return absl::StrJoin(data, "\n");
}

static bool endsWithTerminalEvent(const std::string& stream)
{
    std::string text = absl::StrReplaceAll(stream, { { "\r\n", "\n" }, { "\r", "\n" } });
    std::vector<absl::string_view> events = absl::StrSplit(text, "\n\n");
    // The part behind the last blank line is no event; a further line feed there
    // is the end of an empty one.
    while (!events.empty() && (events.back().empty() || events.back() == "\n"))
        events.pop_back();
    return absl::EndsWith(text, "\n\n") && !events.empty() && dataOf(events.back()) == "[DONE]";
}

static void runAttempt(SseSplicer& splicer, absl::string_view bytes, std::size_t piece, bool isWhole, std::string& out)
{
    for (std::size_t at = 0; at < bytes.size(); at += piece) {
        bool wasOpen = splicer.state() == SseState::Open;
        std::string handedOn = splicer.feed(bytes.substr(at, piece));
        require(wasOpen || handedOn.empty(), "nothing is handed on after the end");
        out += handedOn;
        require(splicer.state() != SseState::Complete || endsWithTerminalEvent(out), "complete only with the terminal event");
    }
    out += splicer.endAttempt(isWhole);
    require(splicer.state() != SseState::Complete || endsWithTerminalEvent(out), "complete only with the terminal event");
}

// The first byte holds the size of the pieces and how the attempts begin and end;
// a zero byte separates the first attempt's body from the second's.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    absl::string_view bytes = textOf(data, size);
    auto choice = static_cast<std::uint8_t>(takeByte(bytes));
    std::size_t piece = 1 + choice % 16;
    bool isResumed = (choice & 0x10) != 0;
    std::size_t cut = bytes.find('\0');
    SseSplicer splicer({ maximumEventBytes });
    std::string out;
    runAttempt(splicer, bytes.substr(0, cut), piece, (choice & 0x20) != 0, out);
    if (cut != absl::string_view::npos && splicer.state() == SseState::Open) {
        splicer.beginAttempt(isResumed ? splicer.deliveredEvents() : 0);
        runAttempt(splicer, bytes.substr(cut + 1), piece, (choice & 0x40) != 0, out);
    }
    require(splicer.deliveredBytes() == out.size(), "every byte handed on is counted");
    return 0;
}
