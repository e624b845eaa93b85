#include "catkinwing/Config/DocumentPath.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <algorithm>

namespace catkinwing {

static constexpr const char* globalName = "global";
static constexpr std::size_t maximumNameLength = 63;

const char* documentFolder(DocumentKind kind)
{
    switch (kind) {
    case DocumentKind::Global:
        break;
    case DocumentKind::Region:
        return "regions";
    case DocumentKind::Model:
        return "models";
    case DocumentKind::Team:
        return "teams";
    }
    return "";
}

std::string DocumentPath::toString() const
{
    if (kind == DocumentKind::Global)
        return globalName;
    return absl::StrCat(documentFolder(kind), "/", name);
}

static bool isNameCharacter(char character)
{
    auto byte = static_cast<unsigned char>(character);
    return absl::ascii_islower(byte) || absl::ascii_isdigit(byte) || character == '-';
}

bool isDocumentName(absl::string_view name)
{
    return !name.empty() && name.size() <= maximumNameLength && std::all_of(name.begin(), name.end(), isNameCharacter);
}

absl::StatusOr<DocumentPath> parseDocumentPath(absl::string_view text)
{
    if (text == globalName)
        return DocumentPath {};
    std::size_t slash = text.find('/');
    if (slash == absl::string_view::npos)
        return absl::InvalidArgumentError("expected global, regions/NAME, models/NAME or teams/NAME");
    absl::string_view name = text.substr(slash + 1);
    if (!isDocumentName(name))
        return absl::InvalidArgumentError("expected a name of 1 to 63 lower-case letters, digits and hyphens");
    for (DocumentKind kind : { DocumentKind::Region, DocumentKind::Model, DocumentKind::Team }) {
        if (text.substr(0, slash) == documentFolder(kind))
            return DocumentPath { kind, std::string(name) };
    }
    return absl::InvalidArgumentError("expected global, regions/NAME, models/NAME or teams/NAME");
}

} // namespace catkinwing
