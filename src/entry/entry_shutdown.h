#pragma once

#include "entry/entry_control.h"
#include "entry/entry_service.h"
#include "entry/shutdown_schedule.h"

namespace azurehill {

/// \brief Graceful stop of the daemon. Withdraws it from look-ups, lets the requests in progress
/// end, and returns what it holds in the store. Runs on the control thread.
class entry_shutdown
{
public:
    /// \param traffic executor of the thread that \p service runs on.
    entry_shutdown(entry_control &control, entry_service &service, asio::any_io_executor traffic);

    /// \brief Runs the stop.
    /// \param grace time from now until the platform kills the process.
    awaitable<void> run(duration grace);

private:
    /// \brief Waits until the service is idle, and aborts what can't end in time.
    awaitable<void> awaitRequests(const shutdown_schedule &schedule);

    entry_control &m_control;
    entry_service &m_service;
    asio::any_io_executor m_traffic;
};

} // namespace azurehill
