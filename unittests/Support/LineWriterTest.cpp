#include "catkinwing/Support/LineWriter.h"

#include <array>
#include <catch2/catch.hpp>
#include <sstream>
#include <string>
#include <unistd.h>

using namespace catkinwing;

namespace {

/// A pipe whose reader reads only when the test says so.
class Pipe {
public:
    Pipe() { REQUIRE(pipe(m_ends.data()) == 0); }
    ~Pipe()
    {
        closeReader();
        close(m_ends[1]);
    }
    Pipe(const Pipe&) = delete;
    Pipe& operator=(const Pipe&) = delete;

    int writer() const { return m_ends[1]; }
    void closeReader()
    {
        if (m_ends[0] >= 0)
            close(m_ends[0]);
        m_ends[0] = -1;
    }
    /// Reads once, up to \p size bytes.
    std::string read(std::size_t size)
    {
        std::string bytes(size, '\0');
        ssize_t count = ::read(m_ends[0], bytes.data(), size);
        REQUIRE(count > 0);
        bytes.resize(static_cast<std::size_t>(count));
        return bytes;
    }

private:
    std::array<int, 2> m_ends { -1, -1 };
};

std::string numberedLine(int number, std::size_t padding)
{
    return std::to_string(number) + std::string(padding, '.') + "\n";
}

} // namespace

TEST_CASE("a reader that stops reading never holds the writer up", "[LineWriter]")
{
    Pipe pipe;
    LineWriter writer(pipe.writer());
    int accepted = 0;
    while (writer.write(numberedLine(accepted, 100)))
        ++accepted;
    CHECK(accepted > 0);
    CHECK_FALSE(writer.write("one more\n"));
    CHECK(writer.takeDropped() == 2);
    CHECK(writer.takeDropped() == 0);

    std::istringstream lines(pipe.read(1U << 20U));
    int seen = 0;
    for (std::string line; std::getline(lines, line); ++seen)
        CHECK(line + "\n" == numberedLine(seen, 100));
    CHECK(seen == accepted);

    CHECK(writer.write("after the reader is back\n"));
    CHECK(pipe.read(4096) == "after the reader is back\n");
    CHECK(writer.takeDropped() == 0);
}

TEST_CASE("a line longer than the pipe has room for arrives whole", "[LineWriter]")
{
    Pipe pipe;
    LineWriter writer(pipe.writer());
    std::string large = numberedLine(7, 200'000);
    CHECK(writer.write(large));
    // Its rest still waits, so the next line finds no room.
    CHECK_FALSE(writer.write("dropped\n"));

    std::string received;
    while (received.size() < large.size()) {
        received += pipe.read(1U << 20U);
        writer.write("next\n");
    }
    CHECK(received.substr(0, large.size()) == large);
}

TEST_CASE("a reader that is gone costs lines and nothing else", "[LineWriter]")
{
    Pipe pipe;
    LineWriter writer(pipe.writer());
    REQUIRE(writer.write("read by nobody\n"));
    pipe.closeReader();
    CHECK_FALSE(writer.write("into the void\n"));
    CHECK_FALSE(writer.write("into the void\n"));
    CHECK(writer.takeDropped() == 2);
}
