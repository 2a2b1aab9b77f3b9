#pragma once

#include "entry/host_settings.h"
#include "http/connection_pool.h"
#include "members/members.h"
#include "replicas/replicas.h"
#include "rows/rows.h"
#include "store/store.h"

#include <functional>
#include <random>

namespace azurehill {

/// \brief Service discovery for replicas: keeps a copy of the replica table up to date, from the
/// store and from other daemons.
///
/// All daemons together read the table as often as sixteen would, whatever their number, and learn
/// from each other within a second that it changed. A daemon whose copy gets too old, because no
/// daemon reaches the store or it reaches no other daemon, reads the table itself. A daemon that
/// has a copy reads the changes since; one that has none fetches the copy of another daemon, unless
/// it is scheduled to read.
///
/// No read and no fetch delays the refresh of a copy that gets too old. If a copy can't be
/// refreshed although the store answers this daemon, it is reported as outdated before the drain
/// time has passed, see isCopyOutdated(). Lives on the control thread.
class replica_discovery
{
public:
    using replicas_callback = std::function<void(std::vector<replica_entry>)>;
    using outdated_callback = std::function<void(bool)>;

    /// \param transport reports whether the store answers this daemon directly.
    /// \param onReplicas called whenever entries changed.
    replica_discovery(const asio::any_io_executor &executor, store &rows,
                      std::shared_ptr<peer_transport> transport, const daemon_id &self,
                      const mechanism_set &mechanisms, replicas_callback onReplicas);

    /// \brief Reads the table whenever this daemon is scheduled to, and keeps the copy fresh. Runs
    /// until the process ends.
    awaitable<void> follow();
    /// \brief Sets the function called when the copy becomes outdated, and when it no longer is.
    void onOutdated(outdated_callback callback) { m_onOutdated = std::move(callback); }
    /// \returns whether the copy is too old to choose replicas by it.
    bool isOutdated() const { return m_isOutdated; }
    /// \brief Sets how long a leaving replica continues to serve.
    void setDrainTime(duration drain) { m_readSchedule.propagationBound = drain; }
    /// \brief Sets the number of live daemons, this one included.
    void setDaemonCount(std::size_t count)
    {
        m_readSchedule.liveDaemons = std::max<std::size_t>(1, count);
    }

    /// \brief Handles the digest of another daemon's copy. A newer copy is fetched in the
    /// background.
    void onDigest(const peer_digest &announcement);
    /// \returns the digest to send to other daemons, or nothing before the first rows were read.
    std::optional<table_digest> digest() const { return m_table.digest(runtime_clock::now()); }
    /// \returns whether \p request asks for changes of the entries.
    static bool isChangesRequest(const http_request &request);
    /// \returns the changes that another daemon requests.
    http_response serveChanges(const http_request &request);

    /// \returns whether the entries were read.
    bool hasReplicas() const { return m_hasReplicas; }
    const std::map<upstream_id, replica_entry> &replicas() const { return m_replicas; }

private:
    /// \returns whether this daemon has to read the table now.
    bool shouldReadTable();
    /// \brief Reads the changes since the copy, or all rows if there is no copy.
    awaitable<void> readTable();
    awaitable<void> readFullTable();
    /// \returns \p table with the changes since its version.
    awaitable<row_page> withChangesSince(row_page table);
    /// \brief Reads the changes since the copy, each page within \p timeout.
    /// \returns false if the store no longer has them.
    awaitable<bool> readChanges(duration timeout);
    /// \brief Checks the age of the copy periodically. Runs until the process ends.
    awaitable<void> keepFresh();
    /// \brief Refreshes a copy that is too old from the store.
    awaitable<void> refresh();
    copy_freshness freshness();
    void updateOutdated(const copy_freshness &copy);
    /// \brief Reads a row that doesn't exist, to find out whether the store answers this daemon.
    awaitable<void> probeStore();
    awaitable<void> fetchChanges(peer_digest announcement);
    void applyChanges(std::string_view source);
    /// \brief Applies the current row of \p key. \returns whether its entry changed.
    /// \param drainNotBefore a time before the drain time if the change began it, or nothing if
    /// none is known.
    bool applyRow(const std::string &key, std::optional<time_point> drainNotBefore);
    /// \returns the earliest time at which the drain time of a replica may end that was not
    /// draining at \p notBefore, less the time that a request needs to reach it.
    time_point earliestDrainDeadline(time_point notBefore) const;
    void logReplica(const replica_entry *known, const replica_entry &entry) const;
    void logStoreReachability();

    asio::any_io_executor m_executor;
    store &m_store;
    std::shared_ptr<peer_transport> m_transport;
    mechanism_set m_mechanisms;
    replicas_callback m_onReplicas;
    outdated_callback m_onOutdated;
    connection_pool m_pool;
    std::minstd_rand m_random;
    poll_schedule m_readSchedule;
    table_cache m_table;
    std::map<upstream_id, replica_entry> m_replicas;
    unreadable_row_log m_unreadable;
    /// Number of log lines on single replicas of the current update.
    std::size_t m_loggedReplicas = 0;
    bool m_hasReplicas = false;
    bool m_isFetchingChanges = false;
    /// Number of polls without a copy so far.
    int m_pollsWithoutCopy = 0;
    /// When the full table was last served.
    time_point m_fullTableServedAt;
    bool m_storeWasReachable = true;
    bool m_isRefreshing = false;
    bool m_isOutdated = false;
    /// Since when this daemon has been in touch with the store; empty if it is not.
    std::optional<time_point> m_inTouchSince;
};

} // namespace azurehill
