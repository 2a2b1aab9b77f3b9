#pragma once

#include "core/core.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace azurehill {

/// \brief What a credit is for.
enum class credit_use {
    /// The first turn of a program.
    Begin,
    /// Any other request. Rejecting it would waste the work of the program's earlier turns.
    Continue,
};

template <>
struct enum_names<credit_use>
{
    static constexpr std::array<std::string_view, 2> names = {"begin", "go_on"};
};

/// \brief Identifies a credit request: the daemon that borrows, its incarnation, and the sequence
/// number of the request within that incarnation.
struct credit_id
{
    daemon_id borrower;
    std::int64_t incarnation = 0;
    std::uint64_t number = 0;

    friend auto operator<=>(const credit_id &, const credit_id &) = default;
};

enum class lend_verdict {
    Lent,
    /// The account's quota is exhausted.
    OverQuota,
    /// The quota has credits left, but lending one would exceed the reservation in the store.
    ReservationTooSmall,
};

/// \brief Result of a credit request.
struct lend_result
{
    lend_verdict verdict = lend_verdict::Lent;
    /// Time until a credit becomes available. Set for OverQuota only.
    duration retryAfter = duration::zero();
};

/// \brief Upper bound of the credits that another daemon, live or dead, has lent or may still lend,
/// and the time until which they count against the quota.
struct peer_credits
{
    int credits = 0;
    time_point until;
};

/// \brief Sliding-window rate limiter of one account. It lends one credit for each request.
///
/// A credit is used within \c creditLifetime after it was requested, or never. So if no period of
/// length window + \c creditLifetime contains more lent credits than the limit, no window contains
/// more used ones.
///
/// New programs are admitted only as far as the running ones will still get credits: rejecting the
/// fifth turn of a program wastes the four before it. The mean number of requests per program is
/// estimated from the programs that were admitted before.
class credit_ledger
{
public:
    /// Maximum time between the request for a credit and its use.
    static constexpr duration creditLifetime = milliseconds(250);

    /// \param window length of the sliding window for which the limit holds.
    explicit credit_ledger(duration window) : m_span(window + creditLifetime) { }

    /// \brief Lends a credit to \p id. A repeated request for an id that holds a credit succeeds
    /// without using another one.
    /// \param quotaLimit maximum number of credits that all daemons together may lend in a window.
    lend_result lend(const credit_id &id, credit_use use, int quotaLimit, time_point now);
    /// \brief Makes the credit of \p id available again. It must not have been used and must never
    /// be used.
    void restoreCredit(const credit_id &id);

    /// \returns the number of credits that may be lent in a window under the reservation that the
    /// store holds.
    int reservedCredits() const { return m_reservedCredits; }
    void setReservedCredits(int level) { m_reservedCredits = level; }
    /// \returns the reservation for the current demand: the credits lent now, plus headroom.
    /// \param isReservationTooSmall whether a request exceeded the current reservation.
    int targetReservation(int quotaLimit, bool isReservationTooSmall, time_point now);

    /// \brief Counts \p share of another daemon against the quota.
    void addPeerCredits(const peer_credits &share) { m_peerCredits.push_back(share); }
    /// \returns the credits of other daemons that count against the quota at \p now.
    const std::vector<peer_credits> &peerCredits(time_point now);
    /// \returns the number of credits lent in the last window + \c creditLifetime.
    int lentCredits(time_point now);

private:
    struct grant
    {
        credit_id id;
        credit_use use = credit_use::Continue;
        time_point at;
    };

    void expire(time_point now);
    /// \returns the number of credits that this daemon may lend in a window: the limit less the
    /// credits of other daemons.
    int lendableCredits(int quotaLimit, time_point now);
    /// \returns the time until the oldest \p count grants for \p use, or for any use, have expired.
    duration timeUntilExpired(int count, std::optional<credit_use> use, time_point now) const;
    /// \returns the time until a request for \p use is admissible, or nothing if it is so now.
    std::optional<duration> admissionDelay(credit_use use, int quotaLimit, time_point now);
    double requestsPerProgram() const;
    void updateRequestEstimate(const grant &g);
    int programsBegun() const;

    duration m_span;
    int m_reservedCredits = 0;
    /// In chronological order.
    std::deque<grant> m_grants;
    std::set<credit_id> m_grantIds;
    std::vector<peer_credits> m_peerCredits;
    /// Admitted requests and programs, with exponentially decaying weights.
    double m_requests = 0;
    double m_programs = 0;
    time_point m_estimateUpdatedAt;
};

} // namespace azurehill
