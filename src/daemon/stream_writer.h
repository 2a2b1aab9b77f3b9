#pragma once

#include "daemon/call_stream.h"
#include "http/http_server.h"
#include "program/program.h"

namespace azurehill {

/// \brief Writes the events of a call as they come, from the one after \p lastEvent on.
/// \param lastEvent the caller's Last-Event-ID, or empty.
awaitable<void> writeStream(call_stream &call, const std::string &lastEvent,
                            response_writer &writer);
/// \brief Waits for the call's end and writes its whole answer.
awaitable<void> writeWhole(call_stream &call, response_writer &writer);
/// \brief Writes a stored answer.
awaitable<void> writeStored(const closed_call &call, bool asStream, response_writer &writer);

} // namespace azurehill
