#pragma once

#include "members/member_update.h"

#include <map>

namespace azurehill {

/// \brief A member that was heard of, or is gone.
struct member_change
{
    member_state member;
    bool isAlive = false;
};

/// \brief The other daemons of the system, and what is held of each.
class member_list
{
public:
    /// \brief A member as it is known here.
    struct entry
    {
        member_update update;
        /// Whether only the store names it: nobody has heard of it yet.
        bool isOnlyInStore = true;
        /// When a suspicion becomes a death, unless the member denies it; of others, when they were
        /// last heard or read of.
        time_point deadAt;

        bool isAlive() const { return !isOnlyInStore && update.health != member_health::Dead; }
        bool isHealthy() const { return !isOnlyInStore && update.health == member_health::Alive; }
    };

    /// \brief Takes in \p news. \returns whether it says more than what was known.
    /// \param deadAt when the member is gone, if the news is a suspicion.
    bool apply(const member_update &news, time_point deadAt);
    /// \brief Takes in a member that the store names; it counts as alive once it is heard of.
    void onStoredMember(const member_state &state, time_point now);
    /// \brief The member itself said its \p incarnation and \p version.
    /// \returns whether that is its last word that is known here.
    bool onHeard(const daemon_id &name, std::int64_t incarnation, std::uint64_t version);
    /// \brief Takes suspected members whose time is over for dead, and forgets those that are long
    /// gone. \returns the names of the dead.
    std::vector<daemon_id> expire(time_point now);
    /// \brief Gives suspected members \p time more.
    void extendSuspicions(duration time);

    /// \returns what is known of \p name, or null.
    const entry *find(const daemon_id &name) const;
    /// Members as they are known here, until the list changes.
    using selection = std::vector<const member_state *>;

    /// \returns the members that live, suspected ones included.
    selection alive() const;
    /// \returns the members that live and that nobody suspects.
    selection healthy() const;
    /// \returns the members that the store or others name, and that are suspected, gone or not
    /// heard of yet.
    selection silent() const;
    std::size_t aliveCount() const { return m_aliveCount; }
    std::size_t known() const { return m_members.size(); }

    /// \returns what changed since the last call, from dead to alive or back.
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
