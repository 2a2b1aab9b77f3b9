#include "entry/entry_shutdown.h"

#include "core/log_event.h"

namespace azurehill {

namespace {

constexpr duration drainPollInterval = milliseconds(20);

} // namespace

entry_shutdown::entry_shutdown(entry_control &control, entry_service &service,
                               asio::any_io_executor traffic)
    : m_control(control), m_service(service), m_traffic(std::move(traffic))
{ }

awaitable<void> entry_shutdown::run(duration grace)
{
    const time_point began = runtime_clock::now();
    const shutdown_schedule schedule(began, grace);
    logDecision(
        log_event::Stopping,
        {{"in_progress", m_service.requestsInProgress()}, {"grace_ms", toMilliseconds(grace)}});
    m_control.leave();
    asio::post(m_traffic, [this, schedule] { m_service.beginShutdown(schedule); });
    spawn(m_traffic, "release", m_service.release(schedule.answerDeadline()));
    co_await m_control.unregister(schedule.answerDeadline());
    co_await awaitRequests(schedule);
    auto returnHolds = [this, schedule] { return m_service.returnHolds(schedule.latestEnd()); };
    co_await runOn(m_traffic, returnHolds);
    logDecision(log_event::Stopped,
                {{"in_progress", m_service.requestsInProgress()},
                 {"ms", toMilliseconds(runtime_clock::now() - began)}});
}

awaitable<void> entry_shutdown::awaitRequests(const shutdown_schedule &schedule)
{
    const auto now = [] { return runtime_clock::now(); };
    while (now() < schedule.earliestEnd())
        co_await sleepFor(drainPollInterval);
    while (now() < schedule.answerDeadline() && !m_service.closeIfIdle())
        co_await sleepFor(drainPollInterval);
    if (m_service.closeIfIdle())
        co_return;
    asio::post(m_traffic, [this] { m_service.abortRequests(); });
    while (now() < schedule.latestEnd() && !m_service.closeIfIdle())
        co_await sleepFor(drainPollInterval);
}

} // namespace azurehill
