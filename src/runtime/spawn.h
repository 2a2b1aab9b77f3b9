#pragma once

#include "runtime/asio.h"

#include <string_view>

namespace azurehill {

/// \brief Starts \p body on \p executor. An exception that leaves it is a fault of the program: it
/// is logged with \p name and ends the process, since a loop that died unseen would leave a daemon
/// that answers and does nothing.
void spawn(const asio::any_io_executor &executor, std::string_view name, awaitable<void> body);

} // namespace azurehill
