#include "quota/quota_shard_state.h"

#include <algorithm>

namespace azurehill {

quota_shard_state::quota_shard_state(daemon_id self, std::int64_t incarnation,
                                     const quota_bound &bound)
    : m_self(std::move(self)), m_incarnation(incarnation), m_bound(bound)
{ }

quota_shard_state::account_state &quota_shard_state::stateOf(const account_id &account)
{
    return m_accounts.try_emplace(account, account_state{credit_ledger(m_bound.window), false})
        .first->second;
}

void quota_shard_state::takeOver(const std::optional<quota_row> &previousRow, holder_state state,
                                 time_point now)
{
    m_accounts.clear();
    m_isHeld = false;
    if (!previousRow)
        return;
    // The last credits may be used up to creditLifetime after the previous holder's lease ends, and
    // count for one window after that.
    const duration remainingLease
        = state == holder_state::NoLongerLending ? duration::zero() : lendingLeaseDuration;
    const time_point until = now + remainingLease + credit_ledger::creditLifetime + m_bound.window;
    for (const auto &[account, reservation] : previousRow->reservations) {
        credit_ledger &ledger = stateOf(account).ledger;
        if (reservation.credits > 0)
            ledger.addPeerCredits({reservation.credits, until});
        for (const credit_reservation::peer_share &share : reservation.peerCredits)
            ledger.addPeerCredits({share.credits, now + share.left});
    }
}

quota_row quota_shard_state::prepare(const account_registry &accounts, time_point now)
{
    quota_row row{m_self, m_incarnation, false, {}};
    for (const auto &[name, config] : accounts.configs()) {
        if (config.quota)
            stateOf(name);
    }
    for (auto &[name, state] : m_accounts) {
        credit_ledger &ledger = state.ledger;
        const account_config *const config = accounts.find(name);
        const bool isLimited = config && config->quota;
        const int targetCredits = isLimited
            ? ledger.targetReservation(maxCreditsPerWindow(*config->quota, m_bound),
                                       state.isReservationTooSmall, now)
            : ledger.lentCredits(now);
        ledger.setReservedCredits(std::min(ledger.reservedCredits(), targetCredits));
        credit_reservation &reservation = row.reservations[name];
        reservation.credits = targetCredits;
        for (const peer_credits &share : ledger.peerCredits(now))
            reservation.peerCredits.push_back({share.credits, share.until - now});
    }
    return row;
}

quota_row quota_shard_state::release(time_point now)
{
    m_isHeld = false;
    quota_row row{m_self, m_incarnation, true, {}};
    for (auto &[name, state] : m_accounts) {
        credit_reservation &reservation = row.reservations[name];
        reservation.credits = state.ledger.lentCredits(now);
        for (const peer_credits &share : state.ledger.peerCredits(now))
            reservation.peerCredits.push_back({share.credits, share.until - now});
    }
    return row;
}

void quota_shard_state::onRowWritten(const quota_row &row, time_point sentAt)
{
    m_isHeld = true;
    m_lendingLeaseEnd = sentAt + lendingLeaseDuration;
    for (const auto &[name, reservation] : row.reservations) {
        account_state &state = stateOf(name);
        state.ledger.setReservedCredits(reservation.credits);
        state.isReservationTooSmall = false;
    }
}

void quota_shard_state::onRowLost()
{
    m_isHeld = false;
    m_accounts.clear();
}

lend_result quota_shard_state::lend(const account_id &account, const credit_id &id, credit_use use,
                                    int quotaLimit, time_point now)
{
    account_state &state = stateOf(account);
    const lend_result result = state.ledger.lend(id, use, quotaLimit, now);
    state.isReservationTooSmall
        = state.isReservationTooSmall || result.verdict == lend_verdict::ReservationTooSmall;
    return result;
}

void quota_shard_state::restoreCredit(const account_id &account, const credit_id &id)
{
    if (const auto found = m_accounts.find(account); found != m_accounts.end())
        found->second.ledger.restoreCredit(id);
}

} // namespace azurehill
