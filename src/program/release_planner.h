#pragma once

#include "program/program_registry.h"

#include <map>
#include <utility>
#include <vector>

namespace azurehill {

/// \brief Order to an engine to free the KV cache of a program.
struct release_order
{
    program_id program;
    upstream_id engine;

    friend auto operator<=>(const release_order &, const release_order &) = default;
};

/// \brief Schedules the cache releases of ended programs, with retries and exponential backoff.
///
/// The pending releases are derived from the program_registry: ended programs with engines that
/// have not confirmed their release. That state is durable, so a new owner continues where the
/// previous one stopped.
class release_planner
{
public:
    /// \brief Records that the host list of \p now contains the engines \p listed.
    void onListedEngines(const std::set<upstream_id> &listed, time_point now);
    /// \returns the orders to send at \p now. An order is not returned again before onResponse().
    std::vector<release_order> poll(const program_registry &registry, time_point now);
    /// \brief Records whether the engine confirmed \p order.
    void onResponse(const release_order &order, bool confirmed, time_point now);
    /// \returns the pending orders for engines that have left the host list. Their caches are gone,
    /// so these releases count as confirmed.
    std::vector<release_order> ordersForLostEngines(const program_registry &registry,
                                                    time_point now) const;

    /// \returns the orders for caches that \p engine holds for programs that have ended or are
    /// unknown. \p held are programs that the engine reports and that this daemon owns and has
    /// loaded; a program that is missing from \p registry never was durable or has been erased.
    static std::vector<release_order> reconcile(const program_registry &registry,
                                                const upstream_id &engine,
                                                const std::vector<program_id> &held);

private:
    struct attempt
    {
        bool inFlight = false;
        time_point nextAttemptAt;
        duration retryDelay{};
    };

    std::map<release_order, attempt> m_attempts;
    std::map<upstream_id, time_point> m_lastListedAt;
    time_point m_firstListAt = time_point::max();
};

} // namespace azurehill
