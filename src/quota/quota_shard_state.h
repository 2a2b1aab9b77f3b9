#pragma once

#include "accounts/accounts.h"
#include "quota/credit_ledger.h"
#include "quota/quota_shards.h"

namespace azurehill {

/// \brief State machine of one quota shard, in a daemon that holds the shard's row or tries to
/// acquire it.
///
/// The row in the store is a lease with a reservation for each account: the number of credits that
/// the holder may lend in a window. The holder lends no more than that, and only for
/// \c lendingLeaseDuration after it sent the write. So a daemon that takes over the row knows,
/// without contacting the previous holder, how many credits that one may still lend, and subtracts
/// them from the quota until they no longer count. Two daemons may thus lend at the same time, but
/// never more than the limit together.
///
/// It does no I/O: rows and the time are inputs, rows to write and verdicts are outputs.
class quota_shard_state
{
public:
    /// Time for which a holder may lend after it sent the last successful write of the row. It is
    /// longer than usual outages of the store.
    static constexpr duration lendingLeaseDuration = seconds(10);

    /// \param self this daemon.
    /// \param incarnation incarnation of this daemon under which it holds the row.
    quota_shard_state(daemon_id self, std::int64_t incarnation, const quota_bound &bound);

    /// \brief Resets the state to take over the row from its previous holder.
    /// \param previousRow the row that the store has, or nothing if there is none.
    /// \param state state of the holder that \p previousRow names; must not be Alive.
    void takeOver(const std::optional<quota_row> &previousRow, holder_state state, time_point now);

    /// \returns the row to write at \p now. Reservations that it lowers take effect at once, those
    /// that it raises only with onRowWritten().
    /// \param accounts accounts of the active configuration.
    quota_row prepare(const account_registry &accounts, time_point now);
    /// \brief Stops lending.
    /// \returns the row that releases the shard.
    quota_row release(time_point now);
    /// \brief Notes that \p row was stored by a write that was sent at \p sentAt.
    void onRowWritten(const quota_row &row, time_point sentAt);
    /// \brief Discards all state, since another daemon holds the row.
    void onRowLost();

    /// \returns the incarnation of this daemon under which it holds the row.
    std::int64_t incarnation() const { return m_incarnation; }
    /// \returns whether this daemon may lend at \p now.
    bool mayLend(time_point now) const { return m_isHeld && now < m_lendingLeaseEnd; }
    /// \returns whether this daemon holds the row, by its last write. The row may have been taken
    /// over since.
    bool isHeld() const { return m_isHeld; }
    /// \brief Lends a credit of \p account. mayLend() must be true.
    /// \param quotaLimit maximum number of credits that all daemons together may lend in a window.
    lend_result lend(const account_id &account, const credit_id &id, credit_use use, int quotaLimit,
                     time_point now);
    void restoreCredit(const account_id &account, const credit_id &id);

private:
    struct account_state
    {
        credit_ledger ledger;
        /// Whether a request has exceeded the reservation since the last write of the row.
        bool isReservationTooSmall = false;
    };

    account_state &stateOf(const account_id &account);

    daemon_id m_self;
    std::int64_t m_incarnation;
    quota_bound m_bound;
    std::map<account_id, account_state> m_accounts;
    bool m_isHeld = false;
    time_point m_lendingLeaseEnd;
};

} // namespace azurehill
