#include "FuzzInput.h"
#include "catkinwing/PeerProtocol/PeerCodec.h"

using namespace catkinwing;

static void fuzzBatch(absl::string_view bytes)
{
    absl::StatusOr<std::vector<PeerMessage>> messages = decodeBatch(bytes);
    if (!messages.ok())
        return;
    require(!messages->empty(), "a batch has a message");
    std::string again = encodeBatch(*messages);
    absl::StatusOr<std::vector<PeerMessage>> decoded = decodeBatch(again);
    require(decoded.ok(), "what is encoded can be decoded");
    require(encodeBatch(*decoded) == again, "a batch comes back as it was");
}

static void fuzzReplies(absl::string_view bytes, std::size_t expected)
{
    absl::StatusOr<std::vector<PeerReply>> replies = decodeReplies(bytes, expected);
    if (!replies.ok())
        return;
    require(replies->size() == expected, "there is a reply to each message");
    std::string again = encodeReplies(*replies);
    absl::StatusOr<std::vector<PeerReply>> decoded = decodeReplies(again, expected);
    require(decoded.ok(), "what is encoded can be decoded");
    require(encodeReplies(*decoded) == again, "replies come back as they were");
}

// The first byte is 'b' before a batch, else the number of replies expected; a
// batch without messages isn't sent, so that there is at least one.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    absl::string_view bytes = textOf(data, size);
    char first = takeByte(bytes);
    if (first == 'b')
        fuzzBatch(bytes);
    else
        fuzzReplies(bytes, static_cast<std::size_t>(first >= '1' && first <= '9' ? first - '0' : 1));
    return 0;
}
