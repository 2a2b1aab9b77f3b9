#pragma once

#include "lending/credit_lender.h"
#include "members/datagram_socket.h"
#include "runtime/timer.h"

#include <variant>

namespace azurehill {

/// \brief The account's quota is used up.
struct quota_used_up
{
    /// When a credit is there again.
    duration retryAfter = duration::zero();
};

/// \brief No daemon that may lend answered in time.
struct lender_unreachable
{ };

/// \brief What became of a wish for a credit.
using borrow_result = std::variant<credit_id, quota_used_up, lender_unreachable>;

/// \brief Borrows credits for requests that are served here, and lends those whose row this daemon
/// holds. Used on the traffic thread.
class credit_exchange
{
public:
    /// \param rows the store; it outlives this object.
    credit_exchange(const asio::any_io_executor &executor, store &rows, const quota_bound &bound);

    /// \brief Binds \p address for other daemons' datagrams. \returns the port, or 0.
    std::uint16_t start(const endpoint &address);
    void setRoutes(routing_config_ptr routes) { m_lender.setRoutes(std::move(routes)); }
    /// \brief Takes in this daemon's word of itself and the others that live.
    void setMembers(member_state self, std::vector<member_state> others);

    /// \brief Borrows one credit of \p account, by \p deadline at the latest.
    awaitable<borrow_result> borrow(account_id account, credit_use use, time_point deadline);
    /// \brief The request for which \p id was lent did not run and never will.
    void giveBack(const account_id &account, const credit_id &id);
    /// \brief Gives up lending, by \p latest at the latest.
    awaitable<void> release(time_point latest) { return m_lender.release(latest); }

private:
    /// \brief A request that waits for a credit.
    struct pending_loan
    {
        explicit pending_loan(const asio::any_io_executor &executor) : alarm(executor) { }
        timer alarm;
        account_id account;
        std::optional<borrow_result> result;
        /// How often the request was sent on to another daemon at once.
        int redirects = 0;
    };
    using pending_ptr = std::shared_ptr<pending_loan>;

    void onText(std::string_view text, const endpoint &from);
    void onRequest(const credit_request &request, const endpoint &from);
    /// \brief Takes in what a lender said.
    void onAnswer(const quota_message &message);
    void finish(std::uint64_t number, borrow_result result);
    void onNotHolder(const not_holder &message);
    /// \brief Asks whoever should hold the account's row.
    void ask(const credit_request &request);
    /// \returns the daemon to ask for credits of \p shard.
    daemon_id presumedHolder(std::size_t shard) const;
    /// \param pause until the request is asked again; grows with each ask.
    awaitable<std::optional<borrow_result>> borrowOnce(account_id account, credit_use use,
                                                       duration &pause, time_point deadline);

    asio::any_io_executor m_executor;
    lender_view m_view;
    credit_lender m_lender;
    datagram_socket m_socket;
    /// Holders that others named, by shard.
    std::map<std::size_t, daemon_id> m_holders;
    std::map<std::uint64_t, pending_ptr> m_pending;
    std::uint64_t m_lastNumber = 0;
};

} // namespace azurehill
