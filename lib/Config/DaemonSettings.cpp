#include "catkinwing/Config/DaemonSettings.h"

#include "ReadDocument.h"
#include "catkinwing/Config/DocumentPath.h"

namespace catkinwing {

static void readAddresses(const ObjectReader& reader, ListenerAddresses& addresses, PortRange range)
{
    reader.read("callers", addresses.callers, range);
    reader.read("peers", addresses.peers, range);
    reader.read("operators", addresses.operators, range);
}

static void readTlsFiles(const ObjectReader& reader, TlsSettings& files)
{
    reader.read("certificateFile", files.certificateFile);
    reader.read("keyFile", files.keyFile);
    reader.read("authorityFile", files.authorityFile);
}

static void readTls(const ObjectReader& reader, ListenerTls& tls)
{
    reader.readObject("callers", [&](const ObjectReader& member) { readTlsFiles(member, tls.callers.emplace()); });
    reader.readObject("operators", [&](const ObjectReader& member) { readTlsFiles(member, tls.operators.emplace()); });
    reader.readObject("peers", [&](const ObjectReader& member) {
        readTlsFiles(member, tls.peers.emplace());
        if (!member.has("authorityFile"))
            member.report("authorityFile", "the field is required, since peers authenticate each other");
    });
}

static void readOperatorToken(const ObjectReader& reader, OperatorToken& token)
{
    reader.read("name", token.key.name);
    reader.read("sha256", token.key.digest);
    reader.read("subtree", token.subtree);
    if (token.subtree.empty())
        return;
    auto path = parseDocumentPath(token.subtree);
    if (!path.ok())
        reader.report("subtree", std::string(path.status().message()));
}

static void readLimits(const ObjectReader& reader, DaemonLimits& limits)
{
    reader.read("maximumConnections", limits.maximumConnections);
    reader.read("maximumDescriptors", limits.maximumDescriptors);
    reader.read("maximumBodyBytes", limits.maximumBodyBytes);
    reader.read("maximumMemoryMegabytes", limits.maximumMemoryMegabytes);
}

// A request that is forwarded needs a second descriptor. The reserve is for the
// listeners, the store, other entries and files.
std::int64_t connectionsForCallers(const DaemonLimits& limits)
{
    constexpr std::int64_t reserve = 300;
    return limits.maximumDescriptors > 0 ? (limits.maximumDescriptors - reserve) / 2 : limits.maximumConnections;
}

static void readIngress(const ObjectReader& reader, IngressSettings& ingress)
{
    reader.read("readiness", ingress.readiness, PortRange::FromZero);
    reader.read("directory", ingress.directory, PortRange::FromZero);
    reader.read("regionOfZone", ingress.regionOfZone);
    reader.read("drainTimeout", ingress.drainTimeout, DurationRange::AboveZero);
    reader.read("directoryLifetime", ingress.directoryLifetime, DurationRange::AboveZero);
    reader.read("retryRatio", ingress.retryRatio);
    reader.read("retrySlack", ingress.retrySlack);
    reader.read("coldRatio", ingress.coldRatio);
    reader.read("coldSlack", ingress.coldSlack);
    reader.read("quotaWindow", ingress.limitWindow, DurationRange::AboveZero);
    reader.read("quotaOverage", ingress.limitOverage);
    reader.read("quotaSlack", ingress.limitSlack);
    reader.read("sharesShortage", ingress.sharesShortage);
    reader.read("contracts", ingress.contracts);
}

static bool isWildcard(const SocketAddress& address)
{
    return address.host == "0.0.0.0" || address.host == "::";
}

/// Others can't connect to a wildcard address, so it needs an advertised one.
static void checkAdvertised(const ObjectReader& reader, const DaemonSettings& settings)
{
    reader.readObject("listen", [&](const ObjectReader& listen) {
        const ListenerAddresses& advertise = settings.advertise;
        const std::pair<const char*, const SocketAddress*> advertised[] = {
            { "callers", &advertise.callers }, { "peers", &advertise.peers }, { "operators", &advertise.operators }
        };
        for (const auto& [member, address] : advertised) {
            if (isWildcard(*address))
                listen.report(member, absl::StrCat("a wildcard address needs one in /advertise/", member));
        }
    });
}

static void readSettings(const ObjectReader& reader, DaemonSettings& settings)
{
    reader.read("name", settings.name);
    reader.read("region", settings.region);
    reader.read("availabilityZone", settings.availabilityZone);
    reader.readObject("listen", [&](const ObjectReader& member) { readAddresses(member, settings.listen, PortRange::FromZero); });
    settings.advertise = settings.listen;
    reader.readObject("advertise", [&](const ObjectReader& member) { readAddresses(member, settings.advertise, PortRange::AboveZero); });
    checkAdvertised(reader, settings);
    reader.read("store", settings.store);
    reader.read("directory", settings.directory);
    if (reader.has("weightStore"))
        reader.read("weightStore", settings.weightStore.emplace(), PortRange::AboveZero);
    reader.read("peerSeeds", settings.peerSeeds);
    reader.readObject("tls", [&](const ObjectReader& member) { readTls(member, settings.tls); });
    reader.readList("operatorTokens", settings.operatorTokens, readOperatorToken);
    reader.reportRepeats("operatorTokens", settings.operatorTokens, "name", [](const OperatorToken& token) { return token.key.name; });
    reader.reportRepeats("operatorTokens", settings.operatorTokens, "sha256", [](const OperatorToken& token) { return digestText(token.key); });
    reader.readObject("limits", [&](const ObjectReader& member) { readLimits(member, settings.limits); });
    reader.readObject("ingress", [&](const ObjectReader& member) { readIngress(member, settings.ingress.emplace()); });
    reader.read("testFaults", settings.testFaults);
}

ConfigResult<DaemonSettings> parseDaemonSettings(absl::string_view text)
{
    return readDocument<DaemonSettings>(SchemaKind::Daemon, text, readSettings);
}

} // namespace catkinwing
