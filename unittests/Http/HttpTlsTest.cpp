#include "HttpFixture.h"
#include "RawSocket.h"
#include "TestCertificates.h"
#include <openssl/ssl.h>

using namespace catkinwing;
using namespace std::chrono_literals;

namespace {

std::shared_ptr<TlsContext> serverContext(const TlsFiles& files)
{
    auto context = TlsContext::forServer(files);
    REQUIRE(context.ok());
    return *context;
}

std::shared_ptr<TlsContext> clientContext(const TlsFiles& files)
{
    auto context = TlsContext::forClient(files);
    REQUIRE(context.ok());
    return *context;
}

/// A loop with an authority, and one that nobody trusts.
struct TlsWorld {
    TlsWorld()
        : loop(clock)
        , authority(folder.path(), "authority")
        , stranger(folder.path(), "stranger")
    {
    }

    void listen(const TlsFiles& files, HttpServerOptions options = {})
    {
        options.tls = serverContext(files);
        server = startServer(
            loop, [this](const HttpRequest& request, std::shared_ptr<HttpResponder> responder) {
                seen.push_back(request);
                if (isAnswering)
                    responder->send(headOf(200), "secret");
                else
                    responders.push_back(std::move(responder));
            },
            std::move(options));
    }

    void connectBy(const TlsFiles& files)
    {
        HttpClientOptions options;
        options.tls = clientContext(files);
        client = makeHttpClient(loop, std::move(options));
    }

    std::shared_ptr<Recorded> send(const std::string& target = "/")
    {
        return sendRecorded(*client, requestFor(server->address(), target));
    }

    std::shared_ptr<Recorded> sendToEnd()
    {
        auto recorded = send();
        REQUIRE(runUntil(loop, [&] { return recorded->hasEnded(); }));
        CHECK(recorded->ends == 1);
        return recorded;
    }

    SystemClock clock;
    EventLoop loop;
    TemporaryFolder folder;
    TestAuthority authority;
    TestAuthority stranger;
    std::vector<HttpRequest> seen;
    std::vector<std::shared_ptr<HttpResponder>> responders;
    bool isAnswering { true };
    std::unique_ptr<HttpServer> server;
    std::unique_ptr<HttpClient> client;
};

/// The files of a client that trusts \p authority and has no certificate.
TlsFiles trustOnly(const TestAuthority& authority)
{
    TlsFiles files;
    files.authorityFile = authority.file();
    return files;
}

} // namespace

TEST_CASE("the right client certificate is let in and named")
{
    TlsWorld world;
    world.listen(world.authority.issueServer());
    TlsFiles caller = world.authority.issueCaller("Fitting Desk");
    world.connectBy(caller);
    int version = GENERATE(TLS1_2_VERSION, TLS1_3_VERSION);
    HttpClientOptions options;
    options.tls = clientContext(caller);
    SSL_CTX_set_min_proto_version(options.tls->native(), version);
    SSL_CTX_set_max_proto_version(options.tls->native(), version);
    world.client = makeHttpClient(world.loop, options);
    for (int i = 0; i < 2; ++i) {
        auto recorded = world.sendToEnd();
        CHECK(recorded->result.end == HttpEnd::Complete);
        CHECK(recorded->body == "secret");
    }
    REQUIRE(world.seen.size() == 2);
    CHECK(world.seen[0].certificateName == "Fitting Desk");
    CHECK(world.seen[1].certificateName == "Fitting Desk");
    CHECK(world.seen[0].caller.port == world.seen[1].caller.port);
}

TEST_CASE("each connection is named by its own certificate")
{
    TlsWorld world;
    world.listen(world.authority.issueServer());
    for (const char* name : { "one", "two", "one" }) {
        world.connectBy(world.authority.issueCaller(name));
        CHECK(world.sendToEnd()->result.end == HttpEnd::Complete);
        REQUIRE_FALSE(world.seen.empty());
        CHECK(world.seen.back().certificateName == name);
    }
}

TEST_CASE("a caller without a valid certificate is kept out")
{
    TlsWorld world;
    world.listen(world.authority.issueServer());
    TlsFiles files = trustOnly(world.authority);
    SECTION("none") { }
    SECTION("wrong authority") { files = world.stranger.issueCaller("caller"); }
    SECTION("expired") { files = world.authority.issue({ "caller", {}, -2h, -1h }); }
    SECTION("not valid yet") { files = world.authority.issue({ "caller", {}, 1h, 2h }); }
    files.authorityFile = world.authority.file();
    world.connectBy(files);
    auto recorded = world.sendToEnd();
    CHECK(recorded->result.end != HttpEnd::Complete);
    CHECK(recorded->heads == 0);
    CHECK(world.seen.empty());
    REQUIRE(runUntil(world.loop, [&] { return world.server->openConnections() == 0; }));
}

TEST_CASE("a server without a valid certificate gets no request")
{
    TlsWorld world;
    TlsFiles server;
    SECTION("wrong authority") { server = world.stranger.issueServer(); }
    SECTION("expired") { server = world.authority.issue({ "server", "IP:127.0.0.1", -2h, -1h }); }
    SECTION("other address") { server = world.authority.issue({ "server", "IP:127.0.0.2" }); }
    SECTION("no address") { server = world.authority.issue({ "127.0.0.1", {} }); }
    SECTION("address as a host name") { server = world.authority.issue({ "127.0.0.1", "DNS:127.0.0.1" }); }
    server.authorityFile.clear();
    world.listen(server);
    world.connectBy(trustOnly(world.authority));
    auto recorded = world.sendToEnd();
    CHECK(recorded->result.end == HttpEnd::ConnectFailed);
    CHECK_FALSE(recorded->result.mayHaveReachedServer);
    CHECK_FALSE(recorded->result.detail.empty());
    CHECK(world.seen.empty());
}

TEST_CASE("the address is not checked where that is switched off, but the chain is")
{
    TlsWorld world;
    TlsFiles server = world.authority.issue({ "server", {} });
    server.authorityFile.clear();
    bool isStranger = GENERATE(false, true);
    if (isStranger)
        server = world.stranger.issue({ "server", {} });
    server.authorityFile.clear();
    world.listen(server);
    TlsFiles client = trustOnly(world.authority);
    client.checkServerAddress = false;
    world.connectBy(client);
    CHECK(world.sendToEnd()->result.end == (isStranger ? HttpEnd::ConnectFailed : HttpEnd::Complete));
}

TEST_CASE("a server without an authority takes callers without a name, and keeps their connections")
{
    TlsWorld world;
    TlsFiles server = world.authority.issueServer();
    server.authorityFile.clear();
    world.listen(server);
    world.connectBy(trustOnly(world.authority));
    for (int i = 0; i < 3; ++i)
        CHECK(world.sendToEnd()->result.end == HttpEnd::Complete);
    CHECK(world.seen[0].certificateName.empty());
    CHECK(world.seen[0].caller.port == world.seen[2].caller.port);
}

TEST_CASE("replaced keys are used for new connections while open ones go on")
{
    TlsWorld world;
    world.isAnswering = false;
    TlsFiles before = world.authority.issueServer();
    before.authorityFile.clear();
    world.listen(before);
    world.connectBy(trustOnly(world.authority));
    auto open = world.send();
    REQUIRE(runUntil(world.loop, [&] { return world.responders.size() == 1; }));
    TlsFiles after = world.stranger.issueServer();
    after.authorityFile.clear();
    world.server->replaceTls(serverContext(after));
    world.responders[0]->sendHead(headOf(200));
    world.responders[0]->write("still");
    REQUIRE(runUntil(world.loop, [&] { return open->body == "still"; }));
    auto refused = world.sendToEnd();
    CHECK(refused->result.end == HttpEnd::ConnectFailed);
    world.client->replaceTls(clientContext(trustOnly(world.stranger)));
    auto accepted = world.send();
    REQUIRE(runUntil(world.loop, [&] { return world.responders.size() == 2; }));
    world.responders[1]->send(headOf(200), "new");
    world.responders[0]->finish();
    REQUIRE(runUntil(world.loop, [&] { return accepted->hasEnded() && open->hasEnded(); }));
    CHECK(accepted->result.end == HttpEnd::Complete);
    CHECK(open->result.end == HttpEnd::Complete);
}

TEST_CASE("a context tells the name of its own certificate")
{
    TlsWorld world;
    TlsFiles files = world.authority.issueServer("entry-1");
    CHECK(serverContext(files)->commonName() == "entry-1");
    CHECK(clientContext(files)->commonName() == "entry-1");
    CHECK(clientContext(trustOnly(world.authority))->commonName().empty());
}

TEST_CASE("files that can't be used are refused as values")
{
    TlsWorld world;
    TlsFiles files = world.authority.issueServer();
    SECTION("no certificate") { files.certificateFile += ".missing"; }
    SECTION("no key") { files.keyFile += ".missing"; }
    SECTION("no authority") { files.authorityFile += ".missing"; }
    SECTION("key of another certificate") { files.keyFile = world.authority.issueServer().keyFile; }
    CHECK_FALSE(TlsContext::forServer(files).ok());
    CHECK_FALSE(TlsContext::forClient(files).ok());
}

TEST_CASE("a client without an authority is refused, as it could verify nothing")
{
    TlsFiles files;
    CHECK_FALSE(TlsContext::forClient(files).ok());
}

TEST_CASE("a TLS answer that is aborted is truncated")
{
    TlsWorld world;
    world.isAnswering = false;
    world.listen(world.authority.issueServer());
    world.connectBy(world.authority.issueCaller());
    auto recorded = world.send();
    REQUIRE(runUntil(world.loop, [&] { return world.responders.size() == 1; }));
    world.responders[0]->sendHead(headOf(200));
    world.responders[0]->write("part");
    REQUIRE(runUntil(world.loop, [&] { return recorded->body == "part"; }));
    world.responders[0]->abort();
    REQUIRE(runUntil(world.loop, [&] { return recorded->hasEnded(); }));
    CHECK(recorded->result.end == HttpEnd::Truncated);
}

TEST_CASE("a TLS caller that leaves while the handler thinks is noticed")
{
    TlsWorld world;
    world.isAnswering = false;
    world.listen(world.authority.issueServer());
    world.connectBy(world.authority.issueCaller());
    auto recorded = world.send();
    REQUIRE(runUntil(world.loop, [&] { return world.responders.size() == 1; }));
    bool isClosed = false;
    world.responders[0]->onClosed([&] { isClosed = true; });
    recorded->exchange->cancel();
    REQUIRE(runUntil(world.loop, [&] { return isClosed; }));
    REQUIRE(runUntil(world.loop, [&] { return world.server->openConnections() == 0; }));
}

TEST_CASE("a large TLS body is slowed by a pause and arrives whole")
{
    TlsWorld world;
    world.isAnswering = false;
    world.listen(world.authority.issueServer());
    world.connectBy(world.authority.issueCaller());
    auto recorded = world.send();
    REQUIRE(runUntil(world.loop, [&] { return world.responders.size() == 1; }));
    const std::size_t size = 24 << 20;
    recorded->exchange->pause();
    world.responders[0]->sendHead(headOf(200));
    world.responders[0]->write(std::string(size, 'x'));
    runFor(world.loop, 100ms);
    CHECK(recorded->body.empty());
    CHECK(world.responders[0]->pendingBytes() == size);
    recorded->exchange->resume();
    REQUIRE(runUntil(world.loop, [&] { return recorded->body.size() == size; }));
    world.responders[0]->finish();
    REQUIRE(runUntil(world.loop, [&] { return recorded->hasEnded(); }));
    CHECK(recorded->result.end == HttpEnd::Complete);
}

TEST_CASE("a large TLS request arrives whole")
{
    TlsWorld world;
    world.listen(world.authority.issueServer());
    world.connectBy(world.authority.issueCaller());
    HttpClientRequest request = requestFor(world.server->address());
    request.method = "POST";
    request.body = std::string(6 << 20, 'b');
    auto recorded = sendRecorded(*world.client, request);
    REQUIRE(runUntil(world.loop, [&] { return recorded->hasEnded(); }));
    CHECK(recorded->result.end == HttpEnd::Complete);
    REQUIRE(world.seen.size() == 1);
    CHECK(world.seen[0].body == request.body);
}

TEST_CASE("a server that doesn't answer the handshake certainly got no request")
{
    TlsWorld world;
    world.connectBy(trustOnly(world.authority));
    RawServer silent;
    HttpClientRequest request = requestFor(silent.address());
    request.connectTimeout = 150ms;
    auto recorded = sendRecorded(*world.client, request);
    auto connection = silent.waitForConnection(world.loop);
    REQUIRE(connection);
    bool isGarbage = GENERATE(false, true);
    if (isGarbage)
        connection->send("HTTP/1.1 400 Bad Request\r\n\r\n");
    REQUIRE(runUntil(world.loop, [&] { return recorded->hasEnded(); }));
    CHECK(recorded->result.end == (isGarbage ? HttpEnd::ConnectFailed : HttpEnd::TimedOut));
    CHECK_FALSE(recorded->result.mayHaveReachedServer);
    CHECK(connection->receiveToEnd(world.loop));
}

TEST_CASE("a cancelled handshake closes its connection")
{
    TlsWorld world;
    world.connectBy(trustOnly(world.authority));
    RawServer silent;
    auto recorded = sendRecorded(*world.client, requestFor(silent.address()));
    auto connection = silent.waitForConnection(world.loop);
    REQUIRE(connection);
    REQUIRE(runUntil(world.loop, [&] {
        connection->receive();
        return !connection->received().empty();
    }));
    recorded->exchange->cancel();
    CHECK_FALSE(recorded->exchange->mayHaveReachedServer());
    CHECK(connection->receiveToEnd(world.loop));
    CHECK(recorded->ends == 0);
}

TEST_CASE("callers that don't speak TLS are cut off")
{
    TlsWorld world;
    HttpServerOptions options;
    options.requestTimeout = 200ms;
    world.listen(world.authority.issueServer(), options);
    auto caller = RawConnection::connect(world.server->address());
    bool isSilent = GENERATE(false, true);
    if (!isSilent)
        caller->send("GET / HTTP/1.1\r\nhost: a\r\n\r\n");
    REQUIRE(caller->receiveToEnd(world.loop));
    REQUIRE(runUntil(world.loop, [&] { return world.server->openConnections() == 0; }));
    CHECK(world.seen.empty());
}

TEST_CASE("a TLS server and client can go with connections open")
{
    TlsWorld world;
    world.isAnswering = false;
    world.listen(world.authority.issueServer());
    world.connectBy(world.authority.issueCaller());
    auto first = world.send();
    auto second = world.send();
    REQUIRE(runUntil(world.loop, [&] { return world.responders.size() == 2; }));
    world.responders[0]->sendHead(headOf(200));
    world.responders[0]->write(std::string(16 << 20, 'x'));
    bool serverGoesFirst = GENERATE(false, true);
    if (serverGoesFirst)
        world.server.reset();
    world.client.reset();
    runFor(world.loop, 20ms);
    CHECK(second->ends == (serverGoesFirst ? second->ends : 0));
}

using TlsSession = std::unique_ptr<SSL, decltype(&SSL_free)>;

/// Opens a TLS session with the server of \p world on a connection of a test's own.
static TlsSession openSession(TlsWorld& world, const RawConnection& connection, const TlsContext& context)
{
    TlsSession tls(SSL_new(context.native()), SSL_free);
    SSL_set_fd(tls.get(), connection.descriptor());
    // The context compares the certificate with the address that the session names.
    REQUIRE(SSL_set_tlsext_host_name(tls.get(), world.server->address().host.c_str()) == 1);
    REQUIRE(runUntil(world.loop, [&] { return SSL_connect(tls.get()) == 1; }));
    return tls;
}

// Guards against a request that comes in with the end of the handshake and passes the check of
// framing by.
TEST_CASE("a request whose end is in doubt is refused over TLS, and a sound one is served")
{
    TlsWorld world;
    std::vector<std::string> reasons;
    HttpServerOptions serverOptions;
    serverOptions.onRefused = [&](const SocketAddress&, const std::string& reason) { reasons.push_back(reason); };
    world.listen(world.authority.issueServer(), serverOptions);
    std::shared_ptr<TlsContext> context = clientContext(world.authority.issueCaller("Fitting Desk"));
    int version = GENERATE(TLS1_2_VERSION, TLS1_3_VERSION);
    bool isDoubtful = GENERATE(true, false);
    SSL_CTX_set_min_proto_version(context->native(), version);
    SSL_CTX_set_max_proto_version(context->native(), version);
    auto caller = RawConnection::connect(world.server->address());
    REQUIRE(caller);
    TlsSession tls = openSession(world, *caller, *context);
    std::string message = "POST /outer HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n";
    message += isDoubtful ? "content-length: 40\r\n\r\n{}" : "\r\n{}";
    message += "GET /next HTTP/1.1\r\nhost: a\r\n\r\n";
    REQUIRE(SSL_write(tls.get(), message.data(), static_cast<int>(message.size())) == static_cast<int>(message.size()));
    std::string received;
    auto receive = [&] {
        char bytes[1024];
        int count = SSL_read(tls.get(), bytes, sizeof(bytes));
        if (count > 0)
            received.append(bytes, static_cast<std::size_t>(count));
        return SSL_get_error(tls.get(), count) == SSL_ERROR_ZERO_RETURN || SSL_get_error(tls.get(), count) == SSL_ERROR_SYSCALL;
    };
    REQUIRE(runUntil(world.loop, [&] { return receive() || (!isDoubtful && world.seen.size() == 2); }));
    CHECK(world.seen.size() == (isDoubtful ? 0 : 2));
    CHECK((received.rfind("HTTP/1.1 400 ", 0) == 0) == isDoubtful);
    CHECK(reasons.size() == (isDoubtful ? 1 : 0));
}

// Guards against a part of a body over TLS that is followed by the alert which ends a whole one.
TEST_CASE("a TLS answer that ends with the connection is followed by close_notify only if it is whole")
{
    TlsWorld world;
    world.isAnswering = false;
    world.listen(world.authority.issueServer());
    std::shared_ptr<TlsContext> context = clientContext(world.authority.issueCaller("Fitting Desk"));
    enum class End {
        Finished,
        Aborted,
        ServerGone,
    };
    End end = GENERATE(End::Finished, End::Aborted, End::ServerGone);
    auto caller = RawConnection::connect(world.server->address());
    REQUIRE(caller);
    TlsSession tls = openSession(world, *caller, *context);
    const std::string request = "GET / HTTP/1.0\r\n\r\n";
    REQUIRE(SSL_write(tls.get(), request.data(), static_cast<int>(request.size())) == static_cast<int>(request.size()));
    REQUIRE(runUntil(world.loop, [&] { return world.responders.size() == 1; }));
    world.responders[0]->sendHead(headOf(201));
    world.responders[0]->write("body");
    std::string received;
    bool hasEnded = false;
    auto receive = [&] {
        char bytes[1024];
        int count = SSL_read(tls.get(), bytes, sizeof(bytes));
        if (count > 0)
            received.append(bytes, static_cast<std::size_t>(count));
        else
            hasEnded = SSL_get_error(tls.get(), count) != SSL_ERROR_WANT_READ;
        return hasEnded || received.find("body") != std::string::npos;
    };
    REQUIRE(runUntil(world.loop, receive));
    if (end == End::Finished)
        world.responders[0]->finish();
    else if (end == End::Aborted)
        world.responders[0]->abort();
    else
        world.server.reset();
    REQUIRE(runUntil(world.loop, [&] {
        receive();
        return hasEnded;
    }));
    CHECK(((SSL_get_shutdown(tls.get()) & SSL_RECEIVED_SHUTDOWN) != 0) == (end == End::Finished));
    CHECK(received.substr(received.size() - 4) == "body");
}
