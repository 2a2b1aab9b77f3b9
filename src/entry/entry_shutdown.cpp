#include "entry/entry_shutdown.h"

#include "core/log_event.h"

namespace azurehill {

namespace {

/// Callers cache a look-up for its time to live, and some for three times as long; after that, no
/// caller comes that could know a better address.
constexpr duration lookupStaleTime = milliseconds(3500);
/// Fraction of the grace time after which the process ends in any case.
constexpr double graceShare = 0.8;
constexpr duration drainPollInterval = milliseconds(50);

} // namespace

entry_shutdown::entry_shutdown(entry_control &control, entry_service &service,
                               asio::any_io_executor traffic)
    : m_control(control), m_service(service), m_traffic(std::move(traffic))
{ }

awaitable<void> entry_shutdown::run(duration grace)
{
    logDecision(log_event::Stopping, {{"in_progress", m_service.requestsInProgress()}});
    const time_point began = runtime_clock::now();
    m_control.leave();
    asio::post(m_traffic, [this] { m_service.announceClose(); });
    const auto timeLimit = std::chrono::duration_cast<duration>(grace * graceShare);
    spawn(m_traffic, "release", m_service.release(began + timeLimit));
    co_await m_control.unregister(began + timeLimit);
    const duration minDrainTime = std::min<duration>(lookupStaleTime, timeLimit);
    const auto now = [] { return runtime_clock::now(); };
    while (now() < began + minDrainTime)
        co_await sleepFor(drainPollInterval);
    while (now() < began + timeLimit && !m_service.closeIfIdle())
        co_await sleepFor(drainPollInterval);
    logDecision(log_event::Stopped,
                {{"in_progress", m_service.requestsInProgress()},
                 {"ms", toMilliseconds(runtime_clock::now() - began)}});
}

} // namespace azurehill
