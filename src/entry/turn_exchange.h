#pragma once

#include "entry/answer_relay.h"

namespace azurehill {

/// \brief Serves the turns of programs whose history the daemons keep. Used on the traffic thread.
///
/// A turn goes through five steps: the turn before it is loaded, the most that it can generate is
/// held in its program's account, it gets a place at the engines, its answer is relayed, and the
/// turn is made durable before the client learns of the end.
class turn_exchange
{
public:
    turn_exchange(asio::any_io_executor executor, turn_ledger &ledger, engine_places &places,
                  upstream_sender &sender, answer_relay &relay, own_answers &answers,
                  entry_metrics &metrics);

    awaitable<void> serve(entry_call_ptr call, const http_request &request,
                          response_writer &writer);

private:
    /// \brief A turn on its way through the steps.
    struct turn_work
    {
        entry_call_ptr call;
        /// The turn that this one continues from, or null.
        turn_ptr previous;
        turn_claim claim;
        /// When the store must have answered for the turn to begin.
        time_point storeDeadline;
    };
    using turn_work_ptr = std::shared_ptr<turn_work>;

    awaitable<bool> loadPrevious(turn_work_ptr work, response_writer &writer);
    awaitable<bool> holdTokens(turn_work_ptr work, response_writer &writer);
    awaitable<bool> takePlace(turn_work_ptr work, response_writer &writer);
    awaitable<std::optional<open_reply>> send(turn_work_ptr work, const http_request &request,
                                              response_writer &writer);
    /// \brief Charges a turn that broke off with what may have reached the client.
    void chargeBroken(const turn_work &work, const stream_end &end);
    awaitable<void> makeDurable(turn_work_ptr work, turn_ptr done, std::int64_t used,
                                std::int64_t events, response_writer &writer);

    /// \brief Settles the account of a turn that is over, beside what follows.
    void settle(const turn_work &work, std::int64_t used);
    void logHeld(const turn_work &work) const;
    std::string detailOf(turn_refusal refusal, const turn_claim &claim) const;

    asio::any_io_executor m_executor;
    turn_ledger &m_ledger;
    engine_places &m_places;
    upstream_sender &m_sender;
    answer_relay &m_relay;
    own_answers &m_answers;
    entry_metrics &m_metrics;
};

} // namespace azurehill
