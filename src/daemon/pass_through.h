#pragma once

#include "daemon/control.h"
#include "http/http_client.h"
#include "http/http_server.h"

namespace azurehill {

/// \returns the fields of \p headers that are for the far end: neither those of one connection nor
/// those that a daemon writes itself.
header_list endToEnd(const header_list &headers);

/// \brief Relays the response that begins with \p head from \p connection to \p writer, piece by
/// piece: no more than one piece is held, and a caller that reads slowly slows the upstream down.
///
/// When the upstream breaks off, the response stays without its last chunk and the connection
/// closes, so that the caller sees that it is not whole.
awaitable<std::optional<http_error>> relayResponse(http_connection &connection, response_head head,
                                                   response_writer &writer,
                                                   duration streamIdleTimeout);

/// \brief Closes \p connection when the caller of \p writer goes away, so that its session does not
/// wait for an answer that nobody reads.
void closeWhenCallerGoes(const std::shared_ptr<http_connection> &connection,
                         response_writer &writer);

/// \brief Whether \p request is one for a plain service that belongs to no program.
bool isPassThrough(const http_request &request);

/// \brief Carries an idempotent request to a plain service without a program: nothing of it is
/// journalled. It goes to a second replica when the first one gives no answer.
awaitable<void> passThrough(control &owner, asio::any_io_executor controlThread,
                            const http_request &request, response_writer &writer);

} // namespace azurehill
