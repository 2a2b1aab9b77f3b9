#include "dispatch/session_directory.h"

namespace azurehill {

namespace {

/// Pause after which a session no longer counts as active at its replica. Most pauses are shorter.
constexpr duration activeTime = milliseconds(1500);
/// Pause after which a session is forgotten: engines under load have evicted its prompt by then.
constexpr duration retention = seconds(10);

} // namespace

void session_directory::setActive(entry &e, bool active)
{
    if (e.isActive == active)
        return;
    e.isActive = active;
    m_replicas.addSessions(e.location.replica, active ? 1 : -1);
}

void session_directory::assign(const session_key &session, const replica_incarnation &replica,
                               std::int64_t tokens, time_point now)
{
    entry &e = m_sessions[session];
    if (e.location.replica != replica)
        setActive(e, false);
    e.location = {replica, tokens};
    e.usedAt = now;
    setActive(e, true);
    m_byProgram[session.program] = e.location;
}

std::optional<session_location> session_directory::find(const session_key &session) const
{
    const auto found = m_sessions.find(session);
    return found == m_sessions.end() ? std::nullopt : std::optional(found->second.location);
}

std::optional<session_location> session_directory::findProgram(const program_id &program) const
{
    const auto found = m_byProgram.find(program);
    return found == m_byProgram.end() ? std::nullopt : std::optional(found->second);
}

void session_directory::expire(time_point now)
{
    for (auto &[key, e] : m_sessions) {
        if (now > e.usedAt + activeTime)
            setActive(e, false);
    }
    std::erase_if(m_sessions,
                  [now](const auto &item) { return now > item.second.usedAt + retention; });
    std::erase_if(m_byProgram, [this](const auto &item) {
        const auto next = m_sessions.lower_bound({item.first, ""});
        return next == m_sessions.end() || next->first.program != item.first;
    });
}

} // namespace azurehill
