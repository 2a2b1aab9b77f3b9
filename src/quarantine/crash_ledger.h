#pragma once

#include "quarantine/crash_watch.h"
#include "quarantine/send_verdict.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace azurehill {

/// \brief What is known of one lost send of a request. Both numbers are hashes that all daemons
/// compute alike.
struct crash_evidence
{
    std::uint64_t replica = 0;
    std::uint64_t send = 0;
    replica_fate fate = replica_fate::Suspected;

    friend bool operator==(const crash_evidence &, const crash_evidence &) = default;
};

/// \brief A send on which a replica works, while others of the request were lost. Both numbers are
/// those of the evidence if it is lost too.
struct send_in_flight
{
    std::uint64_t replica = 0;
    std::uint64_t send = 0;
    /// Time for which the replica may work on it.
    duration left = duration::zero();

    friend bool operator==(const send_in_flight &, const send_in_flight &) = default;
};

/// \brief What a daemon knows of the lost sends of one request.
struct crash_report
{
    request_fingerprint request;
    /// Time since the latest evidence.
    duration age = duration::zero();
    std::vector<crash_evidence> evidence;
    /// Time for which replicas may still work on a lost send.
    duration workLeft = duration::zero();
    /// Time for which an end of such a replica counts as one under the request.
    duration endLeft = duration::zero();
    std::vector<send_in_flight> inFlight = {};
};

/// \returns the digest of \p who, by which evidence names it. All daemons compute it alike.
std::uint64_t digestOf(const replica_incarnation &who);
/// \returns the report of a single finding.
crash_report reportOf(const crash_finding &finding);

/// \brief Finds the fate of a suspected replica by its digest; nothing if it is not known.
using fate_lookup = std::function<std::optional<replica_fate>(std::uint64_t)>;

/// \brief Record of the replicas that ended under each request, by which this daemon decides
/// whether a request may be sent once more.
///
/// Reports may arrive more than once and in any order: for each lost send, a later fate replaces an
/// earlier one (suspected, ended, cleared) and never the other way round, so that all daemons that
/// have the same reports decide alike. A send in flight counts like a suspicion, and becomes one if
/// its daemon does not tell how it ended. Memory is bounded by the number of requests, of evidence
/// per request, and a fixed lifetime.
class crash_ledger
{
public:
    /// Number of replicas that may end under one request.
    static constexpr int maxEndedReplicas = 3;
    static constexpr std::size_t maxRequests = 4096;
    static constexpr std::size_t maxEvidence = 16;
    /// Time after the latest evidence for which it counts.
    static constexpr duration lifetime = std::chrono::minutes(10);
    /// Likewise for a suspicion, which the daemons that know of it settle meanwhile.
    static constexpr duration suspicionLifetime = seconds(60);
    /// Time after the latest evidence within which the entry of a replica that ended lapses.
    static constexpr duration lapseTime = seconds(5);
    /// Time after which other daemons settle a suspicion whose own daemon may have ended.
    static constexpr duration adoptionTime = seconds(10);

    /// \brief Merges \p report. \returns whether it says anything new.
    bool merge(const crash_report &report, time_point now);
    /// \brief Decides whether a request may be sent to a replica.
    /// \param uncounted evidence that doesn't count: against replicas that were seen alive just
    /// now, or on the send that is decided on.
    send_verdict verdict(const request_fingerprint &request, time_point now,
                         const std::vector<crash_evidence> &uncounted = {}) const;
    /// \returns whether the lost sends of \p request keep it from being sent, whatever becomes of
    /// those in flight.
    bool isQuarantined(const request_fingerprint &request, time_point now) const;
    /// \returns what is known of \p request, or nothing.
    std::optional<crash_report> find(const request_fingerprint &request, time_point now) const;
    /// \returns the reports of all requests that are quarantined.
    std::vector<crash_report> quarantined(time_point now) const;
    /// \returns the suspicions against replicas under \p request. None while one of these may still
    /// work on it.
    std::vector<crash_evidence> suspicions(const request_fingerprint &request,
                                           time_point now) const;
    /// \returns whether a sign of life of a replica clears the suspicions against it under \p
    /// request: an end of its process no longer counts as one under the request.
    bool isClearedByLife(const request_fingerprint &request, time_point now) const;
    /// \brief Settles the suspicions older than adoptionTime whose fate \p fateOf finds.
    /// \returns the requests of which that is news.
    std::vector<request_fingerprint> adoptSuspicions(const fate_lookup &fateOf, time_point now);
    /// \brief Clears the evidence against \p request. \returns whether there was any.
    bool lift(const request_fingerprint &request, time_point now);
    /// \brief Removes the records whose lifetime is over. \returns them.
    std::vector<crash_report> expire(time_point now);
    /// \returns whether anything is known of the send \p send of \p request.
    bool isKnown(const request_fingerprint &request, std::uint64_t send) const;
    /// \returns whether the send \p send of \p request is in flight, by what is known.
    bool isInFlight(const request_fingerprint &request, std::uint64_t send) const;
    std::size_t size() const { return m_records.size(); }

    /// \returns whether one more crash under a request with \p verdict reaches the limit, or goes
    /// beyond it if the suspected replicas end as well.
    static bool isLastAllowed(const send_verdict &verdict)
    {
        const auto *allowed = std::get_if<send_allowed>(&verdict);
        return allowed ? allowed->crashes + 1 >= maxEndedReplicas
                       : std::holds_alternative<send_deferred>(verdict);
    }

private:
    struct pending_send
    {
        std::uint64_t replica = 0;
        /// When its replica no longer works on it.
        time_point until;
    };
    struct record
    {
        std::vector<crash_evidence> evidence;
        /// Sends in flight by their numbers. None of them is among the evidence.
        std::map<std::uint64_t, pending_send> inFlight;
        time_point latestAt;
        /// When no replica works on a lost send any more.
        time_point workUntil;
        /// When no end of a replica counts as one under the request any more.
        time_point mayEndUntil;
    };
    /// \brief Distinct replicas that ended under a request, and that may have.
    struct crash_count
    {
        int ended = 0;
        int suspected = 0;
    };

    static crash_count countOf(const std::vector<crash_evidence> &evidence);
    static bool isExpired(const record &r, time_point now);
    static bool mergeOne(record &r, const crash_evidence &evidence);
    static bool mergeInFlight(record &r, const send_in_flight &pending, time_point now);
    static crash_report reportOf(const request_fingerprint &request, const record &r,
                                 time_point now);
    /// \brief Removes the record of the request with the fewest crashes, the oldest of these.
    void evictOne();

    std::map<request_fingerprint, record> m_records;
};

} // namespace azurehill
