#pragma once

#include "lending/credit_lender.h"
#include "members/datagram_socket.h"
#include "runtime/timer.h"

#include <variant>

namespace azurehill {

/// \brief Result of a borrow request: the account's quota is used up.
struct quota_used_up
{
    /// Time until a credit is available again.
    duration retryAfter = duration::zero();
};

/// \brief Result of a borrow request: no daemon that may lend answered in time.
struct lender_unreachable
{ };

/// \brief Result of a borrow request.
using borrow_result = std::variant<credit_id, quota_used_up, lender_unreachable>;

/// \brief Client and server of the lending protocol: borrows credits for the requests of this
/// daemon, and answers the requests of others for credits whose quota row this daemon holds. Used
/// on the traffic thread.
class credit_exchange
{
public:
    /// \param rows the store; must outlive this object.
    credit_exchange(const asio::any_io_executor &executor, store &rows, const quota_bound &bound);

    /// \brief Starts lending, and binds \p address for the datagrams of other daemons.
    /// \returns the bound port, or 0 on failure.
    std::uint16_t start(const endpoint &address);
    void setRoutes(routing_config_ptr routes) { m_lender.setRoutes(std::move(routes)); }
    /// \brief Sets the state of this daemon and of the other live daemons.
    void setMembers(member_state self, std::vector<member_state> others);

    /// \brief Borrows one credit of \p account, until \p deadline.
    awaitable<borrow_result> borrow(account_id account, credit_use use, time_point deadline);
    /// \brief Returns credit \p id to its lender, since the request that it was borrowed for did
    /// not run and never will.
    void returnCredit(const account_id &account, const credit_id &id);
    /// \brief Stops lending and releases all quota rows, until \p latest.
    awaitable<void> release(time_point latest) { return m_lender.release(latest); }

private:
    /// \brief A borrow request that awaits its answer.
    struct pending_loan
    {
        explicit pending_loan(const asio::any_io_executor &executor) : wakeUpTimer(executor) { }
        timer wakeUpTimer;
        account_id account;
        std::optional<borrow_result> result;
        /// How often the request was immediately redirected to another daemon.
        int redirects = 0;
    };
    using pending_ptr = std::shared_ptr<pending_loan>;

    void onDatagram(std::string_view text, const endpoint &from);
    void onRequest(const credit_request &request, const endpoint &from);
    /// \brief Processes the answer of a lender.
    void onAnswer(const quota_message &message);
    void finish(std::uint64_t number, borrow_result result);
    void onNotHolder(const not_holder &message);
    /// \brief Sends \p request to the presumed holder of the account's quota row.
    void sendRequest(const credit_request &request);
    /// \returns the presumed holder of the quota row of \p shard.
    daemon_id presumedHolder(std::size_t shard) const;
    /// \brief Makes one borrow request, with retransmissions.
    /// \param retryInterval time until the request is sent again; doubled with each transmission.
    awaitable<std::optional<borrow_result>>
    borrowOnce(account_id account, credit_use use, duration &retryInterval, time_point deadline);

    asio::any_io_executor m_executor;
    lender_view m_view;
    credit_lender m_lender;
    datagram_socket m_socket;
    /// Holders named in redirects, by shard.
    std::map<std::size_t, daemon_id> m_holders;
    std::map<std::uint64_t, pending_ptr> m_pending;
    std::uint64_t m_lastNumber = 0;
};

} // namespace azurehill
