#pragma once

#include <cstddef>

namespace catkinwing {

/// Bytes of answers that an entry buffers for all of its requests together.
class AnswerBuffers {
public:
    /// \p capacity is the number of bytes above which large answers are given up.
    explicit AnswerBuffers(std::size_t capacity)
        : m_capacity(capacity)
    {
    }

    std::size_t used() const { return m_used; }
    /// Returns whether an answer of \p bytes may be held. While the buffers are full, only answers
    /// that are small against the capacity may, and the fuller they are, the smaller: endless ones
    /// are given up first.
    bool mayHold(std::size_t bytes) const;
    /// Returns how many bytes may wait for one slow client before reading from its endpoint pauses;
    /// at most \p usual.
    std::size_t pendingLimit(std::size_t usual) const;

private:
    friend class BufferedBytes;

    std::size_t m_capacity;
    std::size_t m_used { 0 };
};

/// The part of the buffers that one answer uses. Released with the object.
class BufferedBytes {
public:
    explicit BufferedBytes(AnswerBuffers& buffers)
        : m_buffers(buffers)
    {
    }
    ~BufferedBytes() { set(0); }
    BufferedBytes(const BufferedBytes&) = delete;
    BufferedBytes& operator=(const BufferedBytes&) = delete;

    void set(std::size_t bytes);

private:
    AnswerBuffers& m_buffers;
    std::size_t m_bytes { 0 };
};

} // namespace catkinwing
