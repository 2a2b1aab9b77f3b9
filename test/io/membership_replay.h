#pragma once

#include "members/members.h"
#include "rows/rows.h"

#include <map>
#include <random>
#include <set>
#include <vector>

namespace azurehill::test {

/// \brief Discrete-event simulation of daemons that run the membership protocol, over links with a
/// latency of a few milliseconds, in simulated time.
class membership_replay
{
public:
    static constexpr duration round = membership_protocol::round;

    /// \brief What the daemons know of each other at the start.
    enum class start {
        /// All daemons start at once, and have read each other's rows.
        Rows,
        /// All daemons run, and regard each other as alive.
        Joined,
    };

    explicit membership_replay(int size, start how = start::Rows);

    /// \brief Runs the simulation for \p time.
    void advance(duration time);
    /// \brief Freezes the daemon: it neither runs nor receives anything until unfreeze().
    void stop(int daemon);
    /// \brief Unfreezes the daemon; the messages sent to it meanwhile arrive now.
    void unfreeze(int daemon);
    /// \brief Drops all further datagrams from \p from to \p to.
    void cut(int from, int to) { m_cutLinks.insert({from, to}); }
    /// \brief Excludes the view of \p daemon from \c falseDeaths, as that of a daemon that is cut
    /// off.
    void ignoreViewOf(int daemon) { m_ignoredObserver = daemon; }
    /// \brief Restores all links that were cut.
    void restoreLinks() { m_cutLinks.clear(); }
    /// \brief Drops this fraction of all further datagrams.
    void setLossRate(double fraction) { m_lossRate = fraction; }

    /// \brief Makes all daemons follow a table of the store.
    /// \param bound time within which each daemon must see a change.
    void followTable(duration bound);
    /// \brief Adds a row to the table, and removes the oldest if there are more than three.
    void changeTable();
    /// \brief Makes all daemons follow a table of \p rows rows, of which they read the changes and
    /// now and then all rows, page by page.
    /// \param pageRows number of rows per page.
    /// \param pageTime time between two pages of a read.
    void followLongTable(duration bound, int rows, int pageRows, duration pageTime);
    /// \brief Writes a new version of the row. \returns the version.
    store_version changeRow(int row);
    /// \brief Makes the daemon read all rows, beginning now.
    void readAllRows(int daemon);
    /// \brief Makes all further reads of the table by the daemon fail, while the store still
    /// answers its other calls.
    void failTableReads(int daemon) { m_failingReads.insert(daemon); }
    /// \returns the number of running daemons that act on a copy in which \p row is older than
    /// \p version.
    int daemonsActingOnOlder(int row, store_version version) const;
    /// \returns the number of running daemons whose copy is outdated, see isCopyOutdated().
    int outdatedDaemons() const;
    /// \brief Makes all further reads of the daemon fail.
    void cutStore(int daemon) { m_withoutStore.insert(daemon); }
    /// \brief Restores access to the store for all daemons.
    void restoreStore() { m_withoutStore.clear(); }
    /// \returns how many running daemons have a copy that differs from the store's table.
    int daemonsBehind() const;
    /// \returns the age of the oldest copy among the running daemons.
    duration oldestCopy() const;

    /// \returns how many of the other running daemons regard \p daemon as alive.
    int countSeeingAlive(int daemon) const;
    /// \returns whether each running daemon regards exactly the running daemons as alive.
    bool isAgreed() const;

    /// How often a daemon declared one dead that was never stopped.
    int falseDeaths = 0;
    /// Table reads that reached the store.
    int tableReads = 0;
    /// Whether sent bytes are counted.
    bool countsBytes = false;
    /// Bytes sent while counting, including 28 bytes of IP and UDP headers per datagram.
    std::int64_t bytes = 0;

private:
    enum class event_kind { RoundOrMessage, TablePoll, FreshnessCheck, NextPage };
    struct event
    {
        int daemon = 0;
        int from = -1;
        /// The received message; empty if the event is the daemon's own.
        std::optional<probe_message> message;
        event_kind kind = event_kind::RoundOrMessage;
    };
    /// \brief A read of all rows in progress.
    struct read_in_progress
    {
        time_point began;
        std::size_t nextRow = 0;
        paged_read pages;
    };

    void push(time_point at, event e);
    void introduceAll();
    void process(const event &e);
    void processTableEvent(const event &e);
    void pollTable(int daemon);
    void checkFreshness(int daemon);
    bool canReadTable(int daemon) const;
    /// \brief Reads the table as replica_discovery does: mostly the changes since the copy.
    void readTable(int daemon);
    void readChanges(int daemon);
    void readNextPage(int daemon);
    row_page changesSince(store_version after) const;
    void schedulePolls();
    void onDigests(int daemon);
    row_page tablePage() const;
    void send(int from, const probe_datagram &datagram);
    void count(int observer, const std::vector<member_change> &changes);
    duration latency();

    time_point m_now = time_point(seconds(1000));
    std::uint64_t m_lastNumber = 0;
    std::minstd_rand m_random{7};
    std::vector<membership_protocol> m_daemons;
    /// Ordered by time, then by creation.
    std::map<std::pair<time_point, std::uint64_t>, event> m_events;
    std::set<int> m_stopped;
    std::set<int> m_everStopped;
    std::map<int, std::vector<event>> m_heldEvents;
    std::set<std::pair<int, int>> m_cutLinks;
    double m_lossRate = 0;
    int m_ignoredObserver = -1;
    poll_schedule m_turns;
    std::vector<table_cache> m_copies;
    std::set<int> m_withoutStore;
    std::set<int> m_failingReads;
    std::map<int, read_in_progress> m_reads;
    std::set<int> m_outdated;
    /// Rows per page and time between two pages; 0 if a read takes no time.
    std::size_t m_pageRows = 0;
    duration m_pageTime = duration::zero();
    std::vector<stored_row> m_history;
    time_point m_followsSince;
    std::vector<stored_row> m_table;
    store_version m_storeVersion = 1;
};

} // namespace azurehill::test
