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
    /// How long a lease lasts after its last renewal.
    duration ttl = seconds(3);
    duration renewalInterval = seconds(1);
    /// What a holder gives up early and an observer waits longer, for clocks of different speed.
    duration margin = milliseconds(300);
};

/// \brief One run of a daemon.
struct daemon_run
{
    daemon_id daemon;
    std::string incarnation;

    friend auto operator<=>(const daemon_run &, const daemon_run &) = default;
};

/// \brief What a daemon's row says of its lease.
struct lease_record
{
    daemon_id daemon;
    std::string incarnation;
    /// Grows with each renewal; observers watch it instead of comparing clocks.
    std::uint64_t counter = 0;
    /// Number of the newest view whose gained programs this daemon has loaded.
    fencing_number loadedView = 0;
    /// Number of the newest view that lists all programs which this daemon keeps.
    fencing_number preparedView = 0;
    /// Version of the row as read; not part of its value.
    row_version version = 0;
};

std::string encode(const lease_record &lease);
std::optional<lease_record> decodeLease(std::string_view text);

/// \brief The holder's side of a lease.
class lease_holder
{
public:
    explicit lease_holder(lease_settings settings) : m_settings(settings) { }

    /// \brief Notes that a renewal sent at \p sentAt took effect.
    ///
    /// The lease is counted from the sending: the table may have applied it at any later time.
    void onRenewed(time_point sentAt);
    /// \returns whether the lease holds at \p now. Asked immediately before each effect: a process
    /// that was paused beyond its lease sees it here.
    bool holds(time_point now) const;
    /// \returns when the next renewal is due.
    time_point nextRenewalAt() const;

private:
    lease_settings m_settings;
    std::optional<time_point> m_renewedAt;
};

/// \brief Watches the leases of others, on this machine's clock alone.
///
/// One run of a daemon is watched apart from the next: renewals of a restarted daemon must not keep
/// its former run among the members.
class lease_observer
{
public:
    explicit lease_observer(lease_settings settings) : m_settings(settings) { }

    /// \brief Takes in all leases of the cell. An answer to an older read than the last is dropped.
    /// \param sentAt when the read was sent: what it shows was true at that time or later.
    void onRead(const std::vector<lease_record> &leases, time_point sentAt, time_point now);
    /// \returns whether a read showed the lease standing still for its whole life. Time without a
    /// read proves nothing: an observer whose reads fail would remove daemons that renew.
    bool hasExpired(const daemon_id &daemon, const std::string &incarnation) const;
    /// \returns whether a read showed the lease standing still for clearly longer than a renewal
    /// takes. That alone proves no death: a slow table looks the same.
    bool hasMissedRenewal(const daemon_run &run) const;
    /// \brief Starts to watch a run of \p daemon even if its lease was never read.
    void watch(const daemon_id &daemon, const std::string &incarnation, time_point now);
    /// \returns when the last read that counts was sent.
    time_point lastRead() const { return m_lastRead; }
    /// \returns the row of \p daemon as last read, or nullptr when there was none.
    const lease_record *row(const daemon_id &daemon) const;
    /// \returns the leases that stood still for many lives: of daemons that are gone for good.
    std::vector<lease_record> abandoned() const;

private:
    struct seen
    {
        std::uint64_t counter = 0;
        time_point changedAt;
    };
    bool hasBeenUnchangedFor(const daemon_run &run, duration life) const;
    void pruneEndedRuns();

    lease_settings m_settings;
    std::map<daemon_run, seen> m_observedRuns;
    std::map<daemon_id, lease_record> m_rows;
    time_point m_lastRead = time_point::min();
};

} // namespace azurehill
