#pragma once

#include "catkinwing/Http/HttpServer.h"
#include <memory>
#include <vector>

namespace catkinwing {

/// The requests whose answers have not gone out yet, wherever they wait: for a
/// claim, for another's answer, in the queue or for a slow reader.
class OpenRequests {
public:
    void add(std::shared_ptr<HttpResponder> responder);
    /// Returns the number of requests whose answers have not gone out.
    std::size_t count();

private:
    void forgetAnswered();

    std::vector<std::shared_ptr<HttpResponder>> m_responders;
    std::size_t m_forgetAt { 0 };
};

} // namespace catkinwing
