#pragma once

#include "members/members.h"
#include "rows/rows.h"

#include <map>
#include <random>
#include <set>
#include <vector>

namespace azurehill::test {

/// \brief Daemons that tell each other who lives, over links of a few milliseconds, in a time of
/// the test's own.
class membership_replay
{
public:
    static constexpr duration round = membership_protocol::round;

    /// \brief What the daemons know of each other at the beginning.
    enum class start {
        /// All start at once, and have read each other's rows.
        Rows,
        /// All run, and have heard of each other.
        Joined,
    };

    explicit membership_replay(int size, start how = start::Rows);

    /// \brief Lets \p time pass.
    void play(duration time);
    /// \brief The daemon does and hears nothing from now on, until unfreeze().
    void stop(int daemon);
    /// \brief The daemon goes on; what was sent to it meanwhile arrives now.
    void unfreeze(int daemon);
    /// \brief Datagrams from \p from to \p to are lost from now on.
    void cut(int from, int to) { m_cutLinks.insert({from, to}); }
    /// \brief What \p daemon holds of the others counts for nothing: it can't know.
    void ignoreViewOf(int daemon) { m_ignoredObserver = daemon; }
    /// \brief Lets links work again.
    void restoreLinks() { m_cutLinks.clear(); }
    /// \brief This share of all datagrams is lost from now on.
    void setLossRate(double share) { m_lossRate = share; }

    /// \brief Has all daemons follow a table of the store from now on.
    /// \param bound the time within which each must act on a change.
    void followTable(duration bound);
    /// \brief Another daemon than before has a row in the table.
    void changeTable();
    /// \brief The daemon's reads fail from now on.
    void cutStore(int daemon) { m_withoutStore.insert(daemon); }
    /// \brief All daemons reach the store again.
    void restoreStore() { m_withoutStore.clear(); }
    /// \returns how many running daemons have another table than the store's.
    int daemonsBehind() const;
    /// \returns the age of the oldest copy of a running daemon.
    duration oldestCopy() const;

    /// \returns how many of the running daemons hold \p daemon for alive.
    int countSeeingAlive(int daemon) const;
    /// \returns whether each running daemon holds exactly the running ones for alive.
    bool isAgreed() const;

    /// Times that a daemon that never stopped was taken for gone by another.
    int falseDeaths = 0;
    /// Reads of the table that reached the store.
    int tableReads = 0;
    /// Whether the bytes that are sent are counted.
    bool countsBytes = false;
    /// Bytes sent meanwhile, with 28 of IP and UDP for each datagram.
    std::int64_t bytes = 0;

private:
    struct event
    {
        int daemon = 0;
        int from = -1;
        /// Nothing for the daemon's own round, or its look at the table.
        std::optional<probe_message> message;
        bool isTablePoll = false;
    };

    void push(time_point at, event e);
    void introduceAll();
    void happen(const event &e);
    void look(int daemon);
    void onDigests(int daemon);
    row_page tablePage() const;
    void send(int from, const probe_datagram &datagram);
    void count(int holder, const std::vector<member_change> &changes);
    duration latency();

    time_point m_now = time_point(seconds(1000));
    std::uint64_t m_lastNumber = 0;
    std::minstd_rand m_random{7};
    std::vector<membership_protocol> m_daemons;
    /// By their time, then in the order in which they were made.
    std::map<std::pair<time_point, std::uint64_t>, event> m_events;
    std::set<int> m_stopped;
    std::set<int> m_everStopped;
    std::map<int, std::vector<event>> m_held;
    std::set<std::pair<int, int>> m_cutLinks;
    double m_lossRate = 0;
    int m_ignoredObserver = -1;
    poll_schedule m_turns;
    std::vector<table_cache> m_copies;
    std::set<int> m_withoutStore;
    std::vector<stored_row> m_table;
    store_version m_storeVersion = 1;
};

} // namespace azurehill::test
