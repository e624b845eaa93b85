// Tests an entry whose store also holds keys and values of another writer.
#include "EntryFixture.h"
#include <absl/strings/str_cat.h>

using namespace catkinwing;
using namespace catkinwing::platform;
using namespace std::chrono_literals;

static std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

static std::vector<std::string> oddValues()
{
    const std::string fields = R"("service":"plain","zone":"north-a","version":"v1","state":"ready","warmup_ms":0,"seq":1)";
    auto registration = [&](const std::string& more) { return absl::StrCat("{", fields, ",", more, "}"); };
    return {
        "",
        "\x01\x02{",
        "null",
        "[]",
        "7",
        "\"text\"",
        "{",
        std::string(500'000, 'x'),
        nested(100'000),
        absl::StrCat(R"({"a":)", nested(100'000), "}"),
        std::string(200'000, '['),
        registration(R"("addr":"127.0.0.1:99999","slots":8)"),
        registration(R"("addr":"127.0.0.1:-1","slots":8)"),
        registration(R"("addr":"127.0.0.1:0","slots":8)"),
        registration(R"("addr":"127.0.0.1","slots":8)"),
        registration(R"("addr":"host.example:80","slots":8)"),
        registration(R"("addr":80,"slots":8)"),
        registration(R"("addr":"127.0.0.1:80","slots":1e999)"),
        registration(R"("addr":"127.0.0.1:80","slots":99999999999999999999999)" + std::string(R"(,"born":"x")")),
        registration(R"("addr":"127.0.0.1:80","slots":8,"born":1e30)"),
        registration(absl::StrCat(R"("addr":"127.0.0.1:80","slots":)", nested(100'000))),
        registration("\"addr\":\"127.0.0.1:80\",\"slots\":8,\"zone\":\"\xff\""),
    };
}

namespace {

/// An entry beside whose keys another writer leaves its own.
class OddStore : public EntryFixture {
public:
    void write(const std::string& key, const std::string& value)
    {
        platform.compareAndSwap(key, 0, value);
        ++m_odd;
    }

    /// Writes each value under a key of its own below \p prefix.
    void writeAll(const std::string& prefix)
    {
        for (const std::string& value : oddValues())
            write(absl::StrCat(prefix, "odd-", m_odd), value);
    }

    /// Checks that requests are served, that an endpoint that joins gets some, and that one that leaves doesn't.
    void checkFollowed()
    {
        std::string joining = absl::StrCat("joining-", m_odd);
        addEndpoint("plain", joining, 0);
        std::size_t number = endpoints.size() - 1;
        std::string failed;
        auto send = [&] {
            auto answer = sendOnce();
            if (answer->head.status != 200)
                absl::StrAppend(&failed, answer->head.status, " ", answer->body, "\n");
        };
        auto serves = [&] {
            send();
            return executions(number) > 0;
        };
        CHECK(runUntil(platform.loop, serves, 5s));
        removeKey("servers/" + joining);
        runFor(platform.loop, 3s);
        std::int64_t before = executions(number);
        for (int i = 0; i < 40; ++i)
            send();
        CHECK(executions(number) == before);
        INFO(failed);
        CHECK(failed.empty());
    }

    /// Starts an entry, which reads all that is there at once, and sends it the requests from now on.
    void startSecond()
    {
        m_first = std::move(entry);
        settings.name = "second";
        startEntry();
        REQUIRE(runUntil(platform.loop, [&] { return sendOnce()->head.status == 200; }));
    }

    std::shared_ptr<Recorded> sendOnce() { return sendAndWait("/once/order", absl::StrCat("odd-", ++m_sent)); }

private:
    std::unique_ptr<IngressDaemon> m_first;
    int m_odd { 0 };
    int m_sent { 0 };
};

} // namespace

// Guards against one value that stops an entry, or keeps it from reading the others.
TEST_CASE("odd values among the endpoints, the entries and the operators' keys don't keep an entry from following the store")
{
    OddStore store;
    for (const char* prefix : { "servers/", "catkinwing/entries/", "op/evacuate/", "catkinwing/", "other/", "" })
        store.writeAll(prefix);
    store.checkFollowed();
    store.startSecond();
    store.checkFollowed();
}

// A registration under such a key can't be named in a request.
TEST_CASE("an endpoint whose key is no value of a field gets no requests, and the others serve all")
{
    OddStore store;
    for (const std::string& name : { std::string(), std::string("a\nb"), std::string("a\r\nx: y"), std::string(1, '\0'), std::string("a\x7f"), std::string(" a"), std::string("a "), std::string("\t") }) {
        for (std::size_t endpoint : { 0, 1 })
            store.write(absl::StrCat("servers/", name, endpoint == 0 ? "" : name), store.registration("plain", endpoint).dump());
    }
    store.checkFollowed();
    store.startSecond();
    store.checkFollowed();
}

TEST_CASE("an endpoint whose key is unusual gets requests")
{
    OddStore store;
    for (const std::string& name : { std::string("a/b"), std::string("a b"), std::string("\xc3\xa9"), std::string("\xf0\x9f\x90\xb1"), std::string(300, 'k') })
        store.addEndpoint("plain", name, 0);
    store.checkFollowed();
    CHECK(runUntil(
        store.platform.loop, [&] {
            CHECK(store.sendOnce()->head.status == 200);
            for (std::size_t endpoint = 4; endpoint < store.endpoints.size(); ++endpoint) {
                if (store.executions(endpoint) == 0)
                    return false;
            }
            return true;
        },
        10s));
}
