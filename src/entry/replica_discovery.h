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

/// \brief Keeps up with the replicas' entries: reads them now and then, and takes what others read.
///
/// All daemons together read the table as often as sixteen would, whatever their number, and hear
/// from each other within a second that it changed. A daemon whose copy gets too old, since nobody
/// reaches the store or it reaches nobody, reads for itself. A daemon that has a copy reads what
/// changed since; one that has none takes it from another daemon, unless it is its turn to read.
/// Lives on the control thread.
class replica_discovery
{
public:
    using receiver = std::function<void(std::vector<replica_entry>)>;

    /// \param transport tells whether the store answers this daemon directly.
    /// \param onReplicas called whenever entries changed.
    replica_discovery(const asio::any_io_executor &executor, store &rows,
                      std::shared_ptr<peer_transport> transport, const daemon_id &self,
                      const mechanism_set &mechanisms, receiver onReplicas);

    /// \brief Reads when it is this daemon's turn. Runs until the program ends.
    awaitable<void> follow();
    /// \brief Takes in how long a leaving replica goes on serving.
    void setDrainTime(duration drain) { m_turns.propagationBound = drain; }
    /// \brief Takes in how many daemons live, this one included.
    void setDaemons(std::size_t count) { m_turns.liveDaemons = std::max<std::size_t>(1, count); }

    /// \brief Another daemon told of its copy. A newer one is asked for in the background.
    void onDigest(const peer_digest &news);
    /// \returns the digest to tell, or nothing before the first rows came.
    std::optional<table_digest> digest() const { return m_table.digest(runtime_clock::now()); }
    /// \returns whether \p request asks for changes of the entries.
    static bool isChangesRequest(const http_request &request);
    /// \returns the changes that another daemon asks for.
    http_response serveChanges(const http_request &request);

    /// \returns whether the entries are known.
    bool hasReplicas() const { return m_hasReplicas; }
    const std::map<upstream_id, replica_entry> &replicas() const { return m_replicas; }

private:
    /// \returns whether this daemon reads the table now.
    bool shouldReadTable();
    /// \brief Reads what changed since the copy, or all rows where there is no copy.
    awaitable<void> readTable();
    awaitable<void> readFullTable();
    /// \returns whether the store still told what changed since the copy.
    awaitable<bool> readChanges();
    /// \brief Reads one row, to learn whether the store answers this daemon.
    awaitable<void> probeStore();
    awaitable<void> takeChanges(peer_digest news);
    void adopt(std::string_view source);
    /// \brief Takes in the row of \p key as it is now. \returns whether its entry is another one.
    bool applyRow(const std::string &key);
    void logReplica(const replica_entry *known, const replica_entry &entry) const;
    void logStoreReachability();

    asio::any_io_executor m_executor;
    store &m_store;
    std::shared_ptr<peer_transport> m_transport;
    mechanism_set m_mechanisms;
    receiver m_onReplicas;
    connection_pool m_pool;
    std::minstd_rand m_random;
    poll_schedule m_turns;
    table_cache m_table;
    std::map<upstream_id, replica_entry> m_replicas;
    unreadable_row_log m_unreadable;
    /// Lines on single replicas at the change that is being taken in.
    std::size_t m_loggedReplicas = 0;
    bool m_hasReplicas = false;
    bool m_isFetchingChanges = false;
    /// Looks without a copy so far.
    int m_pollsWithoutCopy = 0;
    /// When the whole table was last handed out.
    time_point m_fullTableServedAt;
    bool m_storeWasReachable = true;
};

} // namespace azurehill
