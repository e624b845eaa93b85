#include "Arguments.h"

#include "catkinwing/Standin/JsonReader.h"
#include "catkinwing/Support/Id.h"
#include "catkinwing/Support/Version.h"
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <cstdlib>
#include <cxxopts.hpp>
#include <iterator>

namespace catkinwing::standin {

namespace {

    /// Reads option values and keeps the first that is wrong.
    class OptionReader {
    public:
        explicit OptionReader(const cxxopts::ParseResult& parsed)
            : m_parsed(parsed)
        {
        }

        bool has(const char* name) const { return m_parsed.count(name) > 0; }
        std::string text(const char* name) const { return m_parsed[name].as<std::string>(); }
        bool flag(const char* name) const { return m_parsed[name].as<bool>(); }
        std::vector<std::string> list(const char* name) const { return has(name) ? m_parsed[name].as<std::vector<std::string>>() : std::vector<std::string>(); }
        Duration duration(const char* name);
        SocketAddress address(const char* name);
        /// Reads a whole number of at least \p least.
        std::uint64_t count(const char* name, std::uint64_t least);
        /// Reads a number above zero.
        double rate(const char* name);
        /// Reads a number from 0 to 1.
        double share(const char* name);
        const absl::Status& status() const { return m_status; }

    private:
        void fail(const char* name, absl::string_view reason);

        const cxxopts::ParseResult& m_parsed;
        absl::Status m_status;
    };

    using AddOptions = void (*)(cxxopts::OptionAdder&);
    using ReadOptions = void (*)(OptionReader&, Arguments&);

    /// One kind of stand-in with its options.
    struct KindEntry {
        const char* name;
        const char* description;
        StandinKind kind;
        AddOptions add;
        ReadOptions read;
    };

} // namespace

void OptionReader::fail(const char* name, absl::string_view reason)
{
    m_status.Update(absl::InvalidArgumentError(absl::StrCat("--", name, ": ", reason)));
}

Duration OptionReader::duration(const char* name)
{
    auto parsed = parseDuration(text(name));
    if (!parsed.ok())
        fail(name, parsed.status().message());
    return parsed.value_or(Duration::zero());
}

SocketAddress OptionReader::address(const char* name)
{
    auto parsed = parseSocketAddress(text(name));
    if (!parsed.ok())
        fail(name, parsed.status().message());
    return parsed.value_or(SocketAddress());
}

std::uint64_t OptionReader::count(const char* name, std::uint64_t least)
{
    auto value = m_parsed[name].as<std::uint64_t>();
    if (value < least)
        fail(name, absl::StrCat("must be at least ", least));
    return value;
}

double OptionReader::rate(const char* name)
{
    double value = m_parsed[name].as<double>();
    if (!(value > 0))
        fail(name, "must be above zero");
    return value;
}

double OptionReader::share(const char* name)
{
    double value = m_parsed[name].as<double>();
    if (!(value >= 0 && value <= 1))
        fail(name, "must be from 0 to 1");
    return value;
}

static std::shared_ptr<cxxopts::Value> textOption(const char* standard)
{
    return cxxopts::value<std::string>()->default_value(standard);
}

static std::shared_ptr<cxxopts::Value> countOption(const char* standard)
{
    return cxxopts::value<std::uint64_t>()->default_value(standard);
}

static std::shared_ptr<cxxopts::Value> numberOption(const char* standard)
{
    return cxxopts::value<double>()->default_value(standard);
}

static std::shared_ptr<cxxopts::Value> flagOption()
{
    return cxxopts::value<bool>()->default_value("false");
}

static std::shared_ptr<cxxopts::Value> listOption()
{
    return cxxopts::value<std::vector<std::string>>();
}

static void addStoreOptions(cxxopts::OptionAdder& add)
{
    add("history", "revisions kept for watches", countOption("10000"));
    add("max-value-bytes", "longest value that is taken", countOption("1048576"));
}

static void readStoreOptions(OptionReader& reader, Arguments& arguments)
{
    arguments.store.maxHistory = reader.count("history", 1);
    arguments.store.maxValueBytes = reader.count("max-value-bytes", 1);
}

static void addDirectoryOptions(cxxopts::OptionAdder& add)
{
    add("lag", "time until a change shows", textOption("0s"));
}

static void readDirectoryOptions(OptionReader& reader, Arguments& arguments)
{
    arguments.directoryLag = reader.duration("lag");
}

static void addWeightsOptions(cxxopts::OptionAdder& add)
{
    add("megabytes-per-second", "rate that all transfers share", numberOption("100"));
    add("burst-megabytes", "megabytes served at once after a quiet time", countOption("0"));
    add("queue", "transfers under way and waiting", countOption("8"));
}

static void readWeightsOptions(OptionReader& reader, Arguments& arguments)
{
    constexpr double bytesPerMegabyte = 1e6;
    arguments.weights.bytesPerSecond = reader.rate("megabytes-per-second") * bytesPerMegabyte;
    arguments.weights.burstBytes = static_cast<double>(reader.count("burst-megabytes", 0)) * bytesPerMegabyte;
    arguments.weights.maxTransfers = reader.count("queue", 1);
}

static void addEngineOptions(cxxopts::OptionAdder& add)
{
    add("slots", "streams in the batch", countOption("8"));
    add("max-waiting", "requests that may wait for a slot", countOption("256"));
    add("prefill-tokens-per-second", "speed of reading prompts", numberOption("8000"));
    add("decode-tokens-per-second", "speed of one stream alone", numberOption("50"));
    add("batch-slowdown", "share by which each further stream lengthens a step", numberOption("0.03"));
    add("prefill-chunk-tokens", "prompt tokens in one step", countOption("512"));
    add("cache-blocks", "blocks of the prefix cache", countOption("4096"));
    add("load-lag", "time between two samples of the load", textOption("500ms"));
    add("event-lag", "time until a cache event is published", textOption("200ms"));
    add("event-gap-rate", "share of cache events never published", numberOption("0"));
    add("default-tokens", "output tokens without max_tokens", countOption("16"));
    add("models", "models held at the start", listOption());
    add("adapters", "adapters held at the start", listOption());
    add("role", "role at the start", textOption(""));
    add("incarnation", "name of this start; made up if absent", textOption(""));
    add("honours-fencing", "refuse orders with an old fencing number", flagOption());
    add("weights", "IP:PORT of the weight store", textOption(""));
    add("adapter-megabytes", "size of an adapter's weight", countOption("100"));
}

static void readEngineSpeed(OptionReader& reader, EngineSettings& engine)
{
    engine.slots = reader.count("slots", 1);
    engine.maxWaiting = reader.count("max-waiting", 0);
    engine.prefillTokensPerSecond = reader.rate("prefill-tokens-per-second");
    engine.decodeTokensPerSecond = reader.rate("decode-tokens-per-second");
    engine.batchSlowdown = reader.share("batch-slowdown");
    engine.prefillChunkTokens = reader.count("prefill-chunk-tokens", 1);
    engine.cacheBlocks = reader.count("cache-blocks", 0);
    engine.loadLag = std::max<Duration>(reader.duration("load-lag"), std::chrono::milliseconds(1));
    engine.events.lag = reader.duration("event-lag");
    engine.events.gapRate = reader.share("event-gap-rate");
}

static void readEngineOptions(OptionReader& reader, Arguments& arguments)
{
    EngineServiceSettings& engine = arguments.engine;
    readEngineSpeed(reader, engine.engine);
    engine.engine.seed = arguments.server.seed;
    engine.defaultOutputTokens = reader.count("default-tokens", 1);
    engine.initial = { reader.list("models"), reader.list("adapters"), reader.text("role") };
    engine.honoursFencing = reader.flag("honours-fencing");
    engine.incarnation = reader.text("incarnation");
    if (engine.incarnation.empty()) {
        Random random = Random::fromSystem();
        engine.incarnation = makeId(random);
    }
    if (reader.has("weights"))
        arguments.weightServer = reader.address("weights");
    arguments.adapterMegabytes = reader.count("adapter-megabytes", 1);
}

static void addServiceOptions(cxxopts::OptionAdder& add)
{
    add("delay", "time that an execution takes", textOption("0s"));
}

static void readServiceOptions(OptionReader& reader, Arguments& arguments)
{
    arguments.service.name = arguments.server.name;
    arguments.service.delay = reader.duration("delay");
}

static void addRawOptions(cxxopts::OptionAdder& add)
{
    add("answer", "file with the bytes sent for each request", cxxopts::value<std::string>());
    add("close", "close the connection after an answer", flagOption());
}

static void readRawOptions(OptionReader& reader, Arguments& arguments)
{
    arguments.answerFile = reader.text("answer");
    arguments.closesAfterAnswer = reader.flag("close");
}

static void addPlatformEndpointOptions(cxxopts::OptionAdder& add)
{
    add("incarnation", "name of this start", cxxopts::value<std::string>());
    add("delay", "time from the start of an execution to its answer or first event", textOption("0s"));
    add("events", "events of each answer; 0 answers in one piece", countOption("0"));
    add("pause", "time between two events", textOption("0s"));
    add("crashing-part", "shared part of prompts that ends the process when it begins to answer; empty for none", textOption(""));
    add("request-limit", "requests a second that each answer names as the limit; empty for none", textOption(""));
}

static void readPlatformEndpointOptions(OptionReader& reader, Arguments& arguments)
{
    platform::EndpointStandinSettings& endpoint = arguments.platformEndpoint;
    endpoint.incarnation = reader.has("incarnation") ? reader.text("incarnation") : arguments.server.name;
    endpoint.delay = reader.duration("delay");
    endpoint.events = static_cast<unsigned>(reader.count("events", 0));
    endpoint.pause = reader.duration("pause");
    endpoint.requestLimit = reader.text("request-limit");
    endpoint.crashingPart = reader.text("crashing-part");
    endpoint.crash = [] { std::_Exit(EXIT_FAILURE); };
}

constexpr KindEntry kinds[] = {
    { "store", "the key-value store", StandinKind::Store, addStoreOptions, readStoreOptions },
    { "directory", "the directory and the list of instances", StandinKind::Directory, addDirectoryOptions, readDirectoryOptions },
    { "weights", "the rate-limited weight store", StandinKind::Weights, addWeightsOptions, readWeightsOptions },
    { "engine", "an OpenAI-compatible model engine", StandinKind::Engine, addEngineOptions, readEngineOptions },
    { "service", "a plain service", StandinKind::Service, addServiceOptions, readServiceOptions },
    { "raw", "an endpoint that answers with the bytes of a file", StandinKind::Raw, addRawOptions, readRawOptions },
    { "platform-store", "the store of the users' platform", StandinKind::PlatformStore, addStoreOptions, readStoreOptions },
    { "platform-endpoint", "an endpoint on the users' platform", StandinKind::PlatformEndpoint, addPlatformEndpointOptions, readPlatformEndpointOptions },
};

static std::string usage()
{
    std::string text = "Usage: catkinwing-standin KIND --listen IP:PORT [OPTION...]\n"
                       "       catkinwing-standin KIND --help\n"
                       "       catkinwing-standin --help | --version\n\n"
                       "Stands in for a system that catkinwing uses or serves. KIND is one of\n";
    for (const KindEntry& entry : kinds)
        absl::StrAppend(&text, "  ", entry.name, std::string(20 - std::string(entry.name).size(), ' '), entry.description, "\n");
    return text;
}

static Arguments printing(std::string message)
{
    Arguments arguments;
    arguments.message = std::move(message);
    return arguments;
}

static absl::StatusOr<Arguments> readOptions(const KindEntry& entry, const cxxopts::ParseResult& parsed)
{
    if (!parsed.unmatched().empty())
        return absl::InvalidArgumentError(absl::StrCat("unexpected argument ", parsed.unmatched().front()));
    OptionReader reader(parsed);
    if (!reader.has("listen"))
        return absl::InvalidArgumentError("--listen is missing");
    Arguments arguments;
    arguments.kind = entry.kind;
    arguments.server.listen = reader.address("listen");
    arguments.server.logFile = reader.text("log");
    arguments.server.seed = reader.count("seed", 0);
    arguments.server.name = reader.has("name") ? reader.text("name") : entry.name;
    entry.read(reader, arguments);
    if (!reader.status().ok())
        return reader.status();
    return arguments;
}

// The library throws; nothing of that leaves this function.
static absl::StatusOr<Arguments> parseKind(const KindEntry& entry, int count, const char* const* arguments)
{
    try {
        cxxopts::Options options(absl::StrCat("catkinwing-standin ", entry.name), absl::StrCat("Stands in for ", entry.description, "."));
        auto add = options.add_options();
        add("listen", "IP:PORT to listen on; port 0 takes a free one", cxxopts::value<std::string>());
        add("log", "file for the execution log", textOption(""));
        add("name", "name in the execution log; the kind if absent", cxxopts::value<std::string>());
        add("seed", "seed of the random numbers", countOption("1"));
        add("h,help", "print this text");
        entry.add(add);
        auto parsed = options.parse(count, arguments);
        if (parsed.count("help") > 0)
            return printing(options.help());
        return readOptions(entry, parsed);
    } catch (const cxxopts::exceptions::exception& exception) {
        return absl::InvalidArgumentError(exception.what());
    }
}

absl::StatusOr<Arguments> parseArguments(int count, const char* const* arguments)
{
    if (count < 2)
        return absl::InvalidArgumentError("the kind is missing");
    std::string first = arguments[1];
    if (first == "--help" || first == "-h")
        return printing(usage());
    if (first == "--version")
        return printing(absl::StrCat("catkinwing-standin ", versionString(), "\n"));
    const auto* entry = std::find_if(std::begin(kinds), std::end(kinds), [&first](const KindEntry& candidate) { return first == candidate.name; });
    if (entry == std::end(kinds))
        return absl::InvalidArgumentError(absl::StrCat("unknown kind ", first));
    return parseKind(*entry, count - 1, arguments + 1);
}

} // namespace catkinwing::standin
