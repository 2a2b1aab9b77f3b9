#pragma once

#include "entry/response_relay.h"
#include "slots/slots.h"

namespace azurehill {

/// \returns whether a dispatcher decides on the turns of \p route.
bool isDispatchedRoute(const route_rule &route);

/// \brief Request handler for turns that a dispatcher decides on: it requests a slot, sends the
/// turn to the replica that the slot belongs to, and reports the end. The dispatcher holds the
/// turn's tokens. Used on the traffic thread.
class dispatched_turn_handler
{
public:
    dispatched_turn_handler(asio::any_io_executor executor, slot_exchange &slots,
                            engine_admission &admission, upstream_sender &sender,
                            response_relay &relay, local_reply_writer &localReplies,
                            entry_metrics &metrics);

    /// \returns whether slots for \p call are requested from a dispatcher.
    bool handles(const entry_call &call) const;
    /// \brief Serves \p call.
    /// \returns false if the dispatcher could not be reached; \p call was not sent or answered
    /// then.
    awaitable<bool> serve(entry_call_ptr call, const http_request &request,
                          response_writer &writer);

private:
    awaitable<slot_result> acquireSlot(entry_call_ptr call);
    /// \brief Sends \p call to the replica of \p slot, relays the answer and releases the slot.
    /// \returns false if the replica certainly did not run it and another slot may be requested.
    awaitable<bool> runAt(entry_call_ptr call, const held_slot &slot, bool isLastAttempt,
                          const http_request &request, response_writer &writer);
    awaitable<void> relayAnswer(entry_call_ptr call, const held_slot &slot, open_reply reply,
                                placement_request &placementRequest, const http_request &request,
                                response_writer &writer);
    awaitable<void> writeRefusal(entry_call_ptr call, slot_refusal refusal,
                                 response_writer &writer);

    asio::any_io_executor m_executor;
    slot_exchange &m_slots;
    engine_admission &m_engineAdmission;
    upstream_sender &m_sender;
    response_relay &m_relay;
    local_reply_writer &m_localReplies;
    entry_metrics &m_metrics;
};

} // namespace azurehill
