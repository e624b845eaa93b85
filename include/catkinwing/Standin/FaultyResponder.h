#pragma once

#include "catkinwing/Http/HttpServer.h"
#include "catkinwing/Standin/Faults.h"
#include <functional>
#include <memory>

namespace catkinwing::standin {

/// Returns a responder that spoils the answer as \p plan says. Each write()
/// counts as one event. \p onCut is called when the connection is cut.
std::shared_ptr<HttpResponder> makeFaultyResponder(std::shared_ptr<HttpResponder> responder, const FaultPlan& plan, std::function<void()> onCut);

} // namespace catkinwing::standin
