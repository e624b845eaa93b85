#include "FuzzInput.h"
#include "catkinwing/Dispatch/EventCursor.h"
#include <absl/strings/match.h>

using namespace catkinwing;

static std::string feedInPieces(EventCursor& cursor, absl::string_view bytes, std::size_t piece)
{
    std::string out;
    for (std::size_t at = 0; at < bytes.size(); at += piece)
        out += cursor.feed(bytes.substr(at, piece));
    return out;
}

// The first byte holds the size of the pieces; a zero byte separates the first
// attempt's stream from the second's.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    absl::string_view bytes = textOf(data, size);
    std::size_t piece = 1 + static_cast<std::uint8_t>(takeByte(bytes)) % 32;
    std::size_t cut = bytes.find('\0');
    absl::string_view first = bytes.substr(0, cut);
    EventCursor whole;
    EventCursor pieces;
    std::string out = whole.feed(first);
    require(feedInPieces(pieces, first, piece) == out, "how the bytes are cut changes nothing");
    require(whole.isBroken() == pieces.isBroken() && whole.lastId() == pieces.lastId() && whole.events() == pieces.events(), "the state is the same too");
    require(absl::StartsWith(first, out), "what is handed on begins the stream");
    require(out.empty() || absl::EndsWith(out, "\n\n"), "only whole events are handed on");
    if (whole.isBroken())
        require(whole.feed("data: more\n\n").empty(), "nothing is handed on after a break");
    if (cut == absl::string_view::npos || pieces.isBroken())
        return 0;
    pieces.beginAttempt();
    require(!pieces.hasPartial(), "an attempt begins without the rest of the one before");
    absl::string_view second = bytes.substr(cut + 1);
    require(absl::StartsWith(second, feedInPieces(pieces, second, piece)), "the second attempt hands on its own events");
    return 0;
}
