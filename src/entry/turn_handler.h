#pragma once

#include "entry/response_relay.h"
#include "entry/turn_history.h"

namespace azurehill {

/// \brief Serves the turns of programs, and streams of none. Used on the traffic thread.
///
/// A turn goes through five steps: what its program did before is loaded, the most that it can
/// generate is held in its program's account, it gets a place at the engines, its answer is
/// relayed, and it is ended. A turn whose history the daemons keep is made durable before the
/// client learns of its end; one whose caller keeps it is charged beside.
class turn_handler
{
public:
    turn_handler(asio::any_io_executor executor, turn_ledger &ledger, engine_admission &places,
                 upstream_sender &sender, response_relay &relay, local_reply_writer &answers,
                 entry_metrics &metrics);

    awaitable<void> serve(entry_call_ptr call, const http_request &request,
                          response_writer &writer);

private:
    /// \brief A turn on its way through the steps.
    struct turn_context
    {
        entry_call_ptr call;
        turn_history history;
        turn_claim claim;
        /// What is asked of the replica.
        placement_request wanted;
        /// When the store must have answered for the turn to begin.
        time_point storeDeadline;
    };
    using turn_context_ptr = std::shared_ptr<turn_context>;
    struct history_loader;

    /// \brief Learns what the program did before, or answers the turn.
    awaitable<bool> loadHistory(turn_context_ptr work, response_writer &writer);
    awaitable<bool> loadPrevious(turn_context_ptr work, response_writer &writer);
    awaitable<bool> loadAccount(turn_context_ptr work);
    awaitable<bool> reserveTurnTokens(turn_context_ptr work, response_writer &writer);
    awaitable<bool> awaitAdmission(turn_context_ptr work, response_writer &writer);
    awaitable<std::optional<open_reply>> send(turn_context_ptr work, const http_request &request,
                                              response_writer &writer);
    /// \brief Relays the stream of \p reply, and goes on with it elsewhere if it breaks off and may
    /// be resumed.
    ///
    /// \param reply becomes the answer of the last send.
    awaitable<stream_result> relay(turn_context_ptr work, open_reply &reply,
                                   const http_request &request, response_writer &writer);
    /// \brief Ends a turn that was relayed up to its end.
    awaitable<void> finish(turn_context_ptr work, const http_request &request,
                           const placement &where, stream_result end, response_writer &writer);
    /// \brief Charges a turn that broke off with what may have reached the client.
    void chargeIncompleteTurn(const turn_context &work, const stream_result &end);
    awaitable<void> makeDurable(turn_context_ptr work, turn_ptr done, std::int64_t used,
                                std::int64_t events, response_writer &writer);

    /// \brief Settles the account of a turn that is over, beside what follows.
    void settle(const turn_context &work, std::int64_t used);
    void logReservation(const turn_context &work) const;
    std::string detailOf(turn_refusal refusal, const turn_claim &claim) const;

    asio::any_io_executor m_executor;
    turn_ledger &m_ledger;
    engine_admission &m_places;
    upstream_sender &m_sender;
    response_relay &m_relay;
    local_reply_writer &m_answers;
    entry_metrics &m_metrics;
};

} // namespace azurehill
