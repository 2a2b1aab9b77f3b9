#pragma once

#include "members/members.h"

#include <map>
#include <queue>
#include <random>
#include <set>
#include <vector>

namespace azurehill::test {

/// \brief Daemons that tell each other who lives, over links of a few milliseconds, in a time of
/// the test's own.
class membership_replay
{
public:
    static constexpr duration round = milliseconds(200);

    explicit membership_replay(int size);

    /// \brief Lets \p time pass.
    void play(duration time);
    /// \brief The daemon does and hears nothing from now on, until thaw().
    void stop(int daemon) { m_stopped.insert(daemon); }
    /// \brief The daemon goes on; what was sent to it meanwhile arrives now.
    void thaw(int daemon);
    /// \brief Datagrams from \p from to \p to are lost from now on.
    void cut(int from, int to) { m_cut.insert({from, to}); }
    /// \brief Lets links work again.
    void mendLinks() { m_cut.clear(); }
    /// \brief This share of all datagrams is lost from now on.
    void loseShare(double share) { m_loss = share; }

    /// \returns how many of the running daemons hold \p daemon for alive.
    int holdersOf(int daemon) const;
    /// \returns whether each running daemon holds exactly the running ones for alive.
    bool isAgreed() const;

    /// Times that a daemon was taken for gone by another while it ran.
    int falseDeaths = 0;
    /// Datagrams sent, and their bytes with 28 of IP and UDP each.
    std::int64_t datagrams = 0;
    std::int64_t bytes = 0;

private:
    struct event
    {
        time_point at;
        std::uint64_t number = 0;
        int daemon = 0;
        /// Empty for the daemon's own round.
        std::string message;

        bool operator<(const event &other) const
        {
            return std::tie(at, number) > std::tie(other.at, other.number);
        }
    };

    void push(time_point at, int daemon, std::string message);
    void happen(const event &e);
    void send(int from, const endpoint &to, const std::string &message);
    void count(const std::vector<member_change> &changes);
    duration latency();

    time_point m_now = time_point(seconds(1000));
    std::uint64_t m_lastNumber = 0;
    std::minstd_rand m_random{7};
    std::vector<member_list> m_daemons;
    std::priority_queue<event> m_events;
    std::set<int> m_stopped;
    std::map<int, std::vector<event>> m_held;
    std::set<std::pair<int, int>> m_cut;
    double m_loss = 0;
};

} // namespace azurehill::test
