#include "core/log_sink.h"

#include "core/log_line.h"

#include <boost/json.hpp>

#include <atomic>
#include <cerrno>
#include <unistd.h>

namespace azurehill {

namespace {

constexpr std::int64_t dropReportIntervalMs = 1000;
/// Room that must be left for another line to be put together: most are shorter (300 bytes for a
/// send, on a calm day).
constexpr std::size_t typicalLineBytes = 512;
/// Lines are gathered this long before they are written, so that the thread wakes rarely.
constexpr milliseconds writeDelay{20};

std::atomic<log_sink *> activeSink{nullptr};

/// \brief Writes all of \p text, waiting for the reader as long as it takes.
void writeAll(int descriptor, std::string_view text)
{
    while (!text.empty()) {
        const ssize_t n = ::write(descriptor, text.data(), text.size());
        if (n < 0 && errno == EINTR)
            continue;
        // Without a reader there is nobody to tell.
        if (n <= 0)
            return;
        text.remove_prefix(static_cast<std::size_t>(n));
    }
}

} // namespace

void setLogSink(log_sink *sink)
{
    activeSink = sink;
}

log_sink *currentLogSink()
{
    return activeSink;
}

log_sink::log_sink(int descriptor, const log_limits &bounds)
    : m_descriptor(descriptor), m_bounds(bounds)
{ }

bool log_sink::isWithinRate(log_event event, std::int64_t nowMs)
{
    if (nowMs / 1000 != m_second) {
        m_second = nowMs / 1000;
        m_linesThisSecond.fill(0);
    }
    const bool isSerious = levelOf(event) >= log_level::Warning;
    const int limit = isSerious ? m_bounds.maxWarningsPerSecond : m_bounds.maxInfoPerSecond;
    return ++m_linesThisSecond[static_cast<std::size_t>(event)] <= limit;
}

std::string log_sink::takeDropReport(std::int64_t nowMs)
{
    m_reportedAtMs = nowMs;
    boost::json::object counts;
    for (std::size_t i = 0; i < eventCount; ++i) {
        if (m_dropped[i] > 0)
            counts[enum_names<log_event>::names[i]] = m_dropped[i];
    }
    m_dropped.fill(0);
    return formatLogLine(levelOf(log_event::LogDropped), toName(log_event::LogDropped),
                         {{"lines", boost::json::serialize(counts)}});
}

void log_sink::countDropped(log_event event)
{
    ++m_dropped[static_cast<std::size_t>(event)];
    ++m_totalDropped;
}

bool log_sink::admits(log_event event, std::int64_t nowMs)
{
    const std::lock_guard lock(m_mutex);
    const bool hasRoom = m_waiting.size() + typicalLineBytes <= m_bounds.maxPendingBytes;
    const bool isAdmitted = isWithinRate(event, nowMs) && hasRoom;
    if (!isAdmitted)
        countDropped(event);
    return isAdmitted;
}

void log_sink::put(log_event event, const std::string &line, std::int64_t nowMs)
{
    const std::lock_guard lock(m_mutex);
    if (m_waiting.size() + line.size() > m_bounds.maxPendingBytes) {
        countDropped(event);
        return;
    }
    const bool wasEmpty = m_waiting.empty();
    if (m_totalDropped > 0 && nowMs >= m_reportedAtMs + dropReportIntervalMs) {
        const std::string report = takeDropReport(nowMs);
        if (report.find("{}") == std::string::npos)
            m_waiting += report;
    }
    m_waiting += line;
    if (wasEmpty)
        m_changed.notify_one();
}

void log_sink::run()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        m_changed.wait(lock, [this] { return !m_waiting.empty() || m_isStopping; });
        if (!m_isStopping)
            m_changed.wait_for(lock, writeDelay, [this] { return m_isStopping; });
        if (m_waiting.empty() && m_isStopping)
            break;
        const std::string text = std::move(m_waiting);
        m_waiting.clear();
        lock.unlock();
        writeAll(m_descriptor, text);
        lock.lock();
    }
    m_isDone = true;
    m_changed.notify_all();
}

bool log_sink::stop(duration limit)
{
    std::unique_lock lock(m_mutex);
    m_isStopping = true;
    m_changed.notify_all();
    return m_changed.wait_for(lock, limit, [this] { return m_isDone; });
}

std::uint64_t log_sink::dropped() const
{
    const std::lock_guard lock(m_mutex);
    return m_totalDropped;
}

} // namespace azurehill
