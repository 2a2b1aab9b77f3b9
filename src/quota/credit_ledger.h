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
    /// Anything else: refusing it would waste what its program has used already.
    Continue,
};

template <>
struct enum_names<credit_use>
{
    static constexpr std::array<std::string_view, 2> names = {"begin", "go_on"};
};

/// \brief Names one request for a credit: the daemon's run that asks, and its number there.
struct credit_id
{
    daemon_id borrower;
    std::int64_t incarnation = 0;
    std::uint64_t number = 0;

    friend auto operator<=>(const credit_id &, const credit_id &) = default;
};

enum class lend_verdict {
    Lent,
    /// The account has used up its quota.
    OverQuota,
    /// The quota has room, and more than the store knows of would be lent.
    ReservationTooSmall,
};

/// \brief An answer to a request for a credit.
struct lend_result
{
    lend_verdict verdict = lend_verdict::Lent;
    /// When a credit is there again; for OverQuota only.
    duration retryAfter = duration::zero();
};

/// \brief Credits that another daemon may still lend, or that a dead one has lent.
struct peer_credits
{
    int credits = 0;
    time_point until;
};

/// \brief Lends the credits of one account, one for each request.
///
/// A credit is used within \c creditLifetime of the request for it, or never. So if no span of the
/// window and \c creditLifetime has more credits lent in it than the bound, no window has more used
/// in it.
///
/// Programs are let in so that those under way find credits: a refused fifth turn wastes four. How
/// many requests a program makes is learned from those that were let in before.
class credit_ledger
{
public:
    /// Time from the request for a credit to its use.
    static constexpr duration creditLifetime = milliseconds(250);

    /// \param window span of the bound.
    explicit credit_ledger(duration window) : m_span(window + creditLifetime) { }

    /// \brief Lends a credit to \p id. Asked again for the same id, it gives the same answer.
    /// \param most credits that all daemons may lend in a window.
    lend_result lend(const credit_id &id, credit_use use, int most, time_point now);
    /// \brief Takes back a credit that was not used and never will be.
    void restoreCredit(const credit_id &id);

    /// \returns the credits that may be lent in a window by what the store knows.
    int level() const { return m_reservedCredits; }
    void setReservedCredits(int level) { m_reservedCredits = level; }
    /// \returns the level that fits what is lent now: never less than that, with room to grow.
    /// \param isReservationTooSmall whether the present level was too low for a request.
    int targetReservation(int most, bool isReservationTooSmall, time_point now);

    /// \brief Another daemon may lend \p share, or has lent it.
    void addPeerCredits(const peer_credits &share) { m_peerCredits.push_back(share); }
    /// \returns what others may have lent and may still lend.
    const std::vector<peer_credits> &foreign(time_point now);
    /// \returns the credits lent in the span that ends now.
    int lent(time_point now);

private:
    struct grant
    {
        credit_id id;
        credit_use use = credit_use::Continue;
        time_point at;
    };

    void expire(time_point now);
    /// \returns what this daemon may lend in a window, by the bound and by what others may lend.
    int capacity(int most, time_point now);
    /// \returns the time until \p count of the grants for \p use, or of all, count no more.
    duration timeUntilExpired(int count, std::optional<credit_use> use, time_point now) const;
    /// \returns the time until the quota has room for \p use, or nothing if it has room now.
    std::optional<duration> admissionDelay(credit_use use, int most, time_point now);
    double requestsPerProgram() const;
    void learn(const grant &g);
    int begins() const;

    duration m_span;
    int m_reservedCredits = 0;
    /// In order of time.
    std::deque<grant> m_grants;
    std::set<credit_id> m_grantIds;
    std::vector<peer_credits> m_peerCredits;
    /// Requests and programs that were let in, each weighing less as time goes by.
    double m_requests = 0;
    double m_programs = 0;
    time_point m_estimateUpdatedAt;
};

} // namespace azurehill
