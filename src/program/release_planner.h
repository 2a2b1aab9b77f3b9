#pragma once

#include "program/program_registry.h"

#include <map>
#include <utility>
#include <vector>

namespace azurehill {

/// \brief An engine is to be told that it may drop what it holds of a program.
struct release_order
{
    program_id program;
    upstream_id engine;

    friend auto operator<=>(const release_order &, const release_order &) = default;
};

/// \brief Decides which engines are told that a program has ended.
///
/// The list of what is to be released is the book itself: ended programs with engines that have not
/// confirmed. It is durable, so a successor goes on where the owner before it stopped.
class release_planner
{
public:
    /// \brief Takes in the engines that the host list names.
    void onListedEngines(const std::set<upstream_id> &listed, time_point now);
    /// \returns the orders to send at \p now, each once until onAnswer().
    std::vector<release_order> poll(const program_registry &book, time_point now);
    /// \brief Takes in whether the engine confirmed \p order.
    void onAnswer(const release_order &order, bool confirmed, time_point now);
    /// \returns the engines that are gone, with their memory: their releases count as confirmed.
    std::vector<release_order> gone(const program_registry &book, time_point now) const;

    /// \returns what \p engine holds for no living program. \p held are programs that it
    /// reports and that this daemon owns and has loaded; one that the book doesn't know never was
    /// durable or has been forgotten.
    static std::vector<release_order> reconcile(const program_registry &book,
                                                const upstream_id &engine,
                                                const std::vector<program_id> &held);

private:
    struct attempt
    {
        bool underWay = false;
        time_point nextAttemptAt;
        duration pause{};
    };

    std::map<release_order, attempt> m_attempts;
    std::map<upstream_id, time_point> m_lastListedAt;
    time_point m_firstListAt = time_point::max();
};

} // namespace azurehill
