#pragma once

#include "entry/dispatched_turn_handler.h"
#include "entry/response_relay.h"
#include "entry/turn_history.h"

namespace azurehill {

/// \brief Request handler for the turns of programs, and for streams that belong to no program.
/// Used on the traffic thread.
///
/// A turn passes five stages: the history of its program is loaded, the maximum number of tokens
/// that it can generate is reserved in its program's account, it is admitted to the engines, its
/// answer is relayed, and it is finished. A turn whose history the daemons keep is made durable
/// before the client receives the end of the stream; a turn whose client keeps the history is
/// charged in the background. Where a dispatcher decides on turns, it takes the place of the first
/// three stages; the daemon does them itself while it can't be reached.
class turn_handler
{
public:
    turn_handler(asio::any_io_executor executor, turn_ledger &ledger, engine_admission &admission,
                 upstream_sender &sender, response_relay &relay, local_reply_writer &localReplies,
                 slot_exchange &slots, entry_metrics &metrics);

    awaitable<void> serve(entry_call_ptr call, const http_request &request,
                          response_writer &writer);
    /// \returns the number of reservations that are being settled in the background.
    int settlesInProgress() const { return m_settlesInProgress; }

private:
    /// \brief State of one turn while it is being served.
    struct turn_context
    {
        entry_call_ptr call;
        turn_history history;
        turn_claim claim;
        /// Requirements on the replica.
        placement_request placementRequest;
        /// The turn is refused if the store has not answered by then.
        time_point storeDeadline;
    };
    using turn_context_ptr = std::shared_ptr<turn_context>;
    struct history_loader;

    /// \brief Loads the history of the turn's program.
    /// \returns whether it was loaded; otherwise the request was answered.
    awaitable<bool> loadHistory(turn_context_ptr context, response_writer &writer);
    awaitable<bool> loadPrevious(turn_context_ptr context, response_writer &writer);
    awaitable<bool> loadAccount(turn_context_ptr context);
    awaitable<bool> reserveTurnTokens(turn_context_ptr context, response_writer &writer);
    awaitable<bool> awaitAdmission(turn_context_ptr context, response_writer &writer);
    awaitable<std::optional<open_reply>> send(turn_context_ptr context, const http_request &request,
                                              response_writer &writer);
    /// \brief Finishes a turn whose stream was relayed up to its end.
    awaitable<void> finish(turn_context_ptr context, const http_request &request,
                           const placement &where, stream_result stream, response_writer &writer);
    /// \brief Charges a turn whose stream broke off for the tokens that may have reached the
    /// client.
    void chargeIncompleteTurn(const turn_context &context, const stream_result &stream);
    awaitable<void> makeDurable(turn_context_ptr context, turn_ptr finished, std::int64_t used,
                                std::int64_t events, response_writer &writer);

    /// \brief Settles the reservation of a finished turn in the background.
    void settle(const turn_context &context, std::int64_t used);
    awaitable<void> settleHold(turn_claim claim, std::int64_t used);
    void logReservation(const turn_context &context) const;
    std::string detailOf(turn_refusal refusal, const turn_claim &claim) const;

    asio::any_io_executor m_executor;
    turn_ledger &m_ledger;
    engine_admission &m_engineAdmission;
    upstream_sender &m_sender;
    response_relay &m_relay;
    local_reply_writer &m_localReplies;
    entry_metrics &m_metrics;
    dispatched_turn_handler m_dispatched;
    int m_settlesInProgress = 0;
};

} // namespace azurehill
