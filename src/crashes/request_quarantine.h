#pragma once

#include "crashes/crash_archive.h"
#include "crashes/crash_exchange.h"
#include "crashes/missing_members.h"
#include "runtime/notifier.h"

#include <random>

namespace azurehill {

/// \brief What was seen of the process of a replica that was asked whether it lives.
enum class process_sight {
    /// The process of that replica answered.
    Alive,
    /// Another process answered.
    Replaced,
    /// Nothing answered, or its address is not known.
    Unknown
};

template <>
struct enum_names<process_sight>
{
    static constexpr std::array<std::string_view, 3> names = {"alive", "replaced", "unknown"};
};

/// \brief Decision on a send, and the number by which evidence names it.
struct send_announcement
{
    send_verdict verdict;
    std::uint64_t send = 0;
};

/// \brief Asks replicas, given by their digests, whether their processes live.
/// \returns what was seen of each, in the same order.
using process_inquiry
    = std::function<awaitable<std::vector<process_sight>>(std::vector<std::uint64_t>)>;

/// \brief Gives the digests of the replicas that the store lists, sorted.
using listed_replicas = std::function<std::vector<std::uint64_t>()>;

/// \brief Quarantine of requests under which replicas end. Every send of a request to a replica is
/// decided here. Used on the traffic thread.
///
/// Three replicas may end under one request, over all of its attempts and all daemons. One that
/// lost a send and of which nothing more is known counts as one that may have ended. What is known
/// of a lost send reaches the daemons that keep the request's record before its client gets an
/// answer, and so before the client can send the next attempt, unless they don't acknowledge it in
/// time. A daemon that is cut off from the others decides by what it knows itself.
///
/// Before a request is deferred, the replicas that may have ended under it are asked whether they
/// live, so that slow replicas and cut connections don't keep it back. Those that may still end are
/// asked again for each decision.
///
/// The evidence is kept in the store as well. A daemon that starts decides nothing until it has
/// read it: requests wait for that, and are refused if it takes long. One that misses other
/// daemons, or stood still, reads it again, since their reports may not have reached it.
class request_quarantine
{
public:
    /// \param seed seed of random choices.
    request_quarantine(const asio::any_io_executor &executor, std::uint64_t seed);

    /// \brief Sets the store that keeps the evidence; call it before start(). Without it the
    /// evidence lives in the memory of the daemons only.
    /// \param onRestored called once the evidence in the store has been read.
    void setStore(store &evidence, std::function<void()> onRestored);
    std::uint16_t start(const endpoint &address);
    void setMembers(const member_state &self, std::vector<member_state> others);

    /// \brief Sets how replicas are asked whether they live, and how to find those that the store
    /// lists. Without it suspicions are settled by the daemons that have them.
    void setDirectory(process_inquiry inquiry, listed_replicas listed)
    {
        m_inquiry = std::move(inquiry);
        m_listed = std::move(listed);
    }

    /// \returns whether this daemon has read the evidence in the store.
    bool isRestored() const { return !m_archive || m_isRestored; }
    /// \returns whether \p request may be sent to a replica, by what is known now.
    send_verdict verdict(const request_fingerprint &request) const;
    /// \brief Waits until the other daemons know what this one knows of \p request.
    awaitable<void> waitUntilShared(request_fingerprint request);
    /// \brief Waits until the other daemons know what this one knows of \p request, asks the
    /// replicas that may have ended under it if they are reason to defer it, and returns whether
    /// the request may be sent.
    awaitable<send_verdict> settledVerdict(request_fingerprint request);
    /// \brief Likewise, for the send \p send. If others of the request were lost, the other daemons
    /// know of it before this returns, and it is in flight until onSendEnded() or onSendLost().
    /// \param timeLeft time for which the replica may work on it.
    /// \returns the verdict, and the number that the send has from now on.
    awaitable<send_announcement> announce(lost_send send, duration timeLeft);
    /// \brief The send \p send was not made, was refused, or was answered.
    void onSendEnded(const lost_send &send);
    /// \brief Records that the replica of \p lost lost a send.
    void onSendLost(const lost_send &lost, const loss_observation &seen,
                    const replica_lookup &lookup);
    /// \brief Another process answered at the address of \p who.
    void onAddressTaken(const replica_incarnation &who);
    /// \brief Updates what is known of the replicas that lost sends. Call it often.
    void update(const replica_lookup &lookup);
    /// \returns what is known of the requests that may not be sent at present.
    std::vector<crash_report> quarantinedRequests() const;
    /// \brief Lets \p request be sent again, through all daemons, whatever ended under it so far.
    /// \returns whether anything was known of it.
    bool lift(const request_fingerprint &request);

private:
    /// \brief A verdict, and the evidence that was not counted for it.
    struct decision
    {
        send_verdict verdict;
        std::vector<crash_evidence> uncounted;
    };

    awaitable<decision> decide(request_fingerprint request);
    /// \brief Announces \p send once. \returns whether it may be sent.
    awaitable<send_verdict> tryAnnounce(lost_send send, duration timeLeft);
    /// \brief Records that \p send is in flight. \returns the suspicion that it amounts to.
    crash_evidence recordInFlight(const lost_send &send, duration timeLeft);
    /// \brief Reads the evidence in the store.
    awaitable<void> restore();
    awaitable<void> waitUntilRestored();
    /// \brief Merges the evidence in the rows of \p range. \returns whether the store answered.
    awaitable<bool> readEvidence(row_range range, duration timeout);
    void mergeEvidence(const evidence_page &page);
    /// \brief Follows the evidence in the store while other daemons are missing.
    awaitable<void> followEvidence();
    /// \brief Reads what has changed since the version \p after, or everything if that is 0.
    /// \returns the version up to which this daemon knows the evidence, or 0.
    awaitable<store_version> readChanges(store_version after);
    /// \returns whether \p verdict on \p request may change as soon as a send in flight ends.
    bool isKeptBackByFlight(const request_fingerprint &request, const send_verdict &verdict) const;
    /// \returns whether what other daemons report of \p request may not have arrived here.
    bool mayMissReports(const request_fingerprint &request) const;
    /// \brief Reads the evidence again after this daemon stood still; requests wait for that.
    awaitable<void> readAfterStandstill();
    /// \brief Lets the requests go on that wait for the evidence in the store.
    void endRestoreWait();
    void logRestored(duration elapsed) const;
    /// \brief Updates the row of the send of \p finding.
    /// \param wasKnown whether the row was written before.
    void archive(const crash_finding &finding, bool wasKnown);
    /// \brief Records the findings on lost sends, and shares them with the other daemons.
    void processFindings();
    /// \brief Asks the replicas that may have ended under \p request whether they live.
    /// \returns the suspicions against those that do, and may still end.
    awaitable<std::vector<crash_evidence>> settleSuspicions(request_fingerprint request);
    /// \brief Settles suspicions of daemons that may have ended themselves.
    void adoptSuspicions(time_point now);
    void startSharing(const request_fingerprint &request, crash_audience audience);
    awaitable<void> share(request_fingerprint request, crash_audience audience,
                          std::shared_ptr<notifier> done);
    void logVerdict(const request_fingerprint &request) const;

    asio::any_io_executor m_executor;
    std::minstd_rand m_random;
    crash_watch m_watch;
    crash_ledger m_ledger;
    crash_exchange m_exchange;
    std::unique_ptr<crash_archive> m_archive;
    std::function<void()> m_onRestored;
    bool m_isRestored = false;
    /// Until when requests wait for the evidence in the store.
    time_point m_awaitedUntil;
    bool m_isReading = false;
    missing_members m_missing;
    std::size_t m_daemons = 1;
    /// Timers of the requests that wait for the evidence in the store.
    std::set<std::shared_ptr<timer>> m_restoreWaiters;
    /// Requests that are being shared, and who waits for that.
    std::map<request_fingerprint, std::shared_ptr<notifier>> m_sharing;
    process_inquiry m_inquiry;
    listed_replicas m_listed;
    time_point m_updatedAt;
    time_point m_adoptedAt;
};

} // namespace azurehill
