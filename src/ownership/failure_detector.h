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
    /// How many others each daemon sends heartbeats to, however large the cell.
    std::size_t fanOut = 3;
    /// Silence after which a daemon is suspected.
    duration silenceTimeout = milliseconds(1600);
    /// How long a sign of failure counts unless it is seen again.
    duration evidenceTtl = seconds(3);
    /// Most signs in one message.
    std::size_t maxEvidencePerMessage = 16;
};

/// \brief A sign that a daemon has failed. Silent: heartbeats got no answer. Refused: its host
/// answered that nobody listens at its port.
enum class failure_kind { Silent, Refused };

template <>
struct enum_names<failure_kind>
{
    static constexpr std::array<std::string_view, 2> names = {"silent", "refused"};
};

/// \brief What one daemon saw of another.
struct failure_evidence
{
    daemon_run run;
    daemon_id observer;
    failure_kind sign = failure_kind::Silent;
    /// Time since it was seen, so that no two clocks are compared.
    duration age{};
};

/// \brief Decides whom to send heartbeats, who is suspected and who refuses connections.
///
/// Each daemon watches its successors on a hash ring over the view. The watchers of one daemon
/// follow each other on the ring, so they hear each other's evidence with the next heartbeat.
class failure_detector
{
public:
    failure_detector(daemon_id self, failure_detector_settings settings)
        : m_self(std::move(self)), m_settings(settings)
    { }

    /// \brief Takes in the members to watch.
    void onView(const cell_view &view, time_point now);
    /// \brief Notes a message from \p run: an answer, or a heartbeat of its own.
    void onSign(const daemon_run &run, time_point now);
    /// \brief Notes that the host of \p run refused a connection to its port.
    void onRefused(const daemon_run &run, time_point now);
    /// \brief Takes in what another daemon knows.
    void onEvidence(const std::vector<failure_evidence> &evidence, time_point now);

    /// \returns the members to which a heartbeat is due at \p now.
    std::vector<member> poll(time_point now);
    /// \returns what to tell others.
    std::vector<failure_evidence> evidence(time_point now) const;
    /// \returns the daemons to leave out of look-ups.
    std::set<daemon_id> suspects(time_point now) const;
    /// \returns the runs whose host refused connections to two observers.
    std::set<daemon_run> refusing(time_point now) const;

private:
    struct peer_observation
    {
        failure_kind sign = failure_kind::Silent;
        time_point at;
    };
    struct peer
    {
        time_point lastMessageAt;
        std::map<daemon_id, peer_observation> latestByObserver;
    };

    bool isFresh(const peer_observation &s, time_point now) const;
    void recordSilentMembers(time_point now);
    void note(const daemon_run &run, const daemon_id &observer, peer_observation seen);

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
