#pragma once

#include "core/core.h"
#include "core/mechanism.h"
#include "replicas/place_division.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <tuple>
#include <vector>

namespace azurehill {

/// \brief Whether the program of a request can still finish in time.
enum class deadline_feasibility {
    /// The program can still finish by its target.
    OnTime,
    /// The target has passed, but the result is still of use.
    Late,
    /// So much time has passed that the result is of no use.
    Lost
};

template <>
struct enum_names<deadline_feasibility>
{
    static constexpr std::array<std::string_view, 3> names = {"on_time", "late", "lost"};
};

/// \brief A request for admission to the engines of a service.
struct admission_request
{
    std::uint64_t number = 0;
    /// The route's rank, 0 first.
    int rank = 0;
    deadline_feasibility feasibility = deadline_feasibility::OnTime;
    /// Time left until the program's target finish time; negative when that has passed.
    duration slack = duration::zero();
    /// Whether the request is a later turn of its program.
    bool continues = false;
};

/// \brief The replicas that a concurrency_limiter admits requests to.
struct engine_capacity
{
    /// Replicas that accept requests.
    int replicas = 0;
    /// Sum of the slots of these replicas.
    int slots = 0;
};

/// \brief Adaptive concurrency limiter with a priority queue, one per service and daemon.
///
/// An engine accepts far more requests than it can serve in time: each request slows down all
/// others, until every program is late and no request has been refused. The limit therefore follows
/// the interval between the events of the answers, so that the engines stay at a load at which
/// programs still finish in time. Queued requests are admitted by rank, in the order in which most
/// programs finish in time; those whose programs can gain nothing any more come last. Starvation is
/// prevented: no request is passed over indefinitely.
///
/// All daemons share the engines. They exchange their limits, event intervals and demands by
/// gossip, and each daemon uses its share of the total limit.
class concurrency_limiter
{
public:
    explicit concurrency_limiter(const mechanism_set &mechanisms = {})
        : m_mechanisms(mechanisms) { }

    /// \brief Sets the replicas that accept requests and scales the limit with their number.
    void setEngineCapacity(const engine_capacity &engines);
    /// \brief Sets this daemon's share of the engines, above 0. It is 1 until mergeReports() sets
    /// it.
    void setLimitShare(double share);

    /// \returns the current state of this limiter, as the other daemons need it.
    concurrency_report report() const;
    /// \returns the report to send to the other daemons, and remembers it. Call it once per gossip
    /// round.
    concurrency_report publishReport();
    /// \brief Updates the limit and this daemon's share of it from the latest reports of the other
    /// daemons that use the same engines. Call it once per gossip round.
    void mergeReports(const concurrency_report_sample &others);

    /// \returns whether the request is admitted at once. If not, it is queued until admitQueued()
    /// returns its number.
    bool tryAdmit(const admission_request &request);
    /// \brief Counts a request that a dispatcher has admitted, so that this daemon's reports
    /// include it.
    void countAdmitted() { ++m_inFlightRequests; }
    /// \brief Removes a request from the queue. \returns whether it was queued.
    bool cancelWait(std::uint64_t number);
    /// \brief Releases the admission of a request that has ended.
    void release();
    /// \brief Admits queued requests up to the limit. \returns their numbers.
    std::vector<std::uint64_t> admitQueued();

    /// \brief Adjusts the limit by the mean interval between the events of one answer.
    void onEventInterval(double msPerEvent, time_point now);

    std::size_t queued() const { return m_queue.size(); }
    int inFlight() const { return m_inFlightRequests; }
    double limit() const { return m_limit; }
    /// \returns this daemon's estimate of the limit for all daemons together.
    double totalLimit() const { return m_limit / m_limitShare; }
    const engine_capacity &engineCapacity() const { return m_engines; }
    double limitShare() const { return m_limitShare; }
    /// \returns the interval between events as a multiple of that of an idle engine.
    double inflation() const;

private:
    /// Sort key of the queue; the lowest key is admitted first.
    using queue_key = std::tuple<bool, int, bool, deadline_feasibility, duration, std::uint64_t>;

    /// \returns this daemon's share of the replicas, as a number of replicas.
    double replicaShare() const { return std::max(1, m_engines.replicas) * m_limitShare; }
    double slotsPerReplica() const
    {
        return double(std::max(1, m_engines.slots)) / std::max(1, m_engines.replicas);
    }
    /// \brief Keeps the limit per replica when the number of replicas or the share changes.
    void rescale(double replicasBefore);
    bool hasEnoughSamples() const;
    /// \returns the number of the queued request to admit next.
    std::uint64_t nextToAdmit();
    /// \returns the request that is admitted out of order to prevent its starvation, if any.
    std::optional<std::uint64_t> starvedRequest();
    double initialLimit() const;
    double maxLimit() const;
    /// \returns the lower bound of the limit for one replica, over all daemons.
    double minLimitPerReplica() const;
    /// \returns \p limit clamped to the bounds that follow from replicas and slots.
    double clampLimit(double limit) const;

    mechanism_set m_mechanisms;
    engine_capacity m_engines;
    double m_limitShare = 1;
    /// This daemon's reports of the last gossip rounds, oldest first.
    std::deque<concurrency_report> m_publishedReports;
    /// The latest reports of other daemons.
    std::vector<concurrency_report> m_receivedReports;
    int m_inFlightRequests = 0;
    double m_limit = 0;
    /// Whether the limit is more than its initial value: event intervals have adjusted it, or
    /// another daemon has reported its own.
    bool m_isLimitLearned = false;
    double m_eventInterval = 0;
    double m_idleEventInterval = 0;
    int m_samples = 0;
    time_point m_adjustedAt;
    std::map<queue_key, std::uint64_t> m_queue;
    std::map<std::uint64_t, queue_key> m_queueKeys;
    /// Number of queued requests admitted so far.
    std::uint64_t m_admissions = 0;
    /// Queued requests in order of arrival, with the value of \c m_admissions on arrival.
    std::map<std::uint64_t, std::uint64_t> m_arrivals;
    /// Queued requests whose programs are \c Late or \c Lost.
    std::set<std::uint64_t> m_lateRequests;
    /// Admissions made while a late request was queued, since one was last admitted out of order.
    std::uint64_t m_admissionsPastLate = 0;
};

} // namespace azurehill
