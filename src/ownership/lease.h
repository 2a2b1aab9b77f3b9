#pragma once

#include "core/ids.h"
#include "core/runtime_clock.h"

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace azurehill {

struct lease_settings
{
    /// How long a lease lasts after its last renewal.
    duration ttl = seconds(3);
    duration renewEvery = seconds(1);
    /// What a holder gives up early and an observer waits longer, for clocks of different speed.
    duration margin = milliseconds(300);
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
    time_point renewAt() const;

private:
    lease_settings m_settings;
    std::optional<time_point> m_renewedAt;
};

/// \brief Watches the leases of others, on this machine's clock alone.
class lease_observer
{
public:
    explicit lease_observer(lease_settings settings) : m_settings(settings) { }

    /// \brief Notes a lease as read at \p now.
    void onRead(const lease_record &lease, time_point now);
    /// \returns whether the lease of \p daemon has stood still for its whole life.
    bool hasLapsed(const daemon_id &daemon, time_point now) const;
    /// \brief Starts to watch \p daemon even if its lease was never read.
    void watch(const daemon_id &daemon, time_point now);
    void forget(const daemon_id &daemon);

private:
    struct seen
    {
        std::string incarnation;
        std::uint64_t counter = 0;
        time_point changedAt;
    };

    lease_settings m_settings;
    std::unordered_map<daemon_id, seen> m_seen;
};

} // namespace azurehill
