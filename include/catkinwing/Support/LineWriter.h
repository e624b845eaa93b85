#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace catkinwing {

/// Writes lines to a descriptor that others read, without ever waiting for
/// them: a line that finds no room is dropped and counted.
class LineWriter {
public:
    /// \p descriptor stays the caller's and open as long as this object lives.
    explicit LineWriter(int descriptor)
        : m_descriptor(descriptor)
    {
    }

    /// Writes \p line, which ends with a line feed. Returns false if it was
    /// dropped whole; no line is ever written in part.
    bool write(std::string_view line);

    /// Lines dropped since the last call.
    std::uint64_t takeDropped();

private:
    bool flush();

    int m_descriptor;
    std::string m_rest; // What the reader left no room for of a line begun.
    std::uint64_t m_dropped { 0 };
};

} // namespace catkinwing
