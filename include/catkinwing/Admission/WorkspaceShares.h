#pragma once

#include <vector>

namespace catkinwing {

/// What the callers of one workspace request from the endpoints of a service.
struct WorkspaceDemand {
    /// Relative size of the workspace's share.
    double weight { 1 };
    /// Tokens per second.
    double requested { 0 };
    /// Tokens per second that were sent to endpoints.
    double admitted { 0 };
};

/// Sums over the workspaces of a service, in tokens per second.
struct ServiceDemand {
    double requested { 0 };
    double admitted { 0 };
};

ServiceDemand sumOf(const std::vector<WorkspaceDemand>& demands);
/// Returns whether the endpoints serve noticeably less than is requested. A shortage that
/// has begun (\p wasShortage) ends at a smaller difference than the one at which it begins.
bool isShortage(const ServiceDemand& demand, bool wasShortage);
/// Divides \p capacity, in tokens per second, by weighted max-min fairness: no workspace gets
/// more than it requests, and what it leaves goes to the others by their weights. Returns one
/// share for each demand, in the same order. Demands with a weight or rate that isn't positive
/// and finite get nothing.
std::vector<double> divideShortage(const std::vector<WorkspaceDemand>& demands, double capacity);
/// Returns which fraction of a workspace's requests its share covers.
double fractionWithinShare(double requested, double share);
/// Returns the fraction of the max wait that applies to a request, by whether it is within
/// the share of its workspace.
double waitFractionFor(bool isWithinShare);

} // namespace catkinwing
