#pragma once

#include "core/core.h"

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

/// \brief Bounds how many requests of this daemon the engines of a service work on at once, and
/// lets those that wait go in the order in which most programs end in time.
///
/// An engine takes far more requests at once than it can serve in time: each makes all others
/// slower, until every program is late and none is refused. The bound follows the pace at which
/// events come, so that engines are kept where programs still end in time. Those that wait go by
/// rank; programs that can no longer win anything come last.
class service_gate
{
public:
    /// \brief Takes in the number of replicas, and of daemons that share them.
    void setShare(int replicas, int daemons);

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
    /// \returns how many times slower events come than from an idle engine.
    double inflation() const;

private:
    /// Sorts those that wait; the one that goes first comes first.
    using order = std::tuple<bool, int, program_hope, duration, std::uint64_t>;

    double share() const { return double(m_replicas) / m_daemons; }

    int m_replicas = 1;
    int m_daemons = 1;
    int m_inside = 0;
    double m_limit = 0;
    double m_pace = 0;
    double m_idlePace = 0;
    int m_samples = 0;
    time_point m_adjustedAt;
    std::map<order, std::uint64_t> m_waiting;
    std::map<std::uint64_t, order> m_orders;
};

} // namespace azurehill
