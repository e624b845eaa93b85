#include "catkinwing/Dispatch/SseSplicer.h"

#include "catkinwing/Support/Random.h"
#include <absl/strings/str_replace.h>
#include <catch2/catch.hpp>

using namespace catkinwing;

static const char* const first = "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n";
static const char* const second = "event: x\ndata: {\"choices\":[{\"finish_reason\":\"stop\"}]}\n\n";
static const char* const comment = ": keep-alive\n\n";
static const char* const usage = "data: {\"usage\":{\"prompt_tokens\":5,\"completion_tokens\":2}}\n\n";
static const char* const terminal = "data: [DONE]\n\n";

static std::string feedByPieces(SseSplicer& splicer, const std::string& bytes, std::size_t piece)
{
    std::string out;
    for (std::size_t at = 0; at < bytes.size(); at += piece)
        out += splicer.feed(absl::string_view(bytes).substr(at, piece));
    return out;
}

TEST_CASE("a stream passes unchanged however it is cut")
{
    std::string bytes = std::string(first) + comment + second + usage + terminal;
    for (std::size_t piece = 1; piece <= bytes.size(); ++piece) {
        SseSplicer splicer;
        CHECK(feedByPieces(splicer, bytes, piece) == bytes);
        CHECK(splicer.state() == SseState::Complete);
        CHECK(splicer.deliveredEvents() == 3);
        CHECK(splicer.summary().finishReason == "stop");
        CHECK(splicer.summary().promptTokens == 5u);
        CHECK(splicer.summary().completionTokens == 2u);
    }
}

TEST_CASE("all three line ends are understood")
{
    for (const char* end : { "\n", "\r\n", "\r" }) {
        SseSplicer splicer;
        std::string bytes = absl::StrReplaceAll("data: 1\n\ndata: 2\ndata: 3\n\ndata: [DONE]\n\n", { { "\n", end } });
        std::string out = feedByPieces(splicer, bytes, 1);
        out += splicer.endAttempt(true);
        CHECK(out == bytes);
        CHECK(splicer.deliveredEvents() == 2);
        CHECK(splicer.state() == SseState::Complete);
    }
}

TEST_CASE("a stream without its terminal event is never complete")
{
    SseSplicer splicer;
    splicer.feed(std::string(first) + "data: [DONE]\n");
    CHECK(splicer.endAttempt(false).empty());
    CHECK(splicer.state() == SseState::Open);
    SseSplicer unterminated;
    unterminated.feed(std::string(first) + "data: [DONE]");
    CHECK(unterminated.endAttempt(true) == terminal);
    CHECK(unterminated.state() == SseState::Complete);
    SseSplicer quoted;
    quoted.feed("data: {\"content\":\"[DONE]\"}\n\ndata: x\ndata: [DONE]\n\n");
    CHECK(quoted.state() == SseState::Open);
}

TEST_CASE("a cut at any byte is resumed without a join, a loss or a repeat")
{
    std::string events[] = { first, comment, second, usage, terminal };
    std::string whole;
    for (const std::string& event : events)
        whole += event;
    for (bool isReplayed : { false, true }) {
        for (std::size_t cut = 0; cut < whole.size(); ++cut) {
            SseSplicer splicer;
            std::string out = splicer.feed(absl::string_view(whole).substr(0, cut));
            out += splicer.endAttempt(false);
            std::uint64_t resumeFrom = splicer.deliveredEvents();
            std::string next;
            std::uint64_t number = 0;
            for (const std::string& event : events) {
                bool isComment = event == comment;
                if (isReplayed || (number >= resumeFrom && !isComment))
                    next += event;
                number += isComment ? 0 : 1;
            }
            splicer.beginAttempt(isReplayed ? 0 : resumeFrom);
            out += splicer.feed(next);
            CHECK(splicer.state() == SseState::Complete);
            for (const char* event : { first, second, usage, terminal }) {
                std::size_t at = out.find(event);
                CHECK(at != std::string::npos);
                CHECK(out.find(event, at + 1) == std::string::npos);
            }
        }
    }
}

TEST_CASE("an attempt that can't be joined breaks the stream")
{
    SseSplicer different;
    different.feed(first);
    different.beginAttempt(0);
    CHECK(different.feed(std::string(second) + terminal).empty());
    CHECK(different.state() == SseState::Broken);
    SseSplicer shorter;
    shorter.feed(std::string(first) + second);
    shorter.beginAttempt(0);
    CHECK(shorter.feed(std::string(first) + terminal).empty());
    CHECK(shorter.state() == SseState::Broken);
    for (std::uint64_t begin : { 1, 3 }) {
        SseSplicer splicer;
        splicer.feed(std::string(first) + second);
        splicer.beginAttempt(begin);
        CHECK(splicer.state() == SseState::Broken);
        CHECK(splicer.feed(terminal).empty());
    }
}

TEST_CASE("an event longer than the bound breaks the stream")
{
    SseSplicer splicer({ 100 });
    CHECK(splicer.feed(std::string(first) + "data: " + std::string(60, 'x')) == first);
    CHECK(splicer.feed(std::string(60, 'x')).empty());
    CHECK(splicer.state() == SseState::Broken);
}

TEST_CASE("on any bytes the result doesn't depend on the cuts")
{
    Random random(3);
    const std::string alphabet = "data: [DONE]\r\n\n\r:x{\"usage\"";
    for (int round = 0; round < 5'000; ++round) {
        std::string bytes;
        for (std::uint64_t size = random.below(60); size > 0; --size)
            bytes += random.below(4) == 0 ? std::string("data: [DONE]\n") : std::string(1, alphabet[random.below(alphabet.size())]);
        SseSplicer whole;
        std::string expected = whole.feed(bytes) + whole.endAttempt(true);
        SseSplicer cut;
        std::string out = feedByPieces(cut, bytes, 1 + random.below(5)) + cut.endAttempt(true);
        REQUIRE(out == expected);
        REQUIRE(cut.state() == whole.state());
        REQUIRE(cut.deliveredEvents() == whole.deliveredEvents());
    }
}

TEST_CASE("the resume header is read strictly")
{
    CHECK(parseResumeFrom({}) == 0u);
    CHECK(parseResumeFrom({ { resumeFromHeader, "12" } }) == 12u);
    CHECK_FALSE(parseResumeFrom({ { resumeFromHeader, "x" } }));
    CHECK_FALSE(parseResumeFrom({ { resumeFromHeader, "1" }, { resumeFromHeader, "2" } }));
}
