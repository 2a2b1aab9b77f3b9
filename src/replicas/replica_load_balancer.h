#pragma once

#include "core/mechanism.h"
#include "replicas/first_byte_time_estimator.h"
#include "replicas/prefix_cache.h"
#include "replicas/replica_entry.h"
#include "replicas/replica_outlier_detector.h"
#include "replicas/replica_reports.h"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace azurehill {

/// \brief What a request needs of a replica.
struct placement_request
{
    std::string service;
    /// The parts of the prompt in order; empty for plain services.
    std::vector<prompt_part> parts;
    /// The replica that answered the turn before, which has read all of the prompt but the last
    /// part; or empty.
    replica_incarnation lastReplica;
    /// Tokens of the prompt up to the turn before.
    std::int64_t lastTokens = 0;
    /// The line of turns whose caller sends the whole prompt with each of them, or empty. Its turns
    /// come to any daemon, and none of them knows where the one before went.
    std::string session;
    /// Turns that its program had before, as far as is known.
    std::int64_t turnsBefore = 0;
    /// Tokens of the whole prompt.
    std::int64_t promptTokens = 0;
    /// Replicas that the request was sent to already.
    std::set<replica_incarnation> tried;
    /// Key of the object that the request is about, where the route keeps to one replica; or empty.
    std::string affinityKey;
};

/// \brief How a request ended at a replica.
enum class send_outcome {
    Answered,
    /// The replica answered with a failure of its own.
    Failed,
    NotRun,
    Broken,
    Silent,
    Unreachable,
    Cancelled
};

template <>
struct enum_names<send_outcome>
{
    static constexpr std::array<std::string_view, 7> names
        = {"answered", "failed", "not_run", "broken", "silent", "unreachable", "cancelled"};
};

/// \brief Where a request goes, and why.
struct placement
{
    replica_entry replica;
    /// Requests of this daemon that are under way there.
    int outstanding = 0;
    /// Prompt tokens that the replica is expected to have.
    std::int64_t cachedTokens = 0;
    /// Expected time until the answer begins, in milliseconds.
    double cost = 0;
    int candidates = 0;
};

/// \brief The replicas of all services, this daemon's work on them, and the choice among them.
class replica_load_balancer
{
public:
    replica_load_balancer(data_centre_id here, std::uint64_t seed,
                          const mechanism_set &mechanisms = {});

    /// \brief Takes in the entries that the store lists now. A replica that started again under its
    /// id begins with nothing: what was learned of its old process does not hold for the new one.
    /// \returns the entries whose process is over: they were replaced by a newer incarnation.
    std::vector<replica_entry> setReplicas(const std::vector<replica_entry> &listed,
                                           time_point now);
    /// \brief Takes in how many daemons send work to the replicas: this one sees its own only.
    void setDaemons(int count) { m_daemons = std::max(1, count); }
    /// \brief Takes in how many tokens a replica of \p service caches.
    void setCacheTokens(const std::string &service, std::int64_t tokens);
    /// \brief The replica said itself that it is leaving, or another one has its address.
    void setLeaving(const replica_incarnation &who);
    /// \returns whether \p who is listed, and so has not ended as far as is known here.
    bool isListed(const replica_incarnation &who) const { return find(who) != nullptr; }
    /// \returns whether another process than \p who is listed under its id.
    bool isReplaced(const replica_incarnation &who) const;

    /// \returns the replica on which the request is expected to be answered first, or nothing when
    /// none may take it.
    std::optional<placement> choose(const placement_request &request, time_point now);

    /// \brief The request of \p p goes out.
    void onSent(const placement &p, const placement_request &request, time_point now);
    /// \brief The first bytes of the answer came \p waited after the request went out.
    void onFirstByte(const placement &p, const placement_request &request, duration waited,
                     time_point now);
    /// \brief Bytes of an answer came.
    void onHeard(const replica_incarnation &who, time_point now);
    /// \brief The request of \p p is over.
    void onDone(const placement &p, send_outcome end, time_point now);

    /// \returns what this daemon has seen lately of replicas that fail requests, or failed them.
    replica_reports tell(time_point now) const;
    /// \brief Takes in what others told of replicas.
    void hear(const std::vector<replica_reports> &heard, time_point now);

    /// \returns when the replica was last heard of on any connection.
    time_point lastReceivedAt(const replica_incarnation &who) const;
    /// \returns the time that answers of \p service typically take to begin, with their spread.
    std::optional<duration> typicalFirstByteTime(std::string_view service) const;
    std::size_t size() const { return m_replicas.size(); }
    /// \returns the number of replicas that get no requests because some failed there.
    int doubted() const;
    /// \returns the number of replicas of \p service that may take requests.
    int open(std::string_view service, time_point now) const;
    /// \returns the requests that those replicas together work on at once.
    int availableSlots(std::string_view service, time_point now) const;

private:
    /// \brief A part of prompts and how often it was sent lately.
    struct shared_part
    {
        int uses = 0;
        time_point usedAt;
    };
    struct replica_state
    {
        replica_entry entry;
        bool leaving = false;
        int outstanding = 0;
        replica_outlier_detector trust;
        /// Typical time to the first byte as a multiple of that of the service.
        double slowness = 1;
        prefix_cache cache;
        time_point listedAt;
    };
    struct service_state
    {
        first_byte_time_estimator wait;
        /// Prompt parts that many requests share, by the time of their last use.
        std::unordered_map<std::string, shared_part> shared;
        /// This daemon's requests under way at its replicas, and the number of these.
        int outstanding = 0;
        int replicas = 0;
        /// Whether so many of its replicas fail requests that the requests are to blame.
        bool failsEverywhere = false;
        /// Tokens that a replica's cache holds.
        std::int64_t cacheTokens = 0;
    };

    /// \returns the state of \p who, or null when its process is not the one that is listed.
    const replica_state *find(const replica_incarnation &who) const;
    replica_state *find(const replica_incarnation &who);
    bool mayTake(const replica_state &r, time_point now) const;
    /// \brief Finds out anew whether \p service fails requests at too many replicas.
    void updateFailsEverywhere(const std::string &service);
    /// \returns the requests under way at a replica on average, if all daemons have as many.
    double outstandingPerReplica(const service_state &service) const;
    void recordOutcome(replica_state &r, send_outcome end, time_point now);
    /// \returns the time until this daemon tries a replica again that fails requests.
    duration trialDelay();
    std::int64_t cacheTokensForDaemon(const service_state &service) const;
    std::int64_t cachedTokens(const replica_state &r, const placement_request &request,
                              const service_state &service, time_point now) const;
    double cost(const replica_state &r, const placement_request &request, std::int64_t cached,
                const service_state &service);
    /// \returns the replica where all daemons look for the session of \p request first, or null.
    const replica_state *sessionHome(const std::vector<upstream_id> &group,
                                     const placement_request &request, time_point now) const;
    void recordPartUses(service_state &service, const std::vector<prompt_part> &parts,
                        time_point now);

    data_centre_id m_here;
    std::minstd_rand m_random;
    mechanism_set m_mechanisms;
    int m_daemons = 1;
    std::unordered_map<upstream_id, replica_state> m_replicas;
    std::map<std::string, std::vector<upstream_id>, std::less<>> m_byService;
    std::map<std::string, service_state, std::less<>> m_services;
};

} // namespace azurehill
