#pragma once

#include "FakeResponder.h"
#include "catkinwing/Standin/Services.h"
#include "catkinwing/Support/ManualScheduler.h"
#include <memory>
#include <sstream>

namespace catkinwing::standin {

/// A stand-in on a manual clock, called without HTTP.
class Fixture {
public:
    explicit Fixture(std::uint64_t seed = 1)
        : m_output(new std::ostringstream)
        , log(std::unique_ptr<std::ostream>(m_output), "test", scheduler.clock())
        , m_seed(seed)
    {
    }

    void use(std::unique_ptr<StandinService> service)
    {
        m_service = std::move(service);
        m_frontend = std::make_unique<StandinFrontend>(scheduler, log, *m_service, m_seed);
    }
    std::shared_ptr<FakeResponder> call(const std::string& method, const std::string& path, const std::string& body = "", HttpHeaders headers = {})
    {
        HttpRequest request;
        request.method = method;
        request.path = path.substr(0, path.find('?'));
        request.query = path.find('?') == std::string::npos ? "" : path.substr(path.find('?') + 1);
        request.body = body;
        request.headers = std::move(headers);
        auto responder = std::make_shared<FakeResponder>();
        m_frontend->handle(std::move(request), responder);
        return responder;
    }
    void setFaults(const nlohmann::json& faults) { call("PUT", "/standin/faults", faults.dump()); }
    /// Returns how many lines of the log tell of \p event.
    int countEvents(const std::string& event) const
    {
        std::istringstream lines(m_output->str());
        int count = 0;
        for (std::string line; std::getline(lines, line);)
            count += nlohmann::json::parse(line).at("event") == event ? 1 : 0;
        return count;
    }

    ManualScheduler scheduler;

private:
    std::ostringstream* m_output;

public:
    ExecutionLog log;

private:
    std::uint64_t m_seed;
    std::unique_ptr<StandinService> m_service;
    std::unique_ptr<StandinFrontend> m_frontend;
};

} // namespace catkinwing::standin
