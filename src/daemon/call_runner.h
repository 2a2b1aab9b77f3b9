#pragma once

#include "daemon/control.h"

namespace azurehill {

/// \brief Carries out \p call on a traffic thread: sends it, relays the answer into its stream,
/// makes the end durable through \p owner, and only then ends the stream.
awaitable<void> runCall(control &owner, asio::any_io_executor controlThread, running_call call);

} // namespace azurehill
