#include "lending/credit_exchange.h"

#include "core/log_event.h"

#include <boost/asio/redirect_error.hpp>

#include <algorithm>

namespace azurehill {

namespace {

/// An answer that has not come after this long was lost, or its sender writes a row, or has more
/// to answer than it can: so the pause is doubled with each ask of a request.
constexpr duration initialRetryInterval = milliseconds(60);
/// Holders that a request is sent on to without a pause.
constexpr int maxRedirects = 2;
/// Longest wait for a credit. Holders change within less.
constexpr duration maxBorrowTime = seconds(1);

} // namespace

credit_exchange::credit_exchange(const asio::any_io_executor &executor, store &rows,
                                 const quota_bound &bound)
    : m_executor(executor), m_lender(executor, rows, m_view, bound),
      m_socket(executor, "credits",
               [this](std::string_view text, const endpoint &from) { onText(text, from); })
{ }

std::uint16_t credit_exchange::start(const endpoint &address)
{
    spawn(m_executor, "maintainQuotas", m_lender.maintain());
    return m_socket.listen(address);
}

void credit_exchange::setMembers(member_state self, std::vector<member_state> others)
{
    m_view.set(std::move(self), std::move(others));
}

void credit_exchange::onText(std::string_view text, const endpoint &from)
{
    const auto message = decodeQuotaMessage(text);
    if (!message) {
        logDecision(log_event::GossipUnreadable, {{"from", from.host}});
        return;
    }
    if (const auto *request = std::get_if<credit_request>(&*message))
        onRequest(*request, from);
    else if (const auto *returned = std::get_if<credit_return>(&*message))
        m_lender.onReturn(*returned);
    else
        onAnswer(*message);
}

void credit_exchange::onRequest(const credit_request &request, const endpoint &from)
{
    if (const auto answer = m_lender.answer(request))
        m_socket.send(from, encodeQuotaMessage(*answer));
}

void credit_exchange::onAnswer(const quota_message &message)
{
    if (const auto *lent = std::get_if<credit_lent>(&message)) {
        const member_state &self = m_view.self();
        finish(lent->number, credit_id{self.name, self.incarnation, lent->number});
    } else if (const auto *denied = std::get_if<credit_denied>(&message)) {
        finish(denied->number, quota_used_up{denied->retryAfter});
    } else if (const auto *other = std::get_if<not_holder>(&message)) {
        onNotHolder(*other);
    }
}

void credit_exchange::finish(std::uint64_t number, borrow_result result)
{
    const auto found = m_pending.find(number);
    if (found == m_pending.end() || found->second->result)
        return;
    found->second->result = std::move(result);
    found->second->alarm.cancel();
}

void credit_exchange::onNotHolder(const not_holder &message)
{
    const auto found = m_pending.find(message.number);
    if (found == m_pending.end())
        return;
    const std::size_t shard = shardOf(found->second->account);
    const bool isNews = !message.holder.empty() && m_holders[shard] != message.holder;
    m_holders[shard] = message.holder;
    // Two daemons that name each other must not be asked in circles.
    if (isNews && ++found->second->redirects <= maxRedirects)
        found->second->alarm.cancel();
}

daemon_id credit_exchange::presumedHolder(std::size_t shard) const
{
    const auto known = m_holders.find(shard);
    const bool isKnown
        = known != m_holders.end() && !known->second.empty() && m_view.find(known->second);
    return isKnown ? known->second : m_view.preferred(shard);
}

void credit_exchange::ask(const credit_request &request)
{
    const daemon_id lender = presumedHolder(shardOf(request.account));
    if (lender.empty())
        return;
    if (lender == m_view.self().name) {
        if (const auto answer = m_lender.answer(request))
            onAnswer(*answer);
        return;
    }
    if (const member_state *member = m_view.find(lender))
        m_socket.send(lendingAddress(*member), encodeQuotaMessage(request));
}

awaitable<std::optional<borrow_result>> credit_exchange::borrowOnce(account_id account,
                                                                    credit_use use, duration &pause,
                                                                    time_point deadline)
{
    const member_state &self = m_view.self();
    const std::uint64_t number = ++m_lastNumber;
    const credit_request request{{self.name, self.incarnation, number}, account, use};
    auto pending = std::make_shared<pending_loan>(m_executor);
    pending->account = account;
    m_pending[number] = pending;
    // A credit that comes later than this must not be used.
    const time_point until = std::min(deadline, runtime_clock::now() + credit_ledger::loanTime);
    while (!pending->result && runtime_clock::now() < until) {
        pending->alarm.expires_at(std::min(until, runtime_clock::now() + pause));
        pause *= 2;
        ask(request);
        if (pending->result)
            break;
        boost::system::error_code code;
        co_await pending->alarm.async_wait(asio::redirect_error(use_awaitable, code));
    }
    m_pending.erase(number);
    const bool isLate = runtime_clock::now() > until;
    if (isLate && pending->result && std::holds_alternative<credit_id>(*pending->result))
        pending->result.reset();
    if (!pending->result)
        giveBack(account, request.id);
    co_return pending->result;
}

awaitable<borrow_result> credit_exchange::borrow(account_id account, credit_use use,
                                                 time_point deadline)
{
    const time_point until = std::min(deadline, runtime_clock::now() + maxBorrowTime);
    duration pause = initialRetryInterval;
    while (runtime_clock::now() < until) {
        account_id copy = account;
        auto result = co_await borrowOnce(std::move(copy), use, pause, until);
        if (result)
            co_return *result;
        // What was said of the holder led nowhere.
        m_holders.erase(shardOf(account));
    }
    co_return lender_unreachable();
}

void credit_exchange::giveBack(const account_id &account, const credit_id &id)
{
    const credit_return message{id, account};
    const daemon_id lender = presumedHolder(shardOf(account));
    const member_state *const member = m_view.find(lender);
    if (lender == m_view.self().name)
        m_lender.onReturn(message);
    else if (member)
        m_socket.send(lendingAddress(*member), encodeQuotaMessage(message));
}

} // namespace azurehill
