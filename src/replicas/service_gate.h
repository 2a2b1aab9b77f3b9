#pragma once

#include "core/core.h"
#include "core/mechanism.h"
#include "replicas/place_division.h"

#include <cstdint>
#include <map>
#include <tuple>
#include <vector>

namespace azurehill {

/// \brief How much a request's program can still win.
enum class program_hope { OnTime, Late, Lost };

template <>
struct enum_names<program_hope>
{
    static constexpr std::array<std::string_view, 3> names = {"on_time", "late", "lost"};
};

/// \brief A request that wants a place at a service's engines.
struct gate_ticket
{
    std::uint64_t number = 0;
    /// The route's rank, 0 first.
    int rank = 0;
    program_hope hope = program_hope::OnTime;
    /// Time until its program should be finished.
    duration slack = duration::zero();
};

/// \brief The engines that a gate stands before.
struct gate_share
{
    int replicas = 1;
    /// Requests that all of these replicas together work on at once.
    int slots = 1;
    /// The part of them that is this daemon's.
    double part = 1;
};

/// \brief Bounds how many requests of this daemon the engines of a service work on at once, and
/// lets those that wait go in the order in which most programs end in time.
///
/// An engine takes far more requests at once than it can serve in time: each makes all others
/// slower, until every program is late and none is refused. The bound follows the pace at which
/// events come, so that engines are kept where programs still end in time. Those that wait go by
/// rank; programs that can no longer win anything come last, but never without an end.
class service_gate
{
public:
    explicit service_gate(const mechanism_set &mechanisms = {}) : m_mechanisms(mechanisms) { }

    /// \brief Takes in the replicas that may take requests, and this daemon's part of them.
    void setShare(const gate_share &share);

    /// \returns what this daemon tells the others of its place at the engines.
    place_word word() const;
    /// \brief Takes in what the other daemons before the same engines told last. Call it once for
    /// each round of their words.
    void agree(std::span<const place_word> others);

    /// \returns whether the request may go now. If not it waits until take() names it.
    bool enter(const gate_ticket &ticket);
    /// \brief The request gives up waiting. \returns whether it waited.
    bool withdraw(std::uint64_t number);
    /// \brief A request that went is over.
    void leave();
    /// \returns the requests that may go now.
    std::vector<std::uint64_t> take();

    /// \brief An answer's events came \p msPerEvent apart.
    void onPace(double msPerEvent, time_point now);

    std::size_t waiting() const { return m_waiting.size(); }
    int inside() const { return m_inside; }
    double limit() const { return m_limit; }
    /// \returns the requests of all daemons that the engines bear, as far as it is known here.
    double places() const { return m_limit / m_share.part; }
    const gate_share &share() const { return m_share; }
    /// \returns how many times slower events come than from an idle engine.
    double inflation() const;

private:
    /// Sorts those that wait; the one that goes first comes first.
    using order = std::tuple<bool, int, program_hope, duration, std::uint64_t>;

    /// \returns the replicas that are this daemon's part.
    double replicas() const { return m_share.replicas * m_share.part; }
    double slotsPerReplica() const { return double(m_share.slots) / m_share.replicas; }
    /// \returns the number of the request that gets the next place.
    std::uint64_t nextInOrder();
    double startLimit() const;
    double mostLimit() const;

    mechanism_set m_mechanisms;
    gate_share m_share;
    int m_inside = 0;
    double m_limit = 0;
    /// Whether the pace of answers has moved the bound.
    bool m_isLearned = false;
    double m_pace = 0;
    double m_idlePace = 0;
    int m_samples = 0;
    time_point m_adjustedAt;
    std::map<order, std::uint64_t> m_waiting;
    std::map<std::uint64_t, order> m_orders;
    /// Those that wait for programs that are late or lost, with \c m_granted as it was when they
    /// came.
    std::map<std::uint64_t, std::uint64_t> m_behind;
    /// Places that went to requests that had waited.
    std::uint64_t m_granted = 0;
};

} // namespace azurehill
