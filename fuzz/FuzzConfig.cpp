#include "FuzzInput.h"
#include "catkinwing/Config/ConfigDocument.h"
#include "catkinwing/Config/DaemonSettings.h"
#include "catkinwing/Config/DocumentDiff.h"
#include "catkinwing/Config/JsonText.h"

using namespace catkinwing;

template <typename Document>
static void checkResult(const ConfigResult<Document>& result)
{
    require(result.ok() == result.faults.empty(), "a document is present exactly if there are no faults");
}

// The two documents are separated by a zero byte, which JSON doesn't have.
static void compareDocuments(absl::string_view text)
{
    std::size_t end = text.find('\0');
    ConfigResult<nlohmann::json> oldDocument = parseJsonText(text.substr(0, end));
    ConfigResult<nlohmann::json> newDocument = parseJsonText(end == absl::string_view::npos ? "{}" : text.substr(end + 1));
    if (!oldDocument.ok() || !newDocument.ok())
        return;
    bool isSame = *oldDocument.document == *newDocument.document;
    std::vector<DocumentChange> changes = diffDocuments(*oldDocument.document, *newDocument.document);
    require(changes.empty() == isSame, "there are changes exactly between documents that differ");
    require(diffDocuments(*newDocument.document, *newDocument.document).empty(), "a document doesn't differ from itself");
}

// The first byte says what the rest is.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    absl::string_view text = textOf(data, size);
    switch (takeByte(text)) {
    case 'g':
        checkResult(parseDocument({ DocumentKind::Global, "" }, text));
        break;
    case 'r':
        checkResult(parseDocument({ DocumentKind::Region, "caldas" }, text));
        break;
    case 'm':
        checkResult(parseDocument({ DocumentKind::Model, "fitting" }, text));
        break;
    case 't':
        checkResult(parseDocument({ DocumentKind::Team, "fitters" }, text));
        break;
    case 'd':
        checkResult(parseDaemonSettings(text));
        break;
    default:
        compareDocuments(text);
        break;
    }
    return 0;
}
