#pragma once

#include "core/mechanism.h"
#include "replicas/first_byte_time_estimator.h"
#include "replicas/prefix_cache.h"
#include "replicas/replica_entry.h"
#include "replicas/replica_outlier_detector.h"
#include "replicas/replica_reports.h"

#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace azurehill {

/// \brief Input for the choice of a replica for one request.
struct placement_request
{
    std::string service;
    /// The prompt parts in order; empty for plain services.
    std::vector<prompt_part> parts;
    /// The replica that answered the previous turn and has read the prompt up to that turn; or
    /// empty.
    replica_incarnation lastReplica;
    /// Prompt tokens up to the previous turn.
    std::int64_t lastTokens = 0;
    /// Id of a session whose caller sends the whole prompt with each turn, or empty. Its turns may
    /// arrive at any daemon, and no daemon knows which replica answered the previous one.
    std::string session;
    /// Number of earlier turns of the program, as far as this daemon knows.
    std::int64_t turnsBefore = 0;
    /// Tokens of the whole prompt.
    std::int64_t promptTokens = 0;
    /// Replicas that the request has already been sent to.
    std::set<replica_incarnation> tried;
    /// Whether the replica may end under the request, which then goes to one with few others.
    bool mayEndReplica = false;
    /// Key of the object that the request refers to if its route prefers one replica per object; or
    /// empty.
    std::string affinityKey;
};

/// \brief Outcome of sending a request to a replica.
enum class send_outcome {
    Answered,
    /// The replica answered with a failure of its own.
    Failed,
    /// The replica did not run the request.
    NotRun,
    /// The answer broke off.
    Broken,
    /// The replica stopped responding.
    Silent,
    /// No connection could be made.
    Unreachable,
    /// The client left or the request ran out of time.
    Cancelled
};

template <>
struct enum_names<send_outcome>
{
    static constexpr std::array<std::string_view, 7> names
        = {"answered", "failed", "not_run", "broken", "silent", "unreachable", "cancelled"};
};

/// \brief The choice of a replica for a request, with the figures behind it.
struct placement
{
    replica_entry replica;
    /// This daemon's outstanding requests at the replica.
    int outstanding = 0;
    /// Prompt tokens that the replica is expected to have cached.
    std::int64_t cachedTokens = 0;
    /// Expected time to the first byte of the answer plus penalties, in milliseconds.
    double cost = 0;
    /// Number of replicas considered that accept requests.
    int candidates = 0;
};

/// \brief Tells whether this daemon has an idle connection to an address that the request may
/// reuse.
using idle_connection_lookup = std::function<bool(const endpoint &)>;

/// \brief Cost-based load balancer over the replicas of all services, with prefix-cache awareness.
///
/// It keeps the state of each listed replica: this daemon's outstanding requests, health, speed and
/// a model of its prefix cache.
class replica_load_balancer
{
public:
    replica_load_balancer(data_centre_id here, std::uint64_t seed,
                          const mechanism_set &mechanisms = {});

    /// \brief Sets the entries that the store lists. A replica that has restarted under its id
    /// begins with fresh state, since observations of the old process don't apply to the new one.
    /// \returns the entries of processes that were replaced by a newer incarnation.
    std::vector<replica_entry> setReplicas(const std::vector<replica_entry> &listed,
                                           time_point now);
    /// \brief Sets whether the entries are so old that a replica may have left without this daemon
    /// knowing it. No replica is chosen then.
    void setOutdated(bool isOutdated) { m_isOutdated = isOutdated; }
    /// \brief Sets the number of daemons that send requests to the replicas; this one knows only
    /// its own requests.
    void setDaemons(int count) { m_daemons = std::max(1, count); }
    /// \brief Sets the number of prompt parts that the models of all replicas' caches hold
    /// together.
    void setMaxPromptParts(std::size_t count) { m_maxPromptParts = count; }
    /// \brief Sets the cache size of a replica of \p service in tokens.
    void setCacheTokens(const std::string &service, std::int64_t tokens);
    /// \brief The replica has announced that it is leaving, or another one has its address.
    void setLeaving(const replica_incarnation &who);
    /// \returns whether \p who is listed, that is, not known to have ended.
    bool isListed(const replica_incarnation &who) const { return find(who) != nullptr; }
    /// \returns the entry of \p who, or null if it is not listed.
    const replica_entry *entryOf(const replica_incarnation &who) const;
    /// \returns whether \p who is listed and has announced that it leaves.
    bool isDraining(const replica_incarnation &who) const;
    /// \returns whether \p who takes requests: it is listed, does not leave, and the entries are
    /// not outdated.
    bool isAccepting(const replica_incarnation &who) const;
    /// \returns whether a request that \p who has got may be sent to it again: it takes requests,
    /// or it drains and its drain time has not ended.
    bool mayRepeatAt(const replica_incarnation &who, time_point now) const;
    /// \returns whether a different process is listed under the id of \p who.
    bool isReplaced(const replica_incarnation &who) const;

    /// \returns the replica with the lowest cost for the request; one with an idle connection if
    /// its cost differs by no more than the random factor on costs. Replicas that refused a request
    /// shortly before are chosen only if no other is left, ejected ones only if no such replica is
    /// left either; nothing is returned if all are draining, leaving or tried, or if the
    /// entries are outdated.
    /// \param hasIdleConnection whether a connection can be reused. Without it, no replica needs a
    /// new connection.
    std::optional<placement> choose(const placement_request &request, time_point now,
                                    const idle_connection_lookup &hasIdleConnection = {});

    /// \returns the placement at \p who, which a dispatcher has chosen, or nothing if this daemon
    /// does not know that replica as one that accepts requests.
    /// \param cachedTokens prompt tokens that the replica is expected to have cached.
    std::optional<placement> placementAt(const replica_incarnation &who,
                                         std::int64_t cachedTokens) const;
    /// \returns the entries of the replicas of \p service.
    std::vector<replica_entry> entries(const std::string &service) const;

    /// \brief Calls \p visit with the entry of each listed replica.
    void forEachEntry(const std::function<void(const replica_entry &)> &visit) const;

    /// \brief The request of \p p is sent.
    void onSent(const placement &p, const placement_request &request, time_point now);
    /// \brief The first byte of the answer arrived \p waited after the request was sent.
    void onFirstByte(const placement &p, const placement_request &request, duration waited,
                     time_point now);
    /// \brief The replica refused the request of \p p because it is full.
    void onShed(const placement &p, const placement_request &request, time_point now);
    /// \brief Bytes of an answer arrived.
    void onBytesReceived(const replica_incarnation &who, time_point now);
    /// \brief The request of \p p has ended.
    void onDone(const placement &p, send_outcome outcome, time_point now);

    /// \returns this daemon's recent observations of replicas that fail requests or have recovered,
    /// for the other daemons.
    replica_reports recentReports(time_point now) const;
    /// \brief Updates the health of the replicas from the reports of other daemons.
    void mergeReports(const std::vector<replica_reports> &received, time_point now);

    /// \returns when bytes of the replica last arrived on any connection.
    time_point lastReceivedAt(const replica_incarnation &who) const;
    /// \returns the time to the first byte that answers of \p service rarely exceed: the estimate
    /// for a cached prompt plus a multiple of the deviation. Nothing until there are enough
    /// samples.
    std::optional<duration> typicalFirstByteTime(std::string_view service) const;
    std::size_t size() const { return m_replicas.size(); }
    /// \returns the number of ejected replicas.
    int ejectedReplicas() const;
    /// \returns the number of replicas of \p service that accept requests.
    int availableReplicas(std::string_view service, time_point now) const;
    /// \returns the sum of the slots of these replicas.
    int availableSlots(std::string_view service, time_point now) const;

private:
    /// \brief Recent uses of one prompt part.
    struct shared_part
    {
        int uses = 0;
        time_point usedAt;
    };
    /// \brief How readily a replica is chosen; a better one is preferred at any cost.
    enum class readiness { Ready, Shedding, Ejected };
    struct replica_state
    {
        replica_entry entry;
        bool leaving = false;
        int outstanding = 0;
        replica_outlier_detector health;
        /// Typical time to the first byte as a multiple of the service's.
        double slowness = 1;
        prefix_cache cache;
        time_point listedAt;
        /// Consecutive refusals because the replica was full, and until when it is avoided.
        int shedInRow = 0;
        time_point shedUntil;
    };
    struct service_state
    {
        first_byte_time_estimator firstByteTime;
        /// Recently sent prompt parts by id.
        std::unordered_map<std::string, shared_part> shared;
        /// This daemon's outstanding requests at the service's replicas, and their number.
        int outstanding = 0;
        int replicas = 0;
        /// Whether so many replicas of the service fail requests that the cause is assumed to be
        /// the requests, not the replicas.
        bool failsEverywhere = false;
        /// Cache size of a replica in tokens; 0 if not configured.
        std::int64_t cacheTokens = 0;
    };

    /// \returns the state of \p who, or null if a different process or none is listed under its id.
    const replica_state *find(const replica_incarnation &who) const;
    replica_state *find(const replica_incarnation &who);
    bool isAvailable(const replica_state &r, time_point now) const;
    readiness readinessOf(const replica_state &r, time_point now) const;
    /// \brief Updates \c failsEverywhere of \p service.
    void updateFailsEverywhere(const std::string &service);
    /// \returns the estimated mean number of outstanding requests at a replica, assuming that all
    /// daemons have as many as this one.
    double outstandingPerReplica(const service_state &service) const;
    void recordOutcome(replica_state &r, send_outcome outcome, time_point now);
    /// \returns the random time until this daemon's next trial request to a failing replica.
    duration trialDelay();
    std::size_t maxPartsPerReplica() const;
    /// \returns the tokens of a replica's cache that this daemon's prompts may occupy.
    std::int64_t cacheTokensForDaemon(const service_state &service) const;
    std::int64_t cachedTokens(const replica_state &r, const placement_request &request,
                              const service_state &service, time_point now) const;
    double cost(const replica_state &r, const placement_request &request, std::int64_t cached,
                const service_state &service);
    /// \returns the preferred replica of the session of \p request, which all daemons choose alike
    /// by rendezvous hashing, or null.
    const replica_state *sessionHome(const std::vector<upstream_id> &group,
                                     const placement_request &request, time_point now) const;
    void recordPartUses(service_state &service, const std::vector<prompt_part> &parts,
                        time_point now);

    data_centre_id m_here;
    std::minstd_rand m_random;
    mechanism_set m_mechanisms;
    int m_daemons = 1;
    std::size_t m_maxPromptParts = std::numeric_limits<std::size_t>::max();
    bool m_isOutdated = false;
    std::unordered_map<upstream_id, replica_state> m_replicas;
    std::map<std::string, std::vector<upstream_id>, std::less<>> m_byService;
    std::map<std::string, service_state, std::less<>> m_services;
};

} // namespace azurehill
