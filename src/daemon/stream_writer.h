#pragma once

#include "daemon/call_stream.h"
#include "http/http_server.h"
#include "program/program.h"

namespace azurehill {

/// \brief Writes the events of a call as they come, from the one after \p lastEvent on.
/// \param lastEvent the caller's Last-Event-ID, or empty.
awaitable<void> writeStream(std::shared_ptr<call_stream> call, std::string lastEvent,
                            response_writer &writer);
/// \brief Waits for the call's end and writes its whole answer.
awaitable<void> writeWhole(std::shared_ptr<call_stream> call, response_writer &writer);
/// \brief Writes a stored answer.
/// \param lastEvent the caller's Last-Event-ID; a stored answer can't be resumed.
awaitable<void> writeStored(const closed_call &call, bool asStream, std::string lastEvent,
                            response_writer &writer);

} // namespace azurehill
