#include "catkinwing/Support/Logging.h"

#include "catkinwing/Support/LineWriter.h"

#include <chrono>
#include <log4cxx/appenderskeleton.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/logger.h>
#include <log4cxx/spi/loggingevent.h>
#include <memory>
#include <unistd.h>

namespace catkinwing {

namespace {

    /// Passes lines to standard output. log4cxx's own console appender waits for
    /// the reader, and with it would the only thread that serves requests.
    class StandardOutputAppender : public log4cxx::AppenderSkeleton {
    public:
        void close() override { }
        bool requiresLayout() const override { return false; }

    protected:
        void append(const log4cxx::spi::LoggingEventPtr& event, log4cxx::helpers::Pool& pool) override;

    private:
        LineWriter m_writer { STDOUT_FILENO };
        std::uint64_t m_unreported { 0 };
    };

} // namespace

static std::string formatLine(const char* level, const std::string& event, const nlohmann::json& fields)
{
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    nlohmann::json line = {
        { "time_ms", duration_cast<milliseconds>(sinceEpoch).count() },
        { "level", level },
        { "event", event },
    };
    if (fields.is_object())
        line.update(fields);
    return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

// The message already is a JSON object, whose fields log4cxx's JSONLayout would
// fold into one quoted string.
void StandardOutputAppender::append(const log4cxx::spi::LoggingEventPtr& event, log4cxx::helpers::Pool&)
{
    m_unreported += m_writer.takeDropped();
    if (m_unreported > 0) {
        nlohmann::json fields = { { "lines", m_unreported }, { "reason", "standard output was full" } };
        if (m_writer.write(formatLine("warning", "log_lines_dropped", fields) + "\n"))
            m_unreported = 0;
        else
            m_writer.takeDropped();
    }
    m_writer.write(event->getMessage() + "\n");
}

void initializeLogging()
{
    log4cxx::BasicConfigurator::resetConfiguration();
    log4cxx::BasicConfigurator::configure(std::make_shared<StandardOutputAppender>());
}

static log4cxx::LevelPtr toLevel(LogLevel level)
{
    switch (level) {
    case LogLevel::Info:
        return log4cxx::Level::getInfo();
    case LogLevel::Warning:
        return log4cxx::Level::getWarn();
    case LogLevel::Error:
        break;
    }
    return log4cxx::Level::getError();
}

static const char* levelName(LogLevel level)
{
    switch (level) {
    case LogLevel::Info:
        return "info";
    case LogLevel::Warning:
        return "warning";
    case LogLevel::Error:
        break;
    }
    return "error";
}

void logChange(LogLevel level, const std::string& event, const nlohmann::json& fields)
{
    log4cxx::Logger::getLogger("catkinwing")->log(toLevel(level), formatLine(levelName(level), event, fields));
}

} // namespace catkinwing
