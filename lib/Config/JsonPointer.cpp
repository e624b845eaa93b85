#include "JsonPointer.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>

namespace catkinwing {

std::string memberPointer(absl::string_view parent, absl::string_view member)
{
    return absl::StrCat(parent, "/", absl::StrReplaceAll(member, { { "~", "~0" }, { "/", "~1" } }));
}

std::string itemPointer(absl::string_view parent, std::size_t index)
{
    return absl::StrCat(parent, "/", index);
}

} // namespace catkinwing
