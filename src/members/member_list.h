#pragma once

#include "members/member_state.h"

#include <map>
#include <random>

namespace azurehill {

/// \brief A member that was heard of, or was not for too long.
struct member_change
{
    member_state member;
    bool isAlive = false;
    /// How long it had been silent.
    duration silence = duration::zero();
};

/// \brief The daemons of the system, and which of them live.
///
/// Each round a daemon raises its beat and tells a few others what it heard last; a beat so reaches
/// everyone in a few rounds, whatever the number of daemons. A member whose beat stands still is
/// taken as gone until it moves again.
class member_list
{
public:
    /// \returns the time without a new beat after which a member is taken as gone. Six rounds, so
    /// that some lost datagrams do no harm, and little enough that callers are sent elsewhere
    /// within two seconds; longer where beats pass through many hands.
    duration silenceLimit() const;

    explicit member_list(member_state self, std::uint64_t seed);

    member_state &self() { return m_self; }
    const member_state &self() const { return m_self; }

    /// \brief Takes in what another daemon said. \returns the members that came back by it.
    std::vector<member_change> onHeard(const std::vector<member_state> &states, time_point now);
    /// \brief Takes in a member that the store names; it counts as alive once it is heard of.
    void onListed(const member_state &state);
    /// \brief Begins a round. \returns the members that have been silent for too long since the
    /// last one.
    std::vector<member_change> onRound(time_point now);
    /// \brief The member said that it stops.
    void remove(const daemon_id &name);

    /// \returns this daemon and some that live, \p most in all, for a message to another daemon.
    std::vector<member_state> digest(std::size_t most);
    /// \returns up to \p count members to talk to, silent ones now and then as well: they may be
    /// back.
    std::vector<member_state> pickPeers(std::size_t count);
    /// \returns the other members that live.
    std::vector<member_state> alive() const;
    std::size_t known() const { return m_members.size(); }

private:
    struct entry
    {
        member_state state;
        time_point heardAt;
        bool isAlive = false;
    };

    member_state m_self;
    std::minstd_rand m_random;
    std::map<daemon_id, entry> m_members;
};

} // namespace azurehill
