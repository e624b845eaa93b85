#include "catkinwing/Admission/RequestCost.h"

#include <algorithm>

namespace catkinwing {

double estimateCost(const RequestCostInputs& inputs)
{
    double prefill = std::max(0.0, inputs.promptTokens - std::max(0.0, inputs.cachedTokens));
    double output = inputs.outputWeight * std::max(0.0, inputs.expectedOutputTokens);
    return std::max(1.0, prefill + output);
}

} // namespace catkinwing
