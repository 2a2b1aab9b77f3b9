#include "lending/credit_exchange.h"

#include "core/log_event.h"

#include <boost/asio/redirect_error.hpp>

#include <algorithm>

namespace azurehill {

namespace {

/// A missing answer was lost, or the lender is writing its row, or the lender is overloaded. The
/// interval is therefore doubled with each transmission of a request.
constexpr duration initialRetryInterval = milliseconds(60);
/// Redirects that a request follows immediately.
constexpr int maxRedirects = 2;
/// Upper bound of the wait for a credit. A change of holder takes less.
constexpr duration maxBorrowTime = seconds(1);

} // namespace

credit_exchange::credit_exchange(const asio::any_io_executor &executor, store &rows,
                                 const quota_bound &bound)
    : m_executor(executor), m_lender(executor, rows, m_view, bound),
      m_socket(executor, "credits",
               [this](std::string_view text, const endpoint &from) { onDatagram(text, from); })
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

void credit_exchange::onDatagram(std::string_view text, const endpoint &from)
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
    found->second->wakeUpTimer.cancel();
}

void credit_exchange::onNotHolder(const not_holder &message)
{
    const auto found = m_pending.find(message.number);
    if (found == m_pending.end())
        return;
    const std::size_t shard = shardOf(found->second->account);
    const bool isNewHolder = !message.holder.empty() && m_holders[shard] != message.holder;
    m_holders[shard] = message.holder;
    // The bound breaks redirect loops of two daemons that name each other.
    if (isNewHolder && ++found->second->redirects <= maxRedirects)
        found->second->wakeUpTimer.cancel();
}

daemon_id credit_exchange::presumedHolder(std::size_t shard) const
{
    const auto known = m_holders.find(shard);
    const bool isKnown
        = known != m_holders.end() && !known->second.empty() && m_view.find(known->second);
    return isKnown ? known->second : m_view.preferred(shard);
}

void credit_exchange::sendRequest(const credit_request &request)
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
                                                                    credit_use use,
                                                                    duration &retryInterval,
                                                                    time_point deadline)
{
    const member_state &self = m_view.self();
    const std::uint64_t number = ++m_lastNumber;
    const credit_request request{{self.name, self.incarnation, number}, account, use};
    auto pending = std::make_shared<pending_loan>(m_executor);
    pending->account = account;
    m_pending[number] = pending;
    // A credit that arrives after the loan has expired must not be used.
    const time_point until
        = std::min(deadline, runtime_clock::now() + credit_ledger::creditLifetime);
    while (!pending->result && runtime_clock::now() < until) {
        pending->wakeUpTimer.expires_at(std::min(until, runtime_clock::now() + retryInterval));
        retryInterval *= 2;
        sendRequest(request);
        if (pending->result)
            break;
        boost::system::error_code code;
        co_await pending->wakeUpTimer.async_wait(asio::redirect_error(use_awaitable, code));
    }
    m_pending.erase(number);
    const bool isLate = runtime_clock::now() > until;
    if (isLate && pending->result && std::holds_alternative<credit_id>(*pending->result))
        pending->result.reset();
    if (!pending->result)
        returnCredit(account, request.id);
    co_return pending->result;
}

awaitable<borrow_result> credit_exchange::borrow(account_id account, credit_use use,
                                                 time_point deadline)
{
    const time_point until = std::min(deadline, runtime_clock::now() + maxBorrowTime);
    duration retryInterval = initialRetryInterval;
    while (runtime_clock::now() < until) {
        account_id copy = account;
        auto result = co_await borrowOnce(std::move(copy), use, retryInterval, until);
        if (result)
            co_return *result;
        // The presumed holder did not answer.
        m_holders.erase(shardOf(account));
    }
    co_return lender_unreachable();
}

void credit_exchange::returnCredit(const account_id &account, const credit_id &id)
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
