#pragma once

#include "core/ids.h"
#include "core/runtime_clock.h"
#include "platform/table.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace azurehill {

struct lease_settings
{
    /// How long a lease is valid after its last renewal.
    duration ttl = seconds(3);
    duration renewalInterval = seconds(1);
    /// Allowance for clocks that run at different speeds: the holder stops this much before the TTL
    /// and an observer waits this much beyond it.
    duration clockMargin = milliseconds(300);
};

/// \brief One process run of a daemon.
struct daemon_run
{
    daemon_id daemon;
    std::string incarnation;

    friend auto operator<=>(const daemon_run &, const daemon_run &) = default;
};

/// \brief Contents of a daemon's lease row.
struct lease_record
{
    daemon_id daemon;
    std::string incarnation;
    /// Incremented with each renewal; observers watch it for changes instead of comparing clocks.
    std::uint64_t counter = 0;
    /// Number of the newest view for which this daemon has loaded the programs it gained.
    fencing_number loadedView = 0;
    /// Number of the newest view that lists all programs that this daemon has to retain.
    fencing_number preparedView = 0;
    /// Version of the row as read; not part of the stored value.
    row_version version = 0;
};

std::string encode(const lease_record &lease);
std::optional<lease_record> decodeLease(std::string_view text);

/// \brief Tracks the validity of the lease that this daemon holds.
class lease_holder
{
public:
    explicit lease_holder(lease_settings settings) : m_settings(settings) { }

    /// \brief Records that a renewal sent at \p sentAt took effect.
    ///
    /// The lease starts when the renewal is sent, because the table may have applied it at any time
    /// after that.
    void onRenewed(time_point sentAt);
    /// \returns whether the lease is valid at \p now. Must be checked immediately before each
    /// effect, so that a process that was paused for longer than its lease stops.
    bool holds(time_point now) const;
    /// \returns when the next renewal is due.
    time_point nextRenewalAt() const;

private:
    lease_settings m_settings;
    std::optional<time_point> m_renewedAt;
};

/// \brief Detects expired leases of other daemons, using only the local clock.
///
/// Each run of a daemon is watched separately: renewals of a restarted daemon must not keep its
/// previous run among the members.
class lease_observer
{
public:
    explicit lease_observer(lease_settings settings) : m_settings(settings) { }

    /// \brief Processes a read of all leases of the cell. The result of a read older than the last
    /// one is ignored.
    /// \param sentAt when the read was sent; the result reflects the table at that time or later.
    void onRead(const std::vector<lease_record> &leases, time_point sentAt, time_point now);
    /// \returns whether a read showed that the lease was not renewed for its whole TTL. Time
    /// without a successful read does not count: otherwise an observer whose reads fail would
    /// remove daemons that renew their leases.
    bool hasExpired(const daemon_id &daemon, const std::string &incarnation) const;
    /// \returns whether a read showed that the lease was not renewed for one and a half renewal
    /// intervals. This alone does not prove that the daemon has failed: a slow table has the same
    /// effect.
    bool hasMissedRenewal(const daemon_run &run) const;
    /// \brief Starts watching a run of \p daemon, even if its lease was never read.
    void watch(const daemon_id &daemon, const std::string &incarnation, time_point now);
    /// \returns when the newest processed read was sent.
    time_point lastRead() const { return m_lastRead; }
    /// \returns the lease row of \p daemon as last read, or nullptr if there was none.
    const lease_record *row(const daemon_id &daemon) const;
    /// \returns the leases that have not been renewed for many TTLs; their daemons will not come
    /// back.
    std::vector<lease_record> abandonedLeases() const;

private:
    struct observed_counter
    {
        std::uint64_t counter = 0;
        time_point changedAt;
    };
    bool hasBeenUnchangedFor(const daemon_run &run, duration period) const;
    void pruneEndedRuns();

    lease_settings m_settings;
    std::map<daemon_run, observed_counter> m_observedRuns;
    std::map<daemon_id, lease_record> m_rows;
    time_point m_lastRead = time_point::min();
};

} // namespace azurehill
