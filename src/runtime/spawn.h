#pragma once

#include "runtime/asio.h"

#include <string_view>

namespace azurehill {

/// \brief Starts the coroutine \p body on \p executor, detached. An uncaught exception is a bug: it
/// is logged with \p name and the process aborts. Otherwise a background loop could end unnoticed,
/// in a daemon that still answers requests but no longer does its work.
void spawn(const asio::any_io_executor &executor, std::string_view name, awaitable<void> body);

} // namespace azurehill
