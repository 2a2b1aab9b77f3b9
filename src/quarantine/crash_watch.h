#pragma once

#include "core/enum_names.h"
#include "quarantine/request_fingerprint.h"
#include "quarantine/send_loss.h"
#include "replicas/replica_incarnation.h"

#include <functional>
#include <map>
#include <vector>

namespace azurehill {

/// \brief What is known of the process of a replica that lost a send.
enum class replica_fate {
    /// Unknown: it may have ended, or may still end under the request.
    Suspected,
    /// It ended while it ran the request.
    Ended,
    /// It lived on, or ended as announced.
    Cleared
};

template <>
struct enum_names<replica_fate>
{
    static constexpr std::array<std::string_view, 3> names = {"suspected", "ended", "cleared"};
};

/// \brief One send that a replica lost. \c send distinguishes the sends of one request.
struct lost_send
{
    request_fingerprint request;
    replica_incarnation replica;
    std::uint64_t send = 0;

    friend auto operator<=>(const lost_send &, const lost_send &) = default;
};

/// \brief A change of what is known of a lost send.
struct crash_finding
{
    lost_send lost;
    replica_fate fate = replica_fate::Suspected;
    send_loss loss = send_loss::ConnectionEnded;
    /// Time since the send was lost.
    duration after = duration::zero();
    /// Time for which the replica may still work on the request.
    duration workLeft = duration::zero();
    /// Time for which an end of its process counts as one under the request.
    duration endLeft = duration::zero();
};

/// \brief What this daemon sees of a replica at present.
struct replica_sight
{
    /// Whether this process of the replica is listed.
    bool isListed = false;
    /// Whether it has announced that it leaves.
    bool isDraining = false;
    /// When bytes of it last arrived on any connection.
    time_point lastReceivedAt;
    /// If it has announced that: a time before the announcement, and until when it serves on.
    time_point drainNotBefore = {};
    time_point drainDeadline = {};
};

using replica_lookup = std::function<replica_sight(const replica_incarnation &)>;

/// \brief Determines of each send that a replica lost whether its process ended.
///
/// How the send was lost does not show that, so each lost send is a suspicion at once. A process
/// has ended once its entry is gone, another process has its address, or a newer one its id, unless
/// it showed a sign of life after an end would have counted as one under the request, or had
/// announced that it leaves and served on for its drain time. The announcement itself is a sign of
/// life, and so is an entry that comes back after an outage of the store. Time alone clears
/// nothing.
class crash_watch
{
public:
    /// \brief Records that the replica of \p lost lost a send. Without effect if the replica leaves
    /// as planned.
    void onSendLost(const lost_send &lost, const loss_observation &seen,
                    const replica_lookup &lookup, time_point now);
    /// \brief Another process answered at the address of \p who.
    void onAddressTaken(const replica_incarnation &who, time_point now);
    /// \brief Updates what is known by what \p lookup tells of each watched replica.
    void update(const replica_lookup &lookup, time_point now);

    /// \returns the changes since the last call. A send whose answer may be whole is reported only
    /// once its replica is known to have ended: its client does not send the request again.
    std::vector<crash_finding> takeFindings();
    /// \returns the number of lost sends that are watched.
    std::size_t size() const { return m_watched.size(); }

    /// Maximum number of watched sends; further ones stay suspicions.
    static constexpr std::size_t maxWatched = 1024;

private:
    struct watched_send
    {
        send_loss loss = send_loss::ConnectionEnded;
        time_point lostAt;
        time_point mayEndUntil;
        replica_fate fate = replica_fate::Suspected;
        /// Whether the entry of the replica was gone.
        bool wasUnlisted = false;
    };

    static bool isReported(const watched_send &w);
    /// \returns when the replica certainly no longer works on the request, if its process lives.
    static time_point workUntil(const watched_send &w);
    void report(const lost_send &lost, const watched_send &w, time_point now);
    void setFate(const lost_send &lost, watched_send &w, replica_fate fate, time_point now);
    void updateOne(const lost_send &lost, watched_send &w, const replica_sight &sight,
                   time_point now);

    std::map<lost_send, watched_send> m_watched;
    std::vector<crash_finding> m_findings;
};

} // namespace azurehill
