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

void quota_shard_state::takeOver(const std::optional<quota_row> &before, holder_state state,
                                 time_point now)
{
    m_accounts.clear();
    m_isHeld = false;
    if (!before)
        return;
    // Credits that were lent last are used later than that, and count for a window more.
    const duration lendsOn = state == holder_state::NoLongerLending ? duration::zero() : validity;
    const time_point until = now + lendsOn + credit_ledger::creditLifetime + m_bound.window;
    for (const auto &[account, level] : before->levels) {
        credit_ledger &ledger = stateOf(account).ledger;
        if (level.credits > 0)
            ledger.addPeerCredits({level.credits, until});
        for (const credit_reservation::peer_share &share : level.foreign)
            ledger.addPeerCredits({share.credits, now + share.left});
    }
}

quota_row quota_shard_state::prepare(const account_registry &accounts, time_point now)
{
    quota_row row{m_self, m_incarnation, false, {}};
    for (const auto &[name, rule] : accounts.rules()) {
        if (rule.quota)
            stateOf(name);
    }
    for (auto &[name, state] : m_accounts) {
        credit_ledger &ledger = state.ledger;
        const account_config *const rule = accounts.find(name);
        const bool isLimited = rule && rule->quota;
        const int wanted = isLimited
            ? ledger.targetReservation(maxCreditsPerWindow(*rule->quota, m_bound),
                                       state.isReservationTooSmall, now)
            : ledger.lent(now);
        ledger.setReservedCredits(std::min(ledger.level(), wanted));
        credit_reservation &level = row.levels[name];
        level.credits = wanted;
        for (const peer_credits &share : ledger.foreign(now))
            level.foreign.push_back({share.credits, share.until - now});
    }
    return row;
}

quota_row quota_shard_state::release(time_point now)
{
    m_isHeld = false;
    quota_row row{m_self, m_incarnation, true, {}};
    for (auto &[name, state] : m_accounts) {
        credit_reservation &level = row.levels[name];
        level.credits = state.ledger.lent(now);
        for (const peer_credits &share : state.ledger.foreign(now))
            level.foreign.push_back({share.credits, share.until - now});
    }
    return row;
}

void quota_shard_state::onRowWritten(const quota_row &row, time_point sentAt)
{
    m_isHeld = true;
    m_lendingLeaseEnd = sentAt + validity;
    for (const auto &[name, level] : row.levels) {
        account_state &state = stateOf(name);
        state.ledger.setReservedCredits(level.credits);
        state.isReservationTooSmall = false;
    }
}

void quota_shard_state::onRowLost()
{
    m_isHeld = false;
    m_accounts.clear();
}

lend_result quota_shard_state::lend(const account_id &account, const credit_id &id, credit_use use,
                                    int most, time_point now)
{
    account_state &state = stateOf(account);
    const lend_result result = state.ledger.lend(id, use, most, now);
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
