#include "quota/quota_book.h"

#include <algorithm>

namespace azurehill {

quota_book::quota_book(daemon_id self, std::int64_t incarnation, const quota_bound &bound)
    : m_self(std::move(self)), m_incarnation(incarnation), m_bound(bound)
{ }

quota_book::account_state &quota_book::stateOf(const account_id &account)
{
    return m_accounts.try_emplace(account, account_state{credit_ledger(m_bound.window), false})
        .first->second;
}

void quota_book::takeOver(const std::optional<quota_row> &before, holder_state state,
                          time_point now)
{
    m_accounts.clear();
    m_isHeld = false;
    if (!before)
        return;
    // Credits that were lent last are used later than that, and count for a window more.
    const duration lendsOn = state == holder_state::Ended ? duration::zero() : validity;
    const time_point until = now + lendsOn + credit_ledger::loanTime + m_bound.window;
    for (const auto &[account, level] : before->levels) {
        credit_ledger &ledger = stateOf(account).ledger;
        if (level.credits > 0)
            ledger.addForeign({level.credits, until});
        for (const quota_level::foreign_share &share : level.foreign)
            ledger.addForeign({share.credits, now + share.left});
    }
}

quota_row quota_book::prepare(const account_book &accounts, time_point now)
{
    quota_row row{m_self, m_incarnation, false, {}};
    for (const auto &[name, rule] : accounts.rules()) {
        if (rule.quota)
            stateOf(name);
    }
    for (auto &[name, state] : m_accounts) {
        credit_ledger &ledger = state.ledger;
        const account_rule *const rule = accounts.find(name);
        const bool isLimited = rule && rule->quota;
        const int wanted = isLimited
            ? ledger.wantedLevel(maxCreditsPerWindow(*rule->quota, m_bound), state.isShort, now)
            : ledger.lent(now);
        ledger.setLevel(std::min(ledger.level(), wanted));
        quota_level &level = row.levels[name];
        level.credits = wanted;
        for (const foreign_credits &share : ledger.foreign(now))
            level.foreign.push_back({share.credits, share.until - now});
    }
    return row;
}

quota_row quota_book::release(time_point now)
{
    m_isHeld = false;
    quota_row row{m_self, m_incarnation, true, {}};
    for (auto &[name, state] : m_accounts) {
        quota_level &level = row.levels[name];
        level.credits = state.ledger.lent(now);
        for (const foreign_credits &share : state.ledger.foreign(now))
            level.foreign.push_back({share.credits, share.until - now});
    }
    return row;
}

void quota_book::onWritten(const quota_row &row, time_point sentAt)
{
    m_isHeld = true;
    m_validUntil = sentAt + validity;
    for (const auto &[name, level] : row.levels) {
        account_state &state = stateOf(name);
        state.ledger.setLevel(level.credits);
        state.isShort = false;
    }
}

void quota_book::onLost()
{
    m_isHeld = false;
    m_accounts.clear();
}

lend_result quota_book::lend(const account_id &account, const credit_id &id, credit_use use,
                             int most, time_point now)
{
    account_state &state = stateOf(account);
    const lend_result result = state.ledger.lend(id, use, most, now);
    state.isShort = state.isShort || result.verdict == lend_verdict::LevelTooLow;
    return result;
}

void quota_book::giveBack(const account_id &account, const credit_id &id)
{
    if (const auto found = m_accounts.find(account); found != m_accounts.end())
        found->second.ledger.giveBack(id);
}

} // namespace azurehill
