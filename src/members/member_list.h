#pragma once

#include "members/member_update.h"

#include <map>

namespace azurehill {

/// \brief Transition of a member between alive and dead.
struct member_change
{
    member_state member;
    bool isAlive = false;
};

/// \brief Local membership view: the other daemons and the last known state of each.
class member_list
{
public:
    /// \brief Last known state of one member.
    struct entry
    {
        member_update update;
        /// Whether the member is known from its row in the store only, without any message or
        /// update that confirms it.
        bool isOnlyInStore = true;
        /// For a suspected member, when it is declared dead unless it refutes the suspicion. For
        /// others, the start of the retention period of the entry.
        time_point deadAt;

        bool isAlive() const { return !isOnlyInStore && update.health != member_health::Dead; }
        bool isHealthy() const { return !isOnlyInStore && update.health == member_health::Alive; }
    };

    /// \brief Merges \p update. \returns whether it supersedes the known state.
    /// \param deadAt when the member is declared dead, if the update is a suspicion.
    bool apply(const member_update &update, time_point deadAt);
    /// \brief Adds a member that has a row in the store. It counts as alive only once a message or
    /// an update confirms it.
    void onStoredMember(const member_state &state, time_point now);
    /// \brief Records a message from the member itself, sent at \p incarnation and \p version.
    /// \returns whether the state known here is at least as recent.
    bool onMessageFrom(const daemon_id &name, std::int64_t incarnation, std::uint64_t version);
    /// \brief Declares members dead whose suspicion timed out, and removes members whose retention
    /// period is over. \returns the members that were declared dead.
    std::vector<daemon_id> expire(time_point now);
    /// \brief Postpones the timeouts of all suspicions by \p time.
    void extendSuspicions(duration time);

    /// \returns the entry of \p name, or null.
    const entry *find(const daemon_id &name) const;
    /// Pointers into the list, valid until the list changes.
    using selection = std::vector<const member_state *>;

    /// \returns the members that are alive, including suspected ones.
    selection alive() const;
    /// \returns the members that are alive and not suspected.
    selection healthy() const;
    /// \returns the members that are suspected, dead or known from the store only.
    selection unhealthy() const;
    std::size_t aliveCount() const { return m_aliveCount; }
    std::size_t knownCount() const { return m_members.size(); }

    /// \returns the transitions between alive and dead since the last call.
    std::vector<member_change> takeChanges();

private:
    template <class Predicate>
    selection select(Predicate predicate) const;
    void set(entry &e, entry next);

    std::map<daemon_id, entry> m_members;
    std::vector<member_change> m_changes;
    std::size_t m_aliveCount = 0;
};

} // namespace azurehill
