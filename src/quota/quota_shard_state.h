#pragma once

#include "accounts/accounts.h"
#include "quota/credit_ledger.h"
#include "quota/quota_shards.h"

namespace azurehill {

/// \brief One shard's credits, as the daemon sees them that holds its row or wants to.
///
/// The row in the store says how many credits of each account its holder may lend in a window. The
/// holder lends no more than that, and only for \c validity after the write was sent. So whoever
/// takes the row over knows without asking what the one before may still lend, and leaves that much
/// of the bound alone until it can't count any more. Two daemons may so lend at a time, never more
/// than the bound together.
///
/// It does no input or output: rows and the time go in, rows to write and verdicts come out.
class quota_shard_state
{
public:
    /// How long a holder may lend after it sent the row's last write. Longer than an outage of the
    /// store usually lasts.
    static constexpr duration validity = seconds(10);

    /// \param self the daemon and the run of it that holds or wants the row.
    quota_shard_state(daemon_id self, std::int64_t incarnation, const quota_bound &bound);

    /// \brief Begins anew from \p before, the row as the store has it, or nothing if there is none.
    /// \param state what is known of the row's holder; not Lives.
    void takeOver(const std::optional<quota_row> &before, holder_state state, time_point now);

    /// \returns the row to write at \p now. Levels that it lowers count as lowered from here on,
    /// those that it raises only once onRowWritten() comes.
    /// \param accounts those of the configuration in force.
    quota_row prepare(const account_registry &accounts, time_point now);
    /// \returns the row that gives the shard up; nothing is lent after this.
    quota_row release(time_point now);
    /// \brief \p row is in the store. Its write was sent at \p sentAt.
    void onRowWritten(const quota_row &row, time_point sentAt);
    /// \brief Another daemon holds the row.
    void onRowLost();

    /// \returns the run of the daemon that holds or wants the row.
    std::int64_t incarnation() const { return m_incarnation; }
    /// \returns whether this daemon may lend at \p now.
    bool mayLend(time_point now) const { return m_isHeld && now < m_lendingLeaseEnd; }
    /// \returns whether this daemon holds the row as far as it knows.
    bool isHeld() const { return m_isHeld; }
    /// \brief Lends a credit of \p account. Call it only where mayLend() is true.
    /// \param most credits that all daemons may lend in a window.
    lend_result lend(const account_id &account, const credit_id &id, credit_use use, int most,
                     time_point now);
    void restoreCredit(const account_id &account, const credit_id &id);

private:
    struct account_state
    {
        credit_ledger ledger;
        /// A request did not fit into the level.
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
