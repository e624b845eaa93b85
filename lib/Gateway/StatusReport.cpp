#include "catkinwing/Gateway/StatusReport.h"

#include "catkinwing/Gateway/CallerRequest.h"
#include "catkinwing/Routing/PlacementExplanation.h"
#include "catkinwing/Support/PrefixHash.h"
#include <absl/strings/str_cat.h>

namespace catkinwing {

static std::int64_t toMilliseconds(Duration span)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

static const char* stateName(MemberState state)
{
    switch (state) {
    case MemberState::Live:
        return "live";
    case MemberState::Suspect:
        return "suspect";
    case MemberState::Dead:
        break;
    }
    return "dead";
}

static const char* stateName(EndpointState state)
{
    switch (state) {
    case EndpointState::Live:
        return "live";
    case EndpointState::Leaving:
        return "leaving";
    case EndpointState::Ejected:
        break;
    }
    return "ejected";
}

static nlohmann::json membersReport(const MembershipView& view)
{
    nlohmann::json members = nlohmann::json::array();
    for (const MemberView& member : view.members) {
        members.push_back({
            { "name", member.identity.ref.name },
            { "state", stateName(member.state) },
            { "draining", member.draining },
            { "hears_us", member.receivesOurMessages },
            { "operator_address", member.identity.operatorAddress.toString() },
        });
    }
    return members;
}

static nlohmann::json zonesReport(const MembershipView& view, TimePoint now)
{
    nlohmann::json zones = nlohmann::json::array();
    for (const ZoneView& zone : view.zones) {
        nlohmann::json entries = nlohmann::json::array();
        for (const ZoneEntry& entry : zone.entries)
            entries.push_back({ { "name", entry.ref.name }, { "draining", entry.draining } });
        zones.push_back({
            { "zone", zone.zone },
            { "region", zone.region },
            { "reachable", zone.isReachable },
            { "age_ms", zone.isReachable ? toMilliseconds(now - zone.madeAt) : -1 },
            { "entries", std::move(entries) },
        });
    }
    return zones;
}

static nlohmann::json endpointsReport(const EndpointRegistry& registry)
{
    nlohmann::json endpoints = nlohmann::json::array();
    const CellView& cell = registry.cell();
    for (const std::string& name : registry.names()) {
        std::optional<EndpointHandle> handle = cell.find(name);
        if (!handle)
            continue;
        const EndpointView& view = cell.endpoint(*handle);
        const EndpointSettings* settings = registry.settings(name);
        endpoints.push_back({
            { "name", name },
            { "state", stateName(view.state) },
            { "incarnation", view.incarnation },
            { "slots", view.slots },
            { "credits", view.credits },
            { "in_flight", view.ownInFlight },
            { "running", view.report ? view.report->running : 0 },
            { "waiting", view.report ? view.report->waiting : 0 },
            { "checks_caller", settings->checksCaller },
        });
    }
    return endpoints;
}

static nlohmann::json sharesReport(const AdmissionController& admission)
{
    nlohmann::json shares = nlohmann::json::array();
    for (const ServiceCounter& counter : admission.servedCounters())
        shares.push_back({ { "team", counter.team }, { "pool", counter.pool }, { "served_tokens", counter.tokens } });
    return shares;
}

nlohmann::json statusReport(const RequestBroker& broker, Membership& membership, const ConfigKeeper& config, TimePoint now)
{
    const EntryIdentity& self = membership.self();
    const MembershipView& view = membership.view();
    nlohmann::json documents = nlohmann::json::object();
    for (const ConfigRevision& revision : config.revisions())
        documents[revision.path] = revision.revision;
    nlohmann::json rejected = nlohmann::json::array();
    for (const RejectedDocument& document : config.tree().rejected())
        rejected.push_back({ { "path", document.path.toString() }, { "revision", document.revision } });
    return {
        { "entry", { { "name", self.ref.name }, { "zone", self.zone }, { "region", self.region } } },
        { "members", membersReport(view) },
        { "zones", zonesReport(view, now) },
        { "endpoints", endpointsReport(broker.parts().endpoints) },
        { "served", sharesReport(broker.admission()) },
        { "requests", { { "running", broker.running() }, { "queued", broker.queued() } } },
        { "config", { { "digest", absl::StrCat(absl::Hex(config.tree().digest())) }, { "watching", config.isWatching() }, { "following", config.isFollowing() }, { "documents", std::move(documents) }, { "rejected", std::move(rejected) } } },
    };
}

static nlohmann::json termsReport(const CostTerms& terms)
{
    return {
        { "queue_ms", toMilliseconds(terms.queue) },
        { "slot_wait_ms", toMilliseconds(terms.slotWait) },
        { "prefill_ms", toMilliseconds(terms.prefill) },
        { "network_ms", toMilliseconds(terms.network) },
        { "adapter_load_ms", toMilliseconds(terms.adapterLoad) },
        { "slow_start_ms", toMilliseconds(terms.slowStart) },
        { "total_ms", toMilliseconds(terms.total) },
    };
}

static nlohmann::json candidatesReport(const PlacementExplanation& explanation)
{
    nlohmann::json candidates = nlohmann::json::array();
    for (const CandidateExplanation& candidate : explanation.candidates) {
        nlohmann::json row = { { "endpoint", candidate.endpoint }, { "cached_tokens", candidate.cachedTokens }, { "near_best", candidate.nearBest } };
        if (candidate.exclusion)
            row["left_out"] = toString(*candidate.exclusion);
        else
            row["terms"] = termsReport(candidate.terms);
        candidates.push_back(std::move(row));
    }
    return candidates;
}

absl::StatusOr<nlohmann::json> explainRequest(const std::string& body, RequestBroker& broker, const ConfigSnapshot& snapshot, TimePoint now)
{
    nlohmann::json question = nlohmann::json::parse(body, nullptr, false);
    if (!question.is_object())
        return absl::InvalidArgumentError("the question is not a JSON object");
    RoutingRequest routing;
    std::string teamName;
    std::string prompt;
    try {
        teamName = question.at("team").get<std::string>();
        routing.model = question.at("model").get<std::string>();
        routing.adapter = question.value("adapter", std::string());
        prompt = question.value("prompt", std::string());
    } catch (const nlohmann::json::exception& fault) {
        return absl::InvalidArgumentError(absl::StrCat("question: ", fault.what()));
    }
    const TeamDocument* team = findTeam(snapshot, teamName);
    if (!team)
        return absl::InvalidArgumentError(absl::StrCat("there is no team '", teamName, "'"));
    constexpr double bytesPerToken = 4;
    routing.residency = residencyOf(*team);
    routing.promptTokens = static_cast<double>(prompt.size()) / bytesPerToken;
    routing.prefixHashes = scopedPrefixHashes(prefixHashes(prompt), routing.model, routing.adapter);
    const EndpointRegistry& endpoints = broker.parts().endpoints;
    PlacementExplanation explanation = explainPlacement(routing, endpoints.cell(), endpoints.prefixes(), endpoints.policy(), now);
    nlohmann::json cells = nlohmann::json::array();
    for (const RemoteCellView& cell : broker.parts().remoteCells.cells()) {
        auto model = cell.models.find(routing.model);
        nlohmann::json row = { { "zone", cell.zone }, { "region", cell.region }, { "reachable", cell.reachable }, { "allowed", isAllowed(routing.residency, cell.region) }, { "round_trip_ms", toMilliseconds(cell.roundTripTime) } };
        if (model != cell.models.end()) {
            row["free_slots"] = model->second.freeSlots;
            row["predicted_wait_ms"] = toMilliseconds(model->second.predictedWait);
        }
        cells.push_back(std::move(row));
    }
    return nlohmann::json {
        { "team", teamName },
        { "model", routing.model },
        { "region", broker.parts().region },
        { "zone", broker.parts().zone },
        { "verdict", explanation.noPlacement ? toString(*explanation.noPlacement) : "placed" },
        { "margin_ms", toMilliseconds(explanation.margin) },
        { "queued", broker.queued() },
        { "candidates", candidatesReport(explanation) },
        { "other_zones", std::move(cells) },
        { "share_sent_away", broker.parts().remoteCells.shareAway(routing.model) },
    };
}

void updateGauges(RequestBroker& broker, Membership& membership, const ConfigKeeper& config)
{
    Metrics& metrics = broker.parts().metrics;
    metrics.set("requests_running", static_cast<double>(broker.running()));
    metrics.set("requests_queued", static_cast<double>(broker.queued()));
    const MembershipCounters& counters = membership.counters();
    metrics.set("heartbeats_sent", static_cast<double>(counters.heartbeatsSent));
    metrics.set("heartbeats_received", static_cast<double>(counters.heartbeatsReceived));
    metrics.set("digests_sent", static_cast<double>(counters.digestsSent));
    metrics.set("members_died", static_cast<double>(counters.membersDied));
    metrics.set("freezes", static_cast<double>(counters.pauses));
    metrics.set("config_documents_applied", static_cast<double>(config.tree().counts().applied));
    metrics.set("config_documents_invalid", static_cast<double>(config.tree().counts().invalid));
    metrics.set("config_watching", config.isWatching() ? 1 : 0);
    metrics.set("config_following", config.isFollowing() ? 1 : 0);
}

} // namespace catkinwing
