#pragma once

#include "catkinwing/Admission/WaitLimit.h"
#include "catkinwing/Coordination/TokenBucket.h"
#include "catkinwing/Ingress/Dialect.h"
#include "catkinwing/Ingress/PeerLoads.h"
#include "catkinwing/Membership/ShareDivision.h"
#include "catkinwing/PeerProtocol/RegionReport.h"
#include "catkinwing/Routing/AnswerTimes.h"
#include "catkinwing/Routing/EndpointChoice.h"
#include "catkinwing/Routing/PartHolders.h"
#include "catkinwing/Routing/PartRegions.h"
#include "catkinwing/Support/Random.h"
#include <absl/container/flat_hash_map.h>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <utility>

namespace catkinwing {

/// Why attempts under way at an endpoint are given up.
enum class GiveUpReason {
    /// A later start has taken its place: nothing will come any more.
    StartedAgain,
    /// It has sent nothing for long, and most entries that use it say so; it may
    /// be alive, so that only what may be repeated leaves.
    Silent,
};

/// One start of one endpoint as this entry knows it. Shared with the requests
/// that are at it, which may outlive its registration.
struct RoutedEndpoint {
    EndpointRecord record;
    /// Names it in load reports.
    std::uint32_t hash { 0 };
    std::string region;
    /// It has asked this entry for no requests until then.
    TimePoint pausedUntil {};
    /// Never reverts; a new start under the same name is another RoutedEndpoint.
    bool isLeaving { false };
    /// What is registered under its name can't be read, so it is not used
    /// until it can be again.
    bool isUnreadable { false };
    /// Its registration has vanished in an outage of the store.
    bool isMissing { false };
    TimePoint coldUntil {};
    /// Passed over until then after a failure.
    TimePoint suspectUntil {};
    /// Share of failures among the last attempts, as of failureShareAt.
    double failureShare { 0 };
    TimePoint failureShareAt {};
    TimePoint nextSuspectLog {};
    /// Since when it has requests of this entry and has sent nothing.
    TimePoint quietSince {};
    /// Requests of this entry that it has not answered.
    unsigned inFlight { 0 };
    /// Tokens of their prompts that it has probably not read yet.
    std::int64_t unreadTokens { 0 };
    /// What this entry has learnt from all endpoints of its service in the region;
    /// shared with them.
    std::shared_ptr<AnswerTimes> serviceTimes { std::make_shared<AnswerTimes>() };
    /// How soon it has answered this entry itself.
    AnswerTimes answerTimes;
    /// This entry's part of what it bears while cold.
    std::optional<TokenBucket> coldRate;
    /// Gives up each attempt of this entry that is under way there, by its number.
    absl::flat_hash_map<std::uint64_t, std::function<void(GiveUpReason reason)>> giveUps;
};

/// What a request asks of its endpoint.
struct EndpointRequest {
    const ServiceSettings* service { nullptr };
    std::string sharedPart;
    std::int64_t sharedTokens { 0 };
    /// Events that its answer is likely to have.
    double events { 0 };
    /// Incarnations that have had the request.
    const std::vector<std::string>* tried { nullptr };
    /// Also takes one of those, if no other is there.
    bool mayBeTried { false };
    /// Leaves out endpoints at which it would wait for longer; all count if null.
    const WaitDemand* demand { nullptr };
};

/// The endpoints of all regions, by their incarnations, and what this entry
/// has learnt about those of its own region.
class EndpointTable {
public:
    /// \p regionOfZone maps each availability zone to its region.
    EndpointTable(std::string region, std::map<std::string, std::string> regionOfZone);

    /// Takes a registration as the store has it. A later start under a known
    /// name replaces the one before, of which nothing is kept; an earlier one is
    /// ignored.
    void put(EndpointRecord record, TimePoint now);
    /// What is registered under the name can't be read. It names no endpoint to
    /// use; one that was known stays unused until a readable registration.
    void noteUnreadable(const std::string& incarnation);
    /// The registration is gone and the store was calm: nothing more is sent there.
    void remove(const std::string& incarnation, TimePoint now);
    /// The registration has vanished while the store was in trouble; removed by
    /// removeMissing() unless it comes back.
    void noteMissing(const std::string& incarnation);
    /// Removes all that is missing: it would be back by now.
    void removeMissing(TimePoint now);
    /// Sets the zones to which nothing is sent. Those of a zone that comes back are cold.
    void setEvacuated(std::set<std::string> zones, const RouteTable* routes, TimePoint now);
    /// Sets who shares the endpoints of the region, this entry included under
    /// the name \p self.
    void setEntriesOfRegion(std::vector<std::string> entries, std::string self);
    /// Sets how far all entries together may go beyond a cold endpoint's rate.
    void setColdTolerance(double ratio, double slack);

    /// Chooses an endpoint of this region and counts the request against its
    /// rate while it is cold; null if none may get it.
    std::shared_ptr<RoutedEndpoint> choose(const EndpointRequest& request, TimePoint now, Random& random);
    void noteBegan(RoutedEndpoint& endpoint, TimePoint now) const;
    /// Gives up what may be repeated at endpoints of this region that are silent.
    void leaveSilent(TimePoint now);
    /// This entry stood still: the silence since was its own.
    void forgiveSilence(TimePoint now);
    /// Returns the work before an endpoint, as far as the entries of the region know.
    EndpointWork workOf(const RoutedEndpoint& endpoint) const;
    /// Returns how long a request that came now would wait there.
    static Duration waitAt(const RoutedEndpoint& endpoint, const AnswerEstimate& estimate, const EndpointWork& work, const ServiceSettings& service);
    /// Returns how soon the endpoint answers, beginning with what is known of its service.
    static AnswerEstimate answersOf(const RoutedEndpoint& endpoint, TimePoint now);
    /// The first byte of an answer has come; as learnFirstByte().
    static void noteFirstByte(RoutedEndpoint& endpoint, double kilotokens, Duration took, TimePoint now);
    /// A request has left its slot after \p held.
    static void noteHeld(RoutedEndpoint& endpoint, Duration held, TimePoint now);
    /// A stream has gone on by \p events after \p pause.
    static void noteEvents(RoutedEndpoint& endpoint, std::size_t events, Duration pause, TimePoint now);
    /// Bytes have come from the endpoint.
    void noteHeard(RoutedEndpoint& endpoint, TimePoint now) const { endpoint.quietSince = now; }
    /// Returns how many tokens of a prompt the endpoint will have to read, and
    /// notes that it will have read the shared part.
    std::int64_t tokensToRead(const RoutedEndpoint& endpoint, std::int64_t promptTokens, std::int64_t sharedTokens, absl::string_view sharedPart, TimePoint now);
    /// Notes that a request with the shared part went to \p region.
    void noteSentToRegion(const std::string& region, absl::string_view sharedPart, TimePoint now);
    /// The endpoint has not run the request, and so has not read its shared part.
    void noteNotRead(const RoutedEndpoint& endpoint, absl::string_view sharedPart);
    /// Returns how long a request would wait for the least busy endpoint of this
    /// region that keeps its shared part; nothing if none does.
    std::optional<Duration> waitForHolder(const ServiceSettings& service, absl::string_view sharedPart, TimePoint now) const;
    /// Takes what another entry of the region has sent.
    void takePartsSent(const std::vector<PartSent>& parts, TimePoint now);
    /// Returns what this entry has sent since the last call, for the others.
    std::vector<PartSent> partsSent() { return std::exchange(m_partsSent, {}); }
    /// Notes the end of an attempt; \p isFailure if the endpoint, not the request, was at fault.
    void noteEnded(RoutedEndpoint& endpoint, bool isFailure, TimePoint now);
    /// The endpoint has said itself that it is leaving, or has gone. Holds for this
    /// start also where its registration says otherwise or comes anew.
    void noteLeaving(RoutedEndpoint& endpoint, TimePoint now);
    /// The endpoint has refused a request and wants none for \p pause.
    static void notePause(RoutedEndpoint& endpoint, std::chrono::milliseconds pause, TimePoint now);
    /// Returns how long until an endpoint of this region, all of which have asked
    /// for a pause, may get requests; zero if one may now, or none is there.
    Duration pauseOf(absl::string_view service, TimePoint now) const;

    /// What this entry has under way at its region's endpoints, for the others.
    std::vector<EndpointWorkload> ownLoads(TimePoint now) const;
    PeerLoads& peerLoads() { return m_peerLoads; }

    /// Returns what a request of \p service would meet at the endpoints of this
    /// region. Cold endpoints count only where all are.
    ServiceOutlook outlook(const ServiceSettings& service, TimePoint now) const;
    /// Returns how long the endpoints of the region together are busy with a
    /// request of \p promptTokens, times the entries that share them: at that
    /// interval this entry can send them such requests.
    Duration workPerRequest(absl::string_view service, std::int64_t promptTokens, TimePoint now) const;
    /// Returns how many endpoints of each region could serve \p service.
    std::map<std::string, std::size_t> usableByRegion(absl::string_view service, TimePoint now) const;
    /// Returns the region where \p sharedPart was used last, or else that of the
    /// endpoint that owns it, among those of \p regions, or of all if empty;
    /// nothing if none is usable.
    std::optional<std::string> regionOfPart(absl::string_view service, absl::string_view sharedPart, const std::vector<std::string>& regions, TimePoint now) const;
    std::size_t size() const { return m_endpoints.size(); }
    /// Calls \p visit with each endpoint of every region.
    void forEach(const std::function<void(RoutedEndpoint&)>& visit) const;
    /// Calls \p observer with each start that a later one has replaced, before
    /// the attempts under way there are given up.
    void onReplaced(std::function<void(RoutedEndpoint&)> observer) { m_onReplaced = std::move(observer); }

private:
    using Endpoints = std::vector<std::shared_ptr<RoutedEndpoint>>;

    /// Hash under which load reports name a region.
    static std::uint32_t placeHash(absl::string_view region);
    void reportPart(const PartSent& sent);
    static double failureShareOf(const RoutedEndpoint& endpoint, TimePoint now);
    static bool isSuspectHere(const RoutedEndpoint& endpoint, TimePoint now);
    bool isSuspect(const RoutedEndpoint& endpoint, TimePoint now) const;
    EndpointCandidate candidateOf(const RoutedEndpoint& endpoint, const EndpointRequest& request, TimePoint now) const;
    static EndpointDemand demandOf(const EndpointRequest& request);
    bool isUsable(const RoutedEndpoint& endpoint) const;
    /// As isUsable(), but for those that have asked for a pause.
    bool isOpen(const RoutedEndpoint& endpoint, TimePoint now) const { return isUsable(endpoint) && now >= endpoint.pausedUntil; }
    static std::string startName(const EndpointRecord& record);
    bool hasSaidLeaving(const EndpointRecord& record, TimePoint now) const;
    bool isOutdated(const EndpointRecord& record) const;
    void endStart(RoutedEndpoint& endpoint);
    void enlist(const std::shared_ptr<RoutedEndpoint>& endpoint, const std::string& service);
    void forget(const std::string& incarnation);
    bool hasRoom(const RoutedEndpoint& endpoint, const ServiceSettings& service) const;
    bool tryTakeCold(RoutedEndpoint& endpoint, const ServiceSettings& service, TimePoint now) const;

    std::string m_region;
    std::map<std::string, std::string> m_regionOfZone;
    /// Regions by the hash under which load reports name them.
    absl::flat_hash_map<std::uint32_t, std::string> m_regionOfPlace;
    absl::flat_hash_map<std::string, std::shared_ptr<RoutedEndpoint>> m_endpoints;
    absl::flat_hash_map<std::string, Endpoints> m_ofService;
    /// What is common to the endpoints of each service in this region.
    absl::flat_hash_map<std::string, std::shared_ptr<AnswerTimes>> m_serviceTimes;
    std::set<std::string> m_evacuated;
    std::vector<std::string> m_entriesOfRegion;
    std::string m_self;
    PeerLoads m_peerLoads;
    PartHolders m_partHolders;
    PartRegions m_partRegions;
    std::vector<PartSent> m_partsSent;
    SharedRate m_coldTolerance { 0, 1.5, 3 };
    /// Latest start of names whose endpoint was removed.
    absl::flat_hash_map<std::string, std::chrono::milliseconds> m_removedStarts;
    /// Until when starts that have said that they leave are believed to, by their names.
    absl::flat_hash_map<std::string, TimePoint> m_leavingStarts;
    std::function<void(RoutedEndpoint&)> m_onReplaced;
};

} // namespace catkinwing
