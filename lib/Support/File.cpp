#include "catkinwing/Support/File.h"

#include <absl/strings/str_cat.h>
#include <fstream>
#include <sstream>

namespace catkinwing {

absl::StatusOr<std::string> readFile(const std::string& name)
{
    std::ifstream file(name);
    std::ostringstream text;
    if (file)
        text << file.rdbuf();
    if (!file)
        return absl::NotFoundError(absl::StrCat("can't read ", name));
    return text.str();
}

} // namespace catkinwing
