#include "ResponseHeadGuard.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>
#include <string>

using namespace catkinwing;

TEST_CASE("heads that h2o takes pass the guard, whole or in part")
{
    std::string head = GENERATE(as<std::string>(),
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length:\t 5\r\n\r\n",
        "HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: identity\r\nx-content-length: none\r\n\r\n",
        "HTTP/1.1 200 OK\r\n\r\ncontent-length: this is the body\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\ncontent-length: body\r\n");
    for (std::size_t length = 0; length <= head.size(); ++length)
        CHECK(responseHeadFault(head.substr(0, length)) == nullptr);
}

TEST_CASE("a status line states a status from 100 to 599")
{
    CHECK(parseStatusLine("HTTP/1.1 200 OK") == 200);
    CHECK(parseStatusLine("HTTP/1.0 100 ") == 100);
    CHECK(parseStatusLine("HTTP/1.9 599 \xe9\t") == 599);
    for (const char* line : { "", "HTTP/1.1", "HTTP/1.1 ", "HTTP/1.1 200", "HTTP/1.1 000 X", "HTTP/1.1 099 X", "HTTP/1.1 600 X", "HTTP/1.1 999 X", "HTTP/1.1 20 X", "HTTP/1.1 2000 X",
             "HTTP/1.1 -20 X", "HTTP/1.1 +20 X", "HTTP/1.1 2 0 X", "HTTP/1.1  200 X", "HTTP/1.1\t200 X", "HTTP/1.10 200 X", "HTTP/1. 200 X", "HTTP/2.0 200 X", "http/1.1 200 X", " HTTP/1.1 200 X" }) {
        INFO(line);
        CHECK_FALSE(parseStatusLine(line));
    }
}

// h2o takes any three digits for a status.
TEST_CASE("a head with an invalid status is held back by the guard, also after interim responses")
{
    std::string before = GENERATE(as<std::string>(), "", "HTTP/1.1 100 Continue\r\nx: y\r\n\r\n", "HTTP/1.1 103 Early Hints\n\n");
    for (const char* status : { "000", "099", "600", "999" })
        CHECK(responseHeadFault(absl::StrCat(before, "HTTP/1.1 ", status, " Status\r\n")) != nullptr);
}

TEST_CASE("heads that would stop h2o are held back by the guard")
{
    std::string fields = GENERATE(as<std::string>(), "content-length: x", "Content-Length:", "content-length: -1", "content-length: 5 ",
        "content-length: 1234567890123456789", "content-length:\r\n 5", "transfer-encoding: Chunked", "TRANSFER-ENCODING: gzip, chunked",
        "transfer-encoding: chunked ");
    std::string before = GENERATE(as<std::string>(), "", "HTTP/1.1 100 Continue\r\nx: y\r\n\r\n", "HTTP/1.1 103 Early Hints\n\n");
    INFO(fields);
    CHECK(responseHeadFault(before + "HTTP/1.1 200 OK\r\n" + fields + "\r\n") != nullptr);
}

TEST_CASE("a head without an end is bounded")
{
    std::string head = "HTTP/1.1 200 OK\r\nx: ";
    CHECK(responseHeadFault(head + std::string(200'000, 'x')) == nullptr);
    CHECK(responseHeadFault(head + std::string(300'000, 'x')) != nullptr);
    CHECK(responseHeadFault("HTTP/1.1 200 OK\r\n\r\n" + std::string(300'000, 'x')) == nullptr);
}
