#pragma once

#include <absl/strings/string_view.h>
#include <cstdint>
#include <string>

namespace catkinwing::standin {

/// Bytes of text that count as one token.
constexpr std::size_t bytesPerToken = 4;

/// Returns the number of tokens in \p text.
std::size_t countTokens(absl::string_view text);

/// The answer to a prompt, which depends on the prompt alone, so that every
/// replica gives the same one.
class EngineText {
public:
    EngineText() = default;
    explicit EngineText(absl::string_view prompt);

    /// Returns output token \p index; the first is the prompt's marker, if it has one.
    std::string token(std::size_t index) const;
    /// Returns a hash of the prompt.
    std::uint64_t promptHash() const { return m_promptHash; }

private:
    std::uint64_t m_promptHash { 0 };
    std::string m_marker;
};

} // namespace catkinwing::standin
