#pragma once

#include "members/datagram_socket.h"
#include "members/member_state.h"
#include "quarantine/quarantine.h"
#include "runtime/timer.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <vector>

namespace azurehill {

/// \brief Which daemons have to know what is known of a request.
enum class crash_audience {
    /// The custodians of its record, and all daemons if it may not be sent.
    AsNeeded,
    Everyone
};

/// \brief Shares the crash ledger with the other daemons. Used on the traffic thread.
///
/// The record of a request is kept by a few custodians, chosen by rendezvous hashing, whatever the
/// number of daemons. Each daemon at which a send of the request was lost reports it to them, and
/// learns from their acknowledgements what others have reported. A request that may not be sent is
/// made known to all daemons at once, and again by one message a second to a random one, for those
/// that were cut off. A daemon that starts asks some others.
class crash_exchange
{
public:
    /// Number of custodians of one request.
    static constexpr std::size_t custodians = 3;
    /// Maximum time for which a daemon that does not stand still waits for acknowledgements.
    static constexpr duration shareTimeout = milliseconds(120);

    /// \param onChanged called with each request of which another daemon told something new.
    crash_exchange(const asio::any_io_executor &executor, crash_ledger &ledger, std::uint64_t seed,
                   std::function<void(const request_fingerprint &)> onChanged);

    /// \brief Sets the callback for each record that has expired and that this daemon, of all that
    /// live, keeps first.
    void onExpired(std::function<void(const crash_report &)> callback)
    {
        m_onExpired = std::move(callback);
    }

    /// \brief Binds \p address and starts the periodic messages.
    /// \returns the bound port, or 0 on failure.
    std::uint16_t start(const endpoint &address);
    /// \brief Sets the state of this daemon and of the other live daemons.
    void setMembers(const member_state &self, std::vector<member_state> others);
    /// \brief Makes what is known of \p request known to \p audience. Returns once a majority of
    /// the custodians, or everyone, has acknowledged that, or after shareTimeout each.
    awaitable<void> share(request_fingerprint request,
                          crash_audience audience = crash_audience::AsNeeded);

private:
    /// One run of a daemon.
    using member_run = std::pair<daemon_id, std::int64_t>;
    /// \brief A notice whose acknowledgements are awaited.
    struct pending_notice
    {
        std::string text;
        std::map<endpoint, member_run> missing;
        /// Number of acknowledgements that need not be awaited.
        std::size_t optional = 0;
        std::shared_ptr<timer> wait;

        bool isDone() const { return missing.size() <= optional; }
    };
    /// \brief The daemons that have to know what is known of a request.
    struct notice_audience
    {
        std::vector<const member_state *> members;
        /// Number of their acknowledgements that need not be awaited.
        std::size_t optional = 0;
    };
    /// \brief The daemons that know what this one reported of a request.
    struct shared_request
    {
        std::set<member_run> informed;
        time_point sharedAt;
    };

    /// \returns the custodians of \p request in their order; null stands for this daemon.
    std::vector<const member_state *> rankCustodians(const request_fingerprint &request) const;
    /// \returns the custodians of \p request but this daemon.
    std::vector<const member_state *> custodiansOf(const request_fingerprint &request) const;
    void expire();
    notice_audience audienceOf(const request_fingerprint &request, crash_audience audience) const;
    /// \brief Sends a notice on \p request until all but \p optional of its recipients have
    /// acknowledged it.
    awaitable<void> notify(request_fingerprint request, std::map<endpoint, member_run> recipients,
                           std::size_t optional);
    /// \brief Sends what this daemon reported of requests to custodians that don't have it.
    void informNewCustodians();
    awaitable<void> runPeriodically();
    void sendReminder();
    void onDatagram(std::string_view text, const endpoint &from);
    void merge(const std::vector<crash_report> &reports);
    std::vector<crash_report> ownReports(const std::vector<crash_report> &reports) const;
    void sendQuarantined(const endpoint &to);

    asio::any_io_executor m_executor;
    crash_ledger &m_ledger;
    std::function<void(const request_fingerprint &)> m_onChanged;
    std::function<void(const crash_report &)> m_onExpired;
    datagram_socket m_socket;
    std::minstd_rand m_random;
    daemon_id m_self;
    std::vector<member_state> m_others;
    std::uint64_t m_lastNumber = 0;
    std::map<std::uint64_t, pending_notice> m_pending;
    std::map<request_fingerprint, shared_request> m_shared;
    std::size_t m_reminded = 0;
};

/// \returns the address at which \p member receives crash messages: three ports after the gossip
/// port.
endpoint crashAddress(const member_state &member);

} // namespace azurehill
