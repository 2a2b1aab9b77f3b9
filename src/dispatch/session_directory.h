#pragma once

#include "core/core.h"
#include "dispatch/replica_pool.h"

#include <map>
#include <optional>
#include <string>
#include <utility>

namespace azurehill {

/// \brief A session of a program, or the program's only one if its id is empty.
struct session_key
{
    program_id program;
    std::string session;

    friend auto operator<=>(const session_key &, const session_key &) = default;
};

/// \brief The replica that a session's earlier turns were sent to, and what it has cached of them.
struct session_location
{
    replica_incarnation replica;
    /// Prompt tokens of the latest turn.
    std::int64_t tokens = 0;
};

/// \brief Directory of the replicas that have the prompts of recent sessions cached.
class session_directory
{
public:
    /// \param replicas counts the active sessions of each replica; must outlive this object.
    explicit session_directory(replica_pool &replicas) : m_replicas(replicas) { }

    /// \brief Records that a turn with \p tokens prompt tokens is sent to \p replica.
    void assign(const session_key &session, const replica_incarnation &replica, std::int64_t tokens,
                time_point now);
    /// \returns where the session's latest turn was sent, or nothing if that is not known.
    std::optional<session_location> find(const session_key &session) const;
    /// \returns where a session of \p program was last assigned, or nothing.
    std::optional<session_location> findProgram(const program_id &program) const;
    /// \brief Removes the sessions that were not used for a while.
    void expire(time_point now);
    std::size_t size() const { return m_sessions.size(); }

private:
    struct entry
    {
        session_location location;
        time_point usedAt;
        /// Whether the replica counts the session among its active ones.
        bool isActive = false;
    };

    void setActive(entry &e, bool active);

    replica_pool &m_replicas;
    std::map<session_key, entry> m_sessions;
    std::map<program_id, session_location> m_byProgram;
};

} // namespace azurehill
