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

/// \brief How much a request's program can still win.
enum class deadline_feasibility { OnTime, Late, Lost };

template <>
struct enum_names<deadline_feasibility>
{
    static constexpr std::array<std::string_view, 3> names = {"on_time", "late", "lost"};
};

/// \brief A request that wants a place at a service's engines.
struct admission_request
{
    std::uint64_t number = 0;
    /// The route's rank, 0 first.
    int rank = 0;
    deadline_feasibility hope = deadline_feasibility::OnTime;
    /// Time until its program should be finished.
    duration slack = duration::zero();
    /// Whether it goes on from an earlier turn.
    bool continues = false;
};

/// \brief The engines that a gate stands before.
struct engine_capacity
{
    /// Replicas that may take requests.
    int replicas = 0;
    /// Requests that all of these together work on at once.
    int slots = 0;
};

/// \brief Bounds how many requests of this daemon the engines of a service work on at once, and
/// lets those that wait go in the order in which most programs end in time.
///
/// An engine takes far more requests at once than it can serve in time: each makes all others
/// slower, until every program is late and none is refused. The bound follows the pace at which
/// events come, so that engines are kept where programs still end in time. Those that wait go by
/// rank; programs that can no longer win anything come last. No request is passed over without an
/// end.
///
/// The engines are all daemons' together, so the bound, the pace and the demand of each are told to
/// the others, and each takes its part.
class concurrency_limiter
{
public:
    explicit concurrency_limiter(const mechanism_set &mechanisms = {})
        : m_mechanisms(mechanisms) { }

    /// \brief Takes in the replicas that may take requests.
    void setEngineCapacity(const engine_capacity &engines);
    /// \brief Takes in this daemon's part of them, above 0. hear() sets it; before that it is all.
    void setLimitShare(double part);

    /// \returns what this daemon knows of its place at the engines now.
    concurrency_report word() const;
    /// \returns what this daemon tells the others. Call it once for each round of words.
    concurrency_report tell();
    /// \brief Takes in what the other daemons before the same engines told last. Call it once for
    /// each round of words.
    void hear(const concurrency_report_sample &others);

    /// \returns whether the request may go now. If not it waits until take() names it.
    bool enter(const admission_request &ticket);
    /// \brief The request gives up waiting. \returns whether it waited.
    bool withdraw(std::uint64_t number);
    /// \brief A request that went is over.
    void leave();
    /// \returns the requests that may go now.
    std::vector<std::uint64_t> take();

    /// \brief An answer's events came \p msPerEvent apart.
    void onPace(double msPerEvent, time_point now);

    std::size_t waiting() const { return m_waiting.size(); }
    int inside() const { return m_inFlightRequests; }
    double limit() const { return m_limit; }
    /// \returns the requests of all daemons that the engines bear, as far as it is known here.
    double places() const { return m_limit / m_limitShare; }
    const engine_capacity &engines() const { return m_engines; }
    double part() const { return m_limitShare; }
    /// \returns how many times slower events come than from an idle engine.
    double inflation() const;

private:
    /// Sorts those that wait; the one that goes first comes first.
    using order = std::tuple<bool, int, bool, deadline_feasibility, duration, std::uint64_t>;

    /// \returns the replicas that are this daemon's part.
    double replicas() const { return std::max(1, m_engines.replicas) * m_limitShare; }
    double slotsPerReplica() const
    {
        return double(std::max(1, m_engines.slots)) / std::max(1, m_engines.replicas);
    }
    /// \brief Keeps the bound for a replica while the replicas or the part change.
    void rescale(double replicasBefore);
    bool hasEnoughSamples() const;
    /// \returns the number of the request that gets the next place.
    std::uint64_t next();
    /// \returns the request that must not be passed over again, if there is one.
    std::optional<std::uint64_t> starvedRequest();
    double initialLimit() const;
    double maxLimit() const;
    /// \returns requests of all daemons at one replica that the bound does not go below.
    double minLimitPerReplica() const;
    /// \returns \p limit, or what of it the engines allow.
    double bounded(double limit) const;

    mechanism_set m_mechanisms;
    engine_capacity m_engines;
    double m_limitShare = 1;
    /// What this daemon told in the last rounds, oldest first.
    std::deque<concurrency_report> m_told;
    /// What those of the others that were heard told last.
    std::vector<concurrency_report> m_heard;
    int m_inFlightRequests = 0;
    double m_limit = 0;
    /// Whether the bound is more than where it starts: the pace of answers has moved it, or
    /// another daemon told its own.
    bool m_isLimitLearned = false;
    double m_eventInterval = 0;
    double m_idleEventInterval = 0;
    int m_samples = 0;
    time_point m_adjustedAt;
    std::map<order, std::uint64_t> m_waiting;
    std::map<std::uint64_t, order> m_orders;
    /// Places that went to requests that had waited.
    std::uint64_t m_admissions = 0;
    /// Those that wait in order of arrival, with \c m_admissions as it was when they came.
    std::map<std::uint64_t, std::uint64_t> m_arrivals;
    /// Of these, the ones whose programs are late or lost.
    std::set<std::uint64_t> m_lateRequests;
    /// Places that were given while one of these waited, since one of them got its place so.
    std::uint64_t m_admissionsPastLate = 0;
};

} // namespace azurehill
