#include "catkinwing/Ingress/ShortageTable.h"

#include "catkinwing/PeerProtocol/RegionReport.h"
#include <algorithm>

namespace catkinwing {

using std::chrono::milliseconds;

/// Smoothing time of the counts, a half-life of two seconds: several requests of a workspace
/// arrive at an entry in that time, and a workspace that sends many times its usual is known
/// before the first of its callers returns.
static constexpr milliseconds countSmoothing { 2'885 };
/// Entries report once a second, so a report applies until two of its successors are lost.
static constexpr milliseconds reportLifetime { 3'000 };
/// Shares change no faster than counts do; dividing for each request would cost more.
static constexpr milliseconds divisionInterval { 100 };
/// Reports of more entries add little to the estimate of a region's demand.
static constexpr std::size_t maxReports = 64;
/// Fraction of the capacity that is divided. Requests within the shares would otherwise fill the endpoints by
/// themselves, and their waits would reach the limit by chance; the rest goes to the other classes.
static constexpr double sharedFraction = 0.9;
/// Rates below this, in tokens per second, are those of workspaces that send nothing any more.
static constexpr double minRate = 0.5;

ShortageTable::Usage::Usage()
    : requested(countSmoothing)
    , admitted(countSmoothing)
    , late(countSmoothing)
{
}

ShortageTable::Service& ShortageTable::serviceNamed(const std::string& name)
{
    Service& service = m_services[serviceHash(name)];
    if (service.name.empty())
        service.name = name;
    return service;
}

ShortageTable::Usage& ShortageTable::usageOf(const std::string& service, std::uint64_t workspace)
{
    return serviceNamed(service).usages[workspace];
}

void ShortageTable::record(const std::string& service, std::uint64_t workspace, double tokens, bool isAdmitted, bool isLate, TimePoint now)
{
    Usage& usage = usageOf(service, workspace);
    (isLate ? usage.late : usage.requested).add(tokens, now);
    if (isAdmitted)
        usage.admitted.add(tokens, now);
}

void ShortageTable::expire(TimePoint now)
{
    for (auto received = m_reports.begin(); received != m_reports.end();) {
        if (now - received->second.at > reportLifetime)
            m_reports.erase(received++);
        else
            ++received;
    }
}

void ShortageTable::handleReport(WorkspaceReport report, TimePoint now)
{
    expire(now);
    auto found = m_reports.find(report.entry);
    if (found == m_reports.end() && m_reports.size() >= maxReports)
        return;
    if (found != m_reports.end() && report.sequence <= found->second.report.sequence)
        return;
    std::string entry = report.entry;
    m_reports[entry] = { std::move(report), now };
}

// The weight of a workspace is its limit. Limits in requests and in tokens can't be compared, and a
// workspace may have none; these count like the mean of the others.
static void setWeights(std::vector<WorkspaceDemand>& demands, const std::vector<std::uint64_t>& names, const WorkspaceTable& workspaces)
{
    double sum = 0;
    std::size_t limited = 0;
    for (std::size_t i = 0; i < names.size(); ++i) {
        const Workspace* workspace = names[i] ? workspaces.findByHash(names[i]) : nullptr;
        bool hasWeight = workspace && workspace->limit.isLimited() && workspace->limit.unit == LimitUnit::Tokens;
        demands[i].weight = hasWeight ? workspace->limit.perSecond : 0;
        sum += demands[i].weight;
        limited += hasWeight ? 1 : 0;
    }
    double mean = limited > 0 ? sum / static_cast<double>(limited) : 1;
    for (WorkspaceDemand& demand : demands) {
        if (demand.weight <= 0)
            demand.weight = mean;
    }
}

void ShortageTable::divide(std::uint32_t hash, Service& service, const WorkspaceTable& workspaces, TimePoint now)
{
    bool isCurrent = service.dividedAt != TimePoint {} && now >= service.dividedAt && now - service.dividedAt < divisionInterval;
    if (isCurrent)
        return;
    service.dividedAt = now;
    expire(now);
    std::map<std::uint64_t, WorkspaceDemand> sums;
    for (auto usage = service.usages.begin(); usage != service.usages.end();) {
        double requested = usage->second.requested.rate(now);
        double late = usage->second.late.rate(now);
        if (requested + late < minRate) {
            service.usages.erase(usage++);
            continue;
        }
        sums[usage->first] = { 1, requested, usage->second.admitted.rate(now), late };
        ++usage;
    }
    for (const auto& [entry, received] : m_reports) {
        for (const WorkspaceRow& row : received.report.rows) {
            if (row.service != hash)
                continue;
            sums[row.workspace].requested += row.requested;
            sums[row.workspace].admitted += row.admitted;
            sums[row.workspace].late += row.late;
        }
    }
    std::vector<std::uint64_t> names;
    std::vector<WorkspaceDemand> demands;
    for (const auto& [workspace, demand] : sums) {
        names.push_back(workspace);
        demands.push_back(demand);
    }
    setWeights(demands, names, workspaces);
    ServiceDemand sum = sumOf(demands);
    service.hasShortage = isShortage(sum, service.hasShortage);
    // A single workspace has nobody to share with.
    bool isDivided = service.hasShortage && demands.size() > 1;
    std::vector<double> shares = divideShortage(demands, isDivided ? sum.admitted * sharedFraction : sum.requested);
    service.standings.clear();
    for (std::size_t i = 0; i < names.size(); ++i)
        service.standings[names[i]] = { service.name, names[i], demands[i].requested, demands[i].admitted, demands[i].late, shares[i] };
}

double ShortageTable::fractionWithinShare(const std::string& service, std::uint64_t workspace, const WorkspaceTable& workspaces, TimePoint now)
{
    std::uint32_t hash = serviceHash(service);
    auto found = m_services.find(hash);
    if (found == m_services.end())
        return 1;
    divide(hash, found->second, workspaces, now);
    auto standing = found->second.standings.find(workspace);
    if (!found->second.hasShortage || standing == found->second.standings.end())
        return 1;
    return catkinwing::fractionWithinShare(standing->second.requested, standing->second.share);
}

bool ShortageTable::hasShortage(const std::string& service, const WorkspaceTable& workspaces, TimePoint now)
{
    std::uint32_t hash = serviceHash(service);
    auto found = m_services.find(hash);
    if (found == m_services.end())
        return false;
    divide(hash, found->second, workspaces, now);
    return found->second.hasShortage;
}

static std::uint32_t toCount(double rate)
{
    constexpr double maxRate = 1e9;
    return static_cast<std::uint32_t>(std::clamp(rate, 0.0, maxRate));
}

// Reports the entry's own counts only: those of other entries would count several times.
WorkspaceReport ShortageTable::makeReport(const std::string& entry, std::uint64_t sequence, const WorkspaceTable& workspaces, TimePoint now)
{
    WorkspaceReport report { entry, sequence, {} };
    for (auto& [hash, service] : m_services) {
        divide(hash, service, workspaces, now);
        if (!service.hasShortage)
            continue;
        for (const auto& [workspace, usage] : service.usages) {
            std::uint32_t requested = toCount(usage.requested.rate(now));
            std::uint32_t late = toCount(usage.late.rate(now));
            report.rows.push_back({ hash, workspace, requested, std::min(toCount(usage.admitted.rate(now)), requested + late), late });
        }
    }
    std::sort(report.rows.begin(), report.rows.end(), [](const WorkspaceRow& a, const WorkspaceRow& b) { return a.requested + a.late > b.requested + b.late; });
    report.rows.resize(std::min(report.rows.size(), maxWorkspaceRows));
    return report;
}

std::vector<WorkspaceStanding> ShortageTable::standings(const WorkspaceTable& workspaces, TimePoint now)
{
    std::vector<WorkspaceStanding> all;
    for (auto& [hash, service] : m_services) {
        divide(hash, service, workspaces, now);
        for (const auto& [workspace, standing] : service.standings)
            all.push_back(standing);
    }
    return all;
}

std::vector<ShortageChange> ShortageTable::takeChanges(const WorkspaceTable& workspaces, TimePoint now)
{
    std::vector<ShortageChange> changes;
    for (auto& [hash, service] : m_services) {
        divide(hash, service, workspaces, now);
        if (service.hadShortage == service.hasShortage)
            continue;
        service.hadShortage = service.hasShortage;
        changes.push_back({ service.name, service.hasShortage });
    }
    return changes;
}

} // namespace catkinwing
