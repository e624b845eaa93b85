#pragma once

#include <absl/strings/string_view.h>
#include <cstdint>
#include <cstdio>
#include <cstdlib>

/// What libFuzzer calls with each input; each target defines it.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size); // NOLINT(readability-identifier-naming)

namespace catkinwing {

/// Returns the fuzzer's input as text.
inline absl::string_view textOf(const std::uint8_t* data, std::size_t size)
{
    return { reinterpret_cast<const char*>(data), size };
}

/// Takes the first byte off \p text and returns it; zero if there is none.
inline char takeByte(absl::string_view& text)
{
    if (text.empty())
        return 0;
    char first = text.front();
    text.remove_prefix(1);
    return first;
}

/// Fails the input, whatever the build type, unless \p holds is true.
inline void require(bool holds, const char* invariant)
{
    if (holds)
        return;
    std::fprintf(stderr, "broken invariant: %s\n", invariant);
    std::abort();
}

} // namespace catkinwing
