#include "core/log.h"
#include "daemon/control.h"

namespace azurehill {

namespace {

constexpr duration drainStep = milliseconds(20);

} // namespace

std::set<program_id> control::runningFamilies() const
{
    std::set<program_id> roots;
    for (const auto &[id, stream] : m_streams)
        roots.insert(rootOf(id));
    return roots;
}

bool control::mayBegin(const program_id &id) const
{
    if (!m_draining && m_membership.ownsWithoutPendingMove(id))
        return true;
    // A tool call may wait for its sub-agents: refusing their calls would hold the family for ever.
    return owns(id) && runningFamilies().count(rootOf(id)) > 0;
}

awaitable<void> control::settleCommits()
{
    std::vector<std::shared_ptr<commit_wait>> begun;
    for (const auto &[ticket, wait] : m_commitWaits)
        begun.push_back(wait);
    for (const std::shared_ptr<commit_wait> &wait : begun) {
        while (!wait->result)
            co_await sleepFor(drainStep);
    }
}

awaitable<void> control::drain()
{
    m_draining = true;
    // Programs that were being created or ended would move before their record is durable.
    co_await settleCommits();
    m_membership.drain();
    // Without the table nothing can be handed over; once the lease has lapsed others take over.
    const auto mayHandOver = [this] { return m_membership.isActive(runtime_clock::now()); };
    while (!m_streams.empty() || !m_commitWaits.empty()
           || (!m_membership.isDrained() && mayHandOver()))
        co_await sleepFor(drainStep);
    m_membership.leave();
    while (!m_membership.hasLeft() && mayHandOver())
        co_await sleepFor(drainStep);
    logEvent(log_level::Info, "left", {{"cleanly", m_membership.hasLeft()}});
}

} // namespace azurehill
