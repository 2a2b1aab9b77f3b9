#pragma once

#include "core/enum_names.h"
#include "ownership/cell_view.h"
#include "ownership/lease.h"

#include <map>
#include <set>

namespace azurehill {

struct failure_detector_settings
{
    duration heartbeatInterval = milliseconds(500);
    /// Number of members to which each daemon sends heartbeats, independent of the size of the
    /// cell.
    std::size_t fanOut = 3;
    /// A daemon that has sent no message for this long is suspected.
    duration silenceTimeout = milliseconds(1600);
    /// How long an observed failure remains valid unless it is observed again.
    duration evidenceTtl = seconds(3);
    /// Maximum number of observations in one message.
    std::size_t maxEvidencePerMessage = 16;
};

/// \brief How a failure was observed. Silent: heartbeats were not answered. Refused: the host is up
/// and refused the connection, so no process listens at the daemon's port.
enum class failure_kind { Silent, Refused };

template <>
struct enum_names<failure_kind>
{
    static constexpr std::array<std::string_view, 2> names = {"silent", "refused"};
};

/// \brief One daemon's observation that another has failed, as exchanged in heartbeats.
struct failure_evidence
{
    daemon_run run;
    daemon_id observer;
    failure_kind kind = failure_kind::Silent;
    /// Time since the observation. An age is sent instead of a time stamp so that clocks of
    /// different hosts are never compared.
    duration age{};
};

/// \brief Heartbeat failure detector: selects the members to send heartbeats to, and reports which
/// members are suspected and which refuse connections.
///
/// Each daemon watches its successors on a hash ring over the view. The watchers of one daemon are
/// neighbours on the ring, so they exchange their evidence with the next heartbeat.
class failure_detector
{
public:
    failure_detector(daemon_id self, failure_detector_settings settings)
        : m_self(std::move(self)), m_settings(settings)
    { }

    /// \brief Sets the members to watch.
    void onView(const cell_view &view, time_point now);
    /// \brief Records a message from \p run: a heartbeat or the answer to one.
    void onMessageReceived(const daemon_run &run, time_point now);
    /// \brief Records that the host of \p run refused a connection to the daemon's port.
    void onConnectionRefused(const daemon_run &run, time_point now);
    /// \brief Merges the evidence received from another daemon.
    void onEvidence(const std::vector<failure_evidence> &evidence, time_point now);

    /// \returns the members to which a heartbeat is due at \p now.
    std::vector<member> poll(time_point now);
    /// \returns the valid evidence to send to other daemons, newest first.
    std::vector<failure_evidence> evidence(time_point now) const;
    /// \returns the suspected daemons, which are excluded from look-ups.
    std::set<daemon_id> suspects(time_point now) const;
    /// \returns the runs for which two observers saw a refused connection.
    std::set<daemon_run> runsRefusingConnections(time_point now) const;

private:
    struct peer_observation
    {
        failure_kind kind = failure_kind::Silent;
        time_point at;
    };
    struct peer
    {
        time_point lastMessageAt;
        std::map<daemon_id, peer_observation> latestByObserver;
    };

    bool isFresh(const peer_observation &s, time_point now) const;
    void recordSilentMembers(time_point now);
    void recordObservation(const daemon_run &run, const daemon_id &observer, peer_observation seen);

    daemon_id m_self;
    failure_detector_settings m_settings;
    std::vector<member> m_watched;
    std::map<daemon_run, peer> m_peers;
    time_point m_nextHeartbeatAt = time_point::min();
};

/// \returns the \p count members that follow \p self on the hash ring over \p view.
std::vector<member> ringSuccessorsOf(const cell_view &view, const daemon_id &self,
                                     std::size_t count);

} // namespace azurehill
