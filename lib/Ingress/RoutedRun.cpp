#include "catkinwing/Ingress/RoutedRun.h"

#include "catkinwing/Admission/EndpointMemory.h"
#include "catkinwing/Routing/RegionChoice.h"
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <algorithm>

namespace catkinwing {

using std::chrono::milliseconds;

static constexpr int statusNotFound = 404;
static constexpr int statusBadGateway = 502;
static constexpr int statusUnavailable = 503;
/// Share of the retry allowance that the entries use. The rest is a reserve
/// for restarted entries and for partitions in which entries don't see each other.
static constexpr double allowanceShare = 0.5;
/// The same share in the first window after an entry's start, so that its first
/// refused requests can be retried elsewhere. It is smaller because the previous
/// process may have used its own share in that window.
static constexpr double allowanceShareAtStart = 0.2;
/// A connection inside the region takes a few milliseconds; if one takes longer
/// than this, the other side has stopped or is unreachable.
static constexpr milliseconds localConnectTimeout { 400 };
/// Connect timeout of a request that tests whether this entry reaches its endpoints again.
/// Most likely it doesn't, and the request has to be handed over.
static constexpr milliseconds probeConnectTimeout { 100 };
/// Regions are some 55 ms apart, so a connection takes 110 ms and more.
static constexpr milliseconds peerConnectTimeout { 700 };
/// Round-trip time that forwarding to another region adds to the first event.
static constexpr milliseconds regionRoundTrip { 115 };
/// The timeouts of the HTTP exchange fire this long after the deadline of the
/// request, so that the deadline decides the outcome.
static constexpr milliseconds exchangeMargin { 500 };
/// The deadline sent to endpoints is this much shorter than the time left, so that
/// their answer arrives in time.
static constexpr milliseconds deadlineMargin { 10 };
/// A shared segment of fewer tokens is read in a few milliseconds and doesn't
/// affect the choice of the endpoint.
static constexpr std::int64_t minSharedTokens = 1'000;
/// A request is forwarded to a region that keeps its shared segment but has no recent
/// load report only if the acceptance of the region is above this. The limit is low because a region
/// refuses short requests long before long ones are affected, and because a segment
/// that is read in another region evicts others there.
static constexpr double minOwnerAcceptance = 0.3;
/// A stopping entry accepts every request for this long, since clients still hold
/// directory answers that name it and most requests end long before their deadline.
/// Afterwards the entry accepts only requests whose deadline is no later than the end
/// of its planned stop.
static constexpr milliseconds acceptAllWhileStopping { 3'000 };

void readForwardHeaders(const HttpHeaders& headers, RoutedRequest& request)
{
    unsigned attemptsLeft = 0;
    const std::string* text = headers.find(attemptsLeftHeader);
    if (text && absl::SimpleAtoi(*text, &attemptsLeft))
        request.attemptsLeft = attemptsLeft;
    text = headers.find(earlierAttemptsHeader);
    if (text && !absl::SimpleAtoi(*text, &request.earlierAttempts))
        request.earlierAttempts = 0;
    if (const std::string* workspace = headers.find(workspaceNameHeader))
        request.workspace = *workspace;
    std::uint64_t build = 0;
    text = headers.find(streamBuildHeader);
    if (text && absl::SimpleHexAtoi(*text, &build))
        request.streamBuild = build;
}

RetryWindow& IngressContext::retryBudgetOf(const std::string& service)
{
    TimePoint now = scheduler.clock().now();
    double share = now - startedAt < retryLimits.window ? allowanceShareAtStart : allowanceShare;
    std::size_t entryCount = std::max<std::size_t>(entries.recentMaxAddresses(now), 1);
    auto found = retryBudgets.find(service);
    if (found == retryBudgets.end())
        found = retryBudgets.emplace(service, RetryWindow(random.unit())).first;
    RetryWindow& budget = found->second;
    budget.setAllowance({ retryLimits.ratio, retryLimits.allowance * share / static_cast<double>(entryCount), retryLimits.window });
    return budget;
}

RoutedRun::RoutedRun(IngressContext& parts, RoutedRequest request, std::shared_ptr<HttpResponder> responder)
    : m_parts(parts)
    , m_request(std::move(request))
    , m_responder(std::move(responder))
    , m_bufferedRequest(parts.requestBuffers)
    , m_cursor(m_request.facts.resumeAfter ? absl::make_optional(*m_request.facts.resumeAfter) : absl::nullopt)
    , m_pendingBytes(parts.answerBuffers)
{
    ++m_parts.openRequestCount;
}

RoutedRun::~RoutedRun()
{
    --m_parts.openRequestCount;
}

void RoutedRun::begin()
{
    auto self = shared_from_this();
    m_routes = m_parts.routes;
    if (!m_routes) {
        sendOwnAnswer(statusUnavailable, Outcome::NotRun, "no_configuration");
        return;
    }
    m_route = m_routes->find(m_request.facts.host, m_request.http.path);
    if (!m_route) {
        sendOwnAnswer(statusNotFound, Outcome::NotRun, "no_route");
        return;
    }
    milliseconds allowed = m_route->timeout;
    if (m_request.facts.timeLeft)
        allowed = std::min(allowed, *m_request.facts.timeLeft);
    m_deadline = m_request.arrivedAt + allowed;
    if (!identifyWorkspace() || !determineHomes())
        return;
    if (!canRunBeforeStop()) {
        sendOwnAnswer(statusUnavailable, Outcome::NotRun, "stopping");
        return;
    }
    // What isn't done by then is answered, since the process ends.
    if (m_parts.plannedStop)
        m_deadline = std::min(m_deadline, m_parts.plannedStop->abortAt);
    if (!m_bufferedRequest.reserve(m_request.http.body.size())) {
        m_parts.metrics.count("refused_request_buffers");
        sendOwnAnswer(statusUnavailable, Outcome::NotRun, "request_buffers_full");
        return;
    }
    m_deadlineTimer = m_parts.scheduler.callAfter(m_deadline - now(), [self] { self->onDeadline(); });
    m_responder->onClosed([self] { self->onClientClosed(); });
    if (!m_responder->isOpen()) {
        onClientClosed();
        return;
    }
    m_service = pickService();
    chargeWorkspace();
}

milliseconds RoutedRun::timeLeft() const
{
    return std::chrono::duration_cast<milliseconds>(m_deadline - now());
}

bool RoutedRun::canRunBeforeStop() const
{
    const std::optional<PlannedStop>& stop = m_parts.plannedStop;
    if (!stop || m_deadline <= stop->abortAt)
        return true;
    return m_request.arrivedAt - stop->startedAt <= acceptAllWhileStopping && now() < stop->abortAt;
}

// The last segment belongs to the request itself or to its session and isn't shared.
const PromptSegment* RoutedRun::sharedSegment() const
{
    const std::vector<PromptSegment>& prompt = m_request.facts.prompt;
    if (!m_route->hasPromptAffinity || prompt.size() < 2)
        return nullptr;
    const PromptSegment* largest = &prompt.front();
    for (std::size_t i = 0; i + 1 < prompt.size(); ++i) {
        if (prompt[i].tokens > largest->tokens)
            largest = &prompt[i];
    }
    return largest->tokens >= minSharedTokens ? largest : nullptr;
}

const std::string& RoutedRun::pickService() const
{
    const std::vector<WeightedService>& services = m_route->services;
    double sum = 0;
    for (const WeightedService& service : services)
        sum += service.weight;
    double point = m_parts.random.unit() * sum;
    for (const WeightedService& service : services) {
        point -= service.weight;
        if (point < 0)
            return service.service;
    }
    return services.back().service;
}

WaitLimitInputs RoutedRun::waitDemand() const
{
    WaitLimitInputs demand;
    demand.timeout = m_route->timeout;
    demand.timeLeft = timeLeft();
    const std::vector<UrgencyLevel>& levels = m_routes->urgenciesOf(m_service);
    for (const UrgencyLevel& level : levels) {
        if (level.priority <= m_route->priority)
            demand.latencyTarget = level.tightestTarget;
    }
    demand.hasMoreUrgent = !levels.empty() && levels.front().priority < m_route->priority;
    demand.waitFraction = waitFractionFor(m_shareClass);
    return demand;
}

// Prefers an endpoint of this region, which is the nearest, unless the region refuses
// many requests. The second choice is another region. The third is an endpoint that was
// tried before, if the last attempt may have run.
void RoutedRun::dispatch()
{
    if (refuseIfTooLarge() || refuseIfVersionGone() || refuseIfCrashing() || holdIfSuspect() || handOverIfCutOff() || askLimitHolders())
        return;
    // Load and cached segments are known of all endpoints together, whatever their version.
    if (!mustKeepVersion() && (routeFirstAttempt() || sendToSegmentRegion() || forwardIfOverloaded()))
        return;
    if (isAllowedHere() && (sendToEndpoint(false) || sendToRoomHolder()))
        return;
    if (!m_request.isForwarded && sendToRegion(m_service, isAllowedHere() ? "no_endpoint_here" : "homes"))
        return;
    if (m_mayLastAttemptHaveRun && isAllowedHere() && sendToEndpoint(true))
        return;
    // Few endpoints may be left that can go on with the stream, so it waits for a busy one.
    m_mayWaitLong = mustKeepVersion();
    if (m_mayWaitLong && isAllowedHere() && sendToEndpoint(false))
        return;
    if (m_failureHead) {
        sendAnswer(*m_failureHead, std::move(m_failureBody));
        return;
    }
    if (m_mayHaveRun) {
        sendOwnAnswer(statusBadGateway, Outcome::Unknown, "no_endpoint_for_retry");
        return;
    }
    if (m_possiblyDeliveredAttempts == 0 && m_parts.endpoints.rejectionLimit(m_service))
        m_notSentReason = notSentNoRoom;
    const char* reason = recordLackOfCapacity("no_endpoint");
    sendOwnAnswer(statusUnavailable, Outcome::NotRun, areLimitsUsedUp() ? "endpoint_limits" : reason);
}

Duration RoutedRun::maxWait() const
{
    return maxQueueWait(waitDemand(), idleFirstByte(defaultResponseEstimate()));
}

std::optional<Duration> RoutedRun::expectedWaitIn(const std::string& region) const
{
    return m_parts.outlooks.estimatedWait(region, m_service, now());
}

bool RoutedRun::routeFirstAttempt()
{
    const ServiceSettings* settings = m_routes->findService(m_service);
    bool isFirst = m_attemptCount == 0 && !m_request.isForwarded;
    if (!isFirst || !settings)
        return false;
    auto durationAt = [events = expectedEvents()](Duration perEvent) { return std::chrono::duration_cast<Duration>(perEvent * events); };
    RegionDemand demand;
    demand.maxWait = maxWait();
    if (isAllowedHere()) {
        ServiceOutlook here = m_parts.endpoints.outlook(*settings, now());
        if (here.endpoints > 0)
            demand.localWait = here.wait;
        demand.localResponseDuration = durationAt(here.perEvent);
        demand.mayAcceptLocally = m_parts.endpoints.usableByRegion(m_service, now()).count(m_parts.region) > 0;
    }
    std::vector<RegionOption> others;
    for (const auto& [region, endpoints] : untriedRegions(m_service))
        others.push_back({ region, expectedWaitIn(region), regionRoundTrip, durationAt(m_parts.outlooks.timePerEventIn(region, m_service)) });
    RegionChoice choice = chooseRegion(demand, others, m_parts.random);
    if (choice.verdict == RegionVerdict::Forward)
        return !sharedSegment() && sendToEntryIn(choice.region, "shorter_wait");
    if (choice.verdict == RegionVerdict::Refuse)
        sendOwnAnswer(statusUnavailable, Outcome::NotRun, recordLackOfCapacity("waits_too_long_everywhere"));
    return choice.verdict == RegionVerdict::Refuse;
}

// If one endpoint of this region refused the request because it is full, the others
// are probably full as well.
bool RoutedRun::forwardIfOverloaded()
{
    if (m_request.isForwarded || !isAllowedHere())
        return false;
    bool isFirst = m_attemptCount == 0;
    bool shouldForward = m_wasRefusedHere || (isFirst && shouldSpill(regionAcceptance(), m_parts.region, untriedRegions(m_service), now(), m_parts.random));
    return shouldForward && sendToRegion(m_service, m_wasRefusedHere ? "refused_here" : "region_refuses");
}

static const char* endpointChoiceReason(bool mayBeTried, bool hasSharedSegment)
{
    if (mayBeTried)
        return "only_endpoint_left";
    return hasSharedSegment ? "shared_part" : "least_work_of_two";
}

// Counts the shared segment in full, although requests that run at the same endpoint share it, so
// that the sum is never too low.
std::int64_t RoutedRun::memoryTokens() const
{
    constexpr std::int64_t maxTokens = 1'000'000'000;
    return std::clamp<std::int64_t>(m_request.facts.promptTokens, 0, maxTokens) + std::clamp<std::int64_t>(m_request.facts.maxOutputTokens, 0, maxTokens);
}

// An endpoint would refuse it as if it were full, at each return of the client.
bool RoutedRun::refuseIfTooLarge()
{
    const ServiceSettings* settings = m_routes->findService(m_service);
    if (!settings || !m_routes->servesMixedPrompts(m_service) || m_mayHaveRun || fitsMemory(m_request.facts.promptTokens, settings->memoryTokens))
        return false;
    m_omitsRetryAfter = true;
    m_parts.metrics.count("refused_memory");
    sendOwnAnswer(statusUnavailable, Outcome::NotRun, "exceeds_memory");
    return true;
}

EndpointRequest RoutedRun::endpointRequest() const
{
    EndpointRequest request;
    request.service = m_routes->findService(m_service);
    const PromptSegment* shared = sharedSegment();
    request.sharedSegment = shared ? shared->id : std::string();
    request.sharedTokens = shared ? shared->tokens : 0;
    request.promptTokens = m_request.facts.promptTokens;
    request.isMixed = m_routes->servesMixedPrompts(m_service);
    request.memoryTokens = request.isMixed ? memoryTokens() : 0;
    request.expectedEvents = expectedEvents();
    request.build = m_streamBuild;
    request.beginsResumableStream = isResumableStream() && !m_isStreamBound;
    request.attemptedIncarnations = &m_triedEndpoints;
    return request;
}

bool RoutedRun::sendToEndpoint(bool mayBeTried)
{
    EndpointRequest request = endpointRequest();
    if (!request.service)
        return false;
    request.allowsAttempted = mayBeTried;
    // A request that may have run or whose answer has begun has no wait limit.
    WaitLimitInputs demand = waitDemand();
    request.demand = m_mayHaveRun || m_hasSentHead || m_mayWaitLong ? nullptr : &demand;
    std::shared_ptr<RoutedEndpoint> endpoint = m_parts.endpoints.choose(request, now(), m_parts.random);
    if (!endpoint)
        return false;
    startAtEndpoint(std::move(endpoint), endpointChoiceReason(mayBeTried, !request.sharedSegment.empty()));
    return true;
}

void RoutedRun::startAtEndpoint(std::shared_ptr<RoutedEndpoint> endpoint, const char* why)
{
    m_triedEndpoints.push_back(endpoint->record.incarnation);
    countInShares(true);
    AttemptFacts facts;
    facts.incarnation = endpoint->record.incarnation;
    facts.priority = requestPriority();
    facts.workspace = m_workspaceName;
    EndpointRequest choice = endpointRequest();
    std::shared_ptr<RoutedEndpoint> fetchSource = choice.isMixed && choice.service && !choice.sharedSegment.empty() ? m_parts.endpoints.chooseFetchSource(*endpoint, choice, now()) : nullptr;
    if (fetchSource)
        facts.fetchFrom = fetchSource->record.address;
    HttpClientRequest request = makeRequest(endpoint->record.address, std::move(facts));
    request.connectTimeout = m_parts.endpoints.isCutOff(m_service, now()) ? probeConnectTimeout : localConnectTimeout;
    Attempt attempt;
    attempt.target = AttemptTarget::Endpoint;
    attempt.region = m_parts.region;
    attempt.why = fetchSource ? "fetched_part" : why;
    attempt.endpoint = std::move(endpoint);
    if (choice.isMixed && m_parts.endpoints.pendingWork(*attempt.endpoint).unprefilledKilotokens >= 1 && !choice.sharedSegment.empty())
        m_parts.metrics.count("long_prompts_gathered");
    if (!m_parts.endpoints.mayHaveRestarted(*attempt.endpoint, now()))
        attempt.build = attempt.endpoint->build;
    const ServiceSettings* settings = m_routes->findService(m_service);
    unsigned slots = attempt.endpoint->record.slots > 0 ? attempt.endpoint->record.slots : settings->slots;
    attempt.hadFreeSlot = slots == 0 || m_parts.endpoints.pendingWork(*attempt.endpoint).requests < slots;
    m_parts.endpoints.recordAttemptStarted(*attempt.endpoint, now());
    if (attempt.endpoint->limit.named.perSecond)
        m_parts.metrics.count("requests_to_limited_endpoints");
    const PromptSegment* shared = sharedSegment();
    attempt.unreadTokens = m_parts.endpoints.recordSegmentAndGetPrefillTokens(*attempt.endpoint, m_request.facts.promptTokens, shared ? shared->tokens : 0, shared ? shared->id : std::string(), now(), fetchSource != nullptr);
    if (fetchSource) {
        ++fetchSource->segmentTransfers;
        m_parts.metrics.count("segment_fetches");
        m_parts.metrics.count("segment_fetch_tokens", static_cast<double>(choice.sharedTokens));
        attempt.fetchSource = std::move(fetchSource);
    }
    attempt.endpoint->unprefilledTokens += attempt.unreadTokens;
    attempt.heldTokens = choice.memoryTokens;
    attempt.endpoint->heldTokens += attempt.heldTokens;
    if (choice.isMixed) {
        ResponseEstimate estimate = EndpointTable::responseEstimateOf(*attempt.endpoint, now());
        EndpointWork ahead = m_parts.endpoints.pendingWork(*attempt.endpoint);
        ahead.requests -= 1;
        attempt.predictedFirstByte = EndpointTable::predictedWait(*attempt.endpoint, estimate, ahead, *choice.service) + idleFirstByte(estimate);
    }
    attempt.unreadKilotokensAtStart = m_parts.endpoints.pendingWork(*attempt.endpoint).unprefilledKilotokens;
    startAttempt(std::move(attempt), std::move(request));
}

// Returns the other regions that may process the request and haven't been tried, with
// the number of their usable endpoints.
std::map<std::string, std::size_t> RoutedRun::untriedRegions(const std::string& service) const
{
    std::map<std::string, std::size_t> regions;
    for (const auto& [region, usable] : m_parts.endpoints.usableByRegion(service, now(), m_streamBuild)) {
        bool wasTried = std::find(m_triedRegions.begin(), m_triedRegions.end(), region) != m_triedRegions.end();
        if (region != m_parts.region && isHome(region) && !wasTried)
            regions.emplace(region, usable);
    }
    return regions;
}

// Regions with too long a wait are excluded, unless the request may have run or its
// answer has begun.
std::map<std::string, std::size_t> RoutedRun::regionsWithCapacity(const std::string& service) const
{
    std::map<std::string, std::size_t> regions = untriedRegions(service);
    if (m_mayHaveRun || m_hasSentHead)
        return regions;
    Duration longest = maxWait();
    for (auto region = regions.begin(); region != regions.end();) {
        std::optional<Duration> wait = expectedWaitIn(region->first);
        region = wait && *wait > longest ? regions.erase(region) : std::next(region);
    }
    return regions;
}

bool RoutedRun::sendToRegion(const std::string& service, const char* why)
{
    while (std::optional<std::string> region = chooseSpillRegion(regionAcceptance(), regionsWithCapacity(service), now(), m_parts.random)) {
        if (sendToEntryIn(*region, why))
            return true;
    }
    return false;
}

EndpointDemand RoutedRun::demandFor(const PromptSegment& segment) const
{
    EndpointDemand demand;
    demand.sharedSegment = segment.id;
    demand.prefillTime = std::chrono::duration_cast<Duration>(timePerKilotoken(defaultResponseEstimate()) * (static_cast<double>(segment.tokens) / tokensPerKilotoken));
    demand.maxWait = maxWait();
    return demand;
}

// Returns the regions whose expected wait is known and short enough for a request
// with the segment, this one included.
std::vector<SegmentRegionOption> RoutedRun::regionOptionsFor(const PromptSegment& segment, const std::optional<std::string>& keeperRegion, const ServiceSettings& settings) const
{
    Duration longest = maxWaitForOwner(demandFor(segment));
    std::vector<SegmentRegionOption> options;
    auto add = [&](const std::string& region, std::optional<Duration> wait, Duration roundTrip, bool isKept) {
        if (wait && *wait <= longest)
            options.push_back({ region, *wait, roundTrip, isKept });
    };
    if (isAllowedHere()) {
        std::optional<Duration> waitAtHolder = m_parts.endpoints.minWaitForSegment(settings, segment.id, now());
        ServiceOutlook here = m_parts.endpoints.outlook(settings, now());
        std::optional<Duration> waitAnywhere = here.endpoints > 0 ? std::optional<Duration>(here.wait) : std::nullopt;
        add(m_parts.region, waitAtHolder ? waitAtHolder : waitAnywhere, Duration::zero(), waitAtHolder || keeperRegion == m_parts.region);
    }
    for (const auto& [region, endpoints] : untriedRegions(m_service))
        add(region, expectedWaitIn(region), regionRoundTrip, keeperRegion == region);
    return options;
}

// A long shared segment is kept in one region. Forwarding the request to that region
// costs a round trip, which takes less time than reading the segment again.
bool RoutedRun::sendToSegmentRegion()
{
    if (m_request.isForwarded || m_attemptCount > 0)
        return false;
    const PromptSegment* segment = sharedSegment();
    const ServiceSettings* settings = m_routes->findService(m_service);
    if (!segment || !settings)
        return false;
    std::optional<std::string> keeperRegion = m_parts.endpoints.regionOfSegment(m_service, segment->id, m_homeRegions, now());
    // A region without a load report gets the request if its acceptance is high enough.
    bool isUnknown = keeperRegion && *keeperRegion != m_parts.region && !expectedWaitIn(*keeperRegion);
    if (isUnknown)
        return regionAcceptance().acceptanceOf(*keeperRegion, now()) > minOwnerAcceptance && sendToEntryIn(*keeperRegion, "part");
    std::vector<SegmentRegionOption> options = regionOptionsFor(*segment, keeperRegion, *settings);
    const SegmentRegionOption* chosen = chooseSegmentRegion(options, demandFor(*segment).prefillTime, m_parts.random);
    bool shouldForward = chosen && chosen->region != m_parts.region;
    return shouldForward && sendToEntryIn(chosen->region, chosen->cachesSegment ? "part" : "part_moved");
}

bool RoutedRun::sendToEntryIn(const std::string& region, const char* why)
{
    std::optional<SocketAddress> peer = m_parts.entries.choosePeer(region, now(), m_parts.random, m_triedEntries);
    // A request that may not be processed here can only be served by an entry of another
    // region. Its registration may have been removed while it still runs.
    if (!peer && !isAllowedHere())
        peer = m_parts.entries.chooseDepartedPeer(region, now(), m_parts.random);
    if (!peer) {
        m_triedRegions.push_back(region);
        return false;
    }
    sendToRegionEntry(*peer, region, why);
    return true;
}

void RoutedRun::sendToRegionEntry(const SocketAddress& peer, const std::string& region, const char* why)
{
    m_triedRegions.push_back(region);
    m_parts.metrics.count("forwards_to_regions");
    m_parts.outlooks.recordSent(region, m_service, m_request.facts.promptTokens, now());
    // Prompt data of a request that is bound to other regions isn't kept here, not even
    // as a hash.
    const PromptSegment* shared = isAllowedHere() ? sharedSegment() : nullptr;
    if (shared)
        m_parts.endpoints.recordSentToRegion(region, shared->id, now());
    sendToEntry(peer, region, why);
}

void RoutedRun::sendToEntry(const SocketAddress& peer, const std::string& region, const char* why)
{
    m_triedEntries.push_back(peer);
    HttpClientRequest request = makeRequest(peer, {});
    request.headers.set(attemptsLeftHeader, std::to_string(m_route->attempts - std::min(m_possiblyRunAttempts, m_route->attempts)));
    request.headers.set(earlierAttemptsHeader, std::to_string(m_possiblyDeliveredAttempts));
    if (!m_workspaceName.empty())
        request.headers.set(workspaceNameHeader, m_workspaceName);
    if (m_streamBuild)
        request.headers.set(streamBuildHeader, absl::StrCat(absl::Hex(*m_streamBuild)));
    request.connectTimeout = region == m_parts.region ? localConnectTimeout : peerConnectTimeout;
    Attempt attempt;
    attempt.target = AttemptTarget::Entry;
    attempt.region = region;
    attempt.why = why;
    attempt.peer = peer;
    startAttempt(std::move(attempt), std::move(request));
}

HttpClientRequest RoutedRun::makeRequest(const SocketAddress& server, AttemptFacts facts) const
{
    HttpClientRequest request;
    request.server = server;
    request.method = m_request.http.method;
    request.target = m_request.http.path;
    if (!m_request.http.query.empty())
        absl::StrAppend(&request.target, "?", m_request.http.query);
    request.headers = m_request.facts.forwardedHeaders;
    facts.timeLeft = std::max(timeLeft() - deadlineMargin, milliseconds(1));
    if (m_cursor.lastId())
        facts.resumeAfter = *m_cursor.lastId();
    m_parts.dialect.writeAttempt(facts, request.headers);
    request.body = m_request.http.body;
    request.echoedField = m_parts.dialect.attemptIdHeader;
    request.headTimeout = timeLeft() + exchangeMargin;
    request.idleTimeout = request.headTimeout;
    return request;
}

void RoutedRun::startAttempt(Attempt attempt, HttpClientRequest request)
{
    auto self = shared_from_this();
    ++m_attemptCount;
    attempt.number = ++m_parts.lastAttemptNumber;
    attempt.startedAt = now();
    m_lastTarget = attempt.endpoint ? attempt.endpoint->record.incarnation : attempt.peer.toString();
    m_lastWhy = attempt.why;
    m_lastSoftwareVersion = attempt.endpoint ? attempt.endpoint->record.softwareVersion : std::string();
    std::uint64_t number = attempt.number;
    auto isCurrent = [number](const RoutedRun& run) { return run.m_attempt && run.m_attempt->number == number; };
    HttpClient& client = attempt.target == AttemptTarget::Entry ? m_parts.peerClient : m_parts.endpointClient;
    attempt.bufferedBody = std::make_unique<BufferedBytes>(m_parts.answerBuffers);
    attempt.heldBody = std::make_unique<HeldBytes>(m_parts.clientMemory, HeldFor::Answer);
    m_attempt = std::move(attempt);
    m_cursor.beginAttempt();
    HttpClientCallbacks callbacks;
    callbacks.onHead = [self, isCurrent](const HttpResponseHead& head) {
        if (isCurrent(*self))
            self->onHead(head);
    };
    callbacks.onBody = [self, isCurrent](absl::string_view bytes) {
        if (isCurrent(*self))
            self->onBody(bytes);
    };
    callbacks.onEnd = [self, isCurrent](const HttpResult& result) {
        if (isCurrent(*self))
            self->onEnd(result);
    };
    m_attempt->exchange = client.send(std::move(request), std::move(callbacks));
    registerFailureCallback();
}

// The endpoint table may detect that the endpoint has stopped before the connection
// fails.
void RoutedRun::registerFailureCallback()
{
    if (!m_attempt->endpoint)
        return;
    std::uint64_t number = m_attempt->number;
    m_attempt->endpoint->abortCallbacks[number] = [weak = weak_from_this(), number](AbortReason reason) {
        std::shared_ptr<RoutedRun> self = weak.lock();
        if (self && self->m_attempt && self->m_attempt->number == number)
            self->onEndpointFailure(reason);
    };
}

void RoutedRun::onEndpointFailure(AbortReason reason)
{
    if (reason == AbortReason::Unresponsive) {
        replaceSilentAttempt();
        return;
    }
    // It isn't known whether the events came from the start before or from the later one.
    if (reason == AbortReason::RestartedAtOtherVersion && m_attempt->hasBroughtEvents) {
        m_streamBuild.reset();
        m_attempt->build.reset();
        stateStreamBuild(*m_attempt);
    }
    abandonAttempt("endpoint_started_again");
}

} // namespace catkinwing
