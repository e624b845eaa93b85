#pragma once

#include "catkinwing/Admission/NamedLimit.h"
#include "catkinwing/Coordination/TokenBucket.h"
#include "catkinwing/Membership/ShareDivision.h"
#include <absl/container/flat_hash_map.h>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace catkinwing {

struct RoutedEndpoint;

/// The request limit of one endpoint, and what this entry may send there.
struct EndpointLimit {
    NamedLimit named;
    /// This entry's share of the limit; nothing if it has none.
    std::optional<TokenBucket> share;
    /// The other entries that have a share of the limit, as "IP:PORT".
    std::vector<std::string> otherHolders;
    /// Expiry times of the requests that other entries have granted to this one.
    std::vector<TimePoint> grants;
    /// When the other entries were last told of a change.
    TimePoint toldAt {};
};

/// Keeps this entry within its part of the request limits that endpoints name. A limit
/// applies to all entries of the region together: a few of them hold a share each, and grant
/// others requests out of it.
class EndpointLimits {
public:
    /// Sets the entries that send to the endpoints of the region. \p self is the name of this
    /// entry among them.
    void setSharers(const std::vector<RateSharer>& sharers, const std::string& self, TimePoint now);
    /// Records the limit that an answer of the endpoint names; nothing if it names none.
    void recordAnswer(const std::shared_ptr<RoutedEndpoint>& endpoint, std::optional<double> perSecond, TimePoint now);
    /// Records the limit that an answer to another entry has named.
    void mergeAnswer(const std::shared_ptr<RoutedEndpoint>& endpoint, const LimitStatement& answer, TimePoint now);
    /// Applies the statement of another entry.
    void merge(const std::shared_ptr<RoutedEndpoint>& endpoint, const LimitStatement& statement, TimePoint now);

    /// Returns whether this entry may send a request to the endpoint.
    static bool hasRequest(const EndpointLimit& limit, TimePoint now);
    /// Takes one request from what this entry may send; false if there is none.
    static bool tryTake(EndpointLimit& limit, TimePoint now);
    /// Takes one request from this entry's share for another entry; false if there is none.
    static bool tryGrant(EndpointLimit& limit, TimePoint now);
    /// Adds a request that another entry has granted.
    static void addGrant(EndpointLimit& limit, TimePoint now);
    /// Returns the time until this entry's share has a request.
    static Duration timeToRequest(const EndpointLimit& limit, TimePoint now);

    /// Returns the endpoints whose limit has changed, as seen in answers to this entry, since
    /// the other entries were told. Clears them.
    std::vector<std::shared_ptr<RoutedEndpoint>> takeChanged(TimePoint now);
    /// Returns the endpoints with answers to this entry that may end or raise their limit.
    /// Clears them.
    std::vector<std::shared_ptr<RoutedEndpoint>> takeRaised();
    /// Returns the endpoints that have a limit, or had one in the last minute.
    std::vector<std::shared_ptr<RoutedEndpoint>> known(TimePoint now);

private:
    using EndpointSet = absl::flat_hash_map<std::uint32_t, std::weak_ptr<RoutedEndpoint>>;

    void apply(const std::shared_ptr<RoutedEndpoint>& endpoint, const char* source, TimePoint now);
    void updateShare(RoutedEndpoint& endpoint, TimePoint now) const;

    std::vector<RateSharer> m_sharers;
    std::string m_self;
    /// Endpoints that have named a limit, by hash.
    EndpointSet m_known;
    EndpointSet m_changed;
    EndpointSet m_raised;
};

} // namespace catkinwing
