#pragma once

#include "core/log_event.h"
#include "core/runtime_clock.h"

#include <array>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <string>

namespace azurehill {

/// \brief Bounds of the log.
struct log_limits
{
    /// Bytes of lines that wait for the reader of the output.
    std::size_t maxPendingBytes = 1U << 20U;
    /// Lines a second of one event. Requests that went well are many and alike.
    int maxInfoPerSecond = 500;
    /// The same for warnings and errors: below this rate no failed or refused request is missing.
    int maxWarningsPerSecond = 2000;
};

/// \brief Takes lines from any thread and writes them on one of its own.
///
/// A reader of standard output that is slow or stands still blocks that thread only; lines that
/// find no room are dropped, counted, and told in the log once there is room again.
class log_sink
{
public:
    log_sink(int descriptor, const log_limits &bounds);

    /// \brief Counts a line of \p event. \returns whether the rate allows it and there is room, so
    /// that a line that is dropped need not be put together.
    bool admits(log_event event, std::int64_t nowMs);
    /// \brief Takes \p line, which was admitted, if there is room. Never waits for the reader.
    void put(log_event event, const std::string &line, std::int64_t nowMs);
    /// \brief Writes until stop(); the body of the sink's thread.
    void run();
    /// \brief Lets run() end once all lines are out. \returns whether they were, within \p limit.
    bool stop(duration limit);
    /// \returns lines dropped so far.
    std::uint64_t dropped() const;

private:
    static constexpr std::size_t eventCount = enum_names<log_event>::names.size();

    bool isWithinRate(log_event event, std::int64_t nowMs);
    void countDropped(log_event event);
    std::string takeDropReport(std::int64_t nowMs);

    int m_descriptor;
    log_limits m_bounds;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::string m_waiting;
    bool m_isStopping = false;
    bool m_isDone = false;
    std::int64_t m_second = 0;
    std::array<int, eventCount> m_linesThisSecond{};
    std::array<std::uint64_t, eventCount> m_dropped{};
    std::uint64_t m_totalDropped = 0;
    std::int64_t m_reportedAtMs = 0;
};

/// \brief Sends all lines of the process to \p sink, or back to standard error for null.
void setLogSink(log_sink *sink);
/// \returns the sink in use, or null.
log_sink *currentLogSink();

} // namespace azurehill
