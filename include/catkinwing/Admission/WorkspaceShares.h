#pragma once

#include <vector>

namespace catkinwing {

/// What the callers of one workspace request from the endpoints of a service.
struct WorkspaceDemand {
    /// Relative size of the workspace's share.
    double weight { 1 };
    /// Tokens per second of requests that can still meet their latency target.
    double requested { 0 };
    /// Tokens per second that were sent to endpoints, in time or not.
    double admitted { 0 };
    /// Tokens per second of requests whose clients were refused before and have missed the target.
    double late { 0 };
};

/// Sums over the workspaces of a service, in tokens per second.
struct ServiceDemand {
    double requested { 0 };
    double admitted { 0 };
    double late { 0 };
};

/// Which part of the capacity a request may use during a shortage, the first in order first.
enum class ShareClass {
    /// Within the share of its workspace; also every request without a shortage.
    Within,
    /// Beyond the share, but it can still meet its latency target.
    Beyond,
    /// It has missed its latency target.
    Late,
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
/// Returns the fraction of the max wait that applies to a request.
double waitFractionFor(ShareClass shareClass);

} // namespace catkinwing
