#pragma once

#include "core/log_event.h"
#include "core/runtime_clock.h"

#include <array>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <string>

namespace azurehill {

/// \brief Limits on buffered log lines and on their rate.
struct log_limits
{
    /// Maximum size of the lines not yet written to the output, in bytes.
    std::size_t maxPendingBytes = 1U << 20U;
    /// Maximum lines per second and event below the level Warning: lines of successful requests are
    /// numerous and similar.
    int maxInfoPerSecond = 500;
    /// Maximum lines per second and event for warnings and errors. It is higher, so that the log is
    /// complete for failed and refused requests up to this rate.
    int maxWarningsPerSecond = 2000;
};

/// \brief Asynchronous log writer with a bounded buffer: any thread appends lines, and a thread of
/// the sink writes them to a file descriptor.
///
/// A reader of the output that is slow or has stopped blocks only the thread of the sink. Lines
/// that do not fit into the buffer or exceed the rate limit are dropped and counted; the counts are
/// logged (log_dropped) once the buffer has space again.
class log_sink
{
public:
    log_sink(int descriptor, const log_limits &limits);

    /// \brief Counts a line of \p event against the rate limit. \returns whether the line is within
    /// the limit and the buffer has space, so that a dropped line need not be formatted.
    bool admits(log_event event, std::int64_t nowMs);
    /// \brief Adds an admitted \p line to the buffer, or drops it if the buffer is full. Never
    /// blocks on the reader.
    void append(log_event event, const std::string &line, std::int64_t nowMs);
    /// \brief Writes buffered lines until stop(). This is the main function of the sink's thread.
    void run();
    /// \brief Makes run() return once all lines are written. \returns whether it has finished
    /// within \p limit.
    bool stop(duration limit);
    /// \returns the number of lines dropped since construction.
    std::uint64_t dropped() const;

private:
    static constexpr std::size_t eventCount = enum_names<log_event>::names.size();

    bool isWithinRate(log_event event, std::int64_t nowMs);
    void countDropped(log_event event);
    std::string takeDropReport(std::int64_t nowMs);

    int m_descriptor;
    log_limits m_limits;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::string m_pendingText;
    bool m_isStopping = false;
    bool m_isDone = false;
    std::int64_t m_second = 0;
    std::array<int, eventCount> m_linesThisSecond{};
    std::array<std::uint64_t, eventCount> m_dropped{};
    std::uint64_t m_totalDropped = 0;
    std::int64_t m_reportedAtMs = 0;
};

/// \brief Directs the lines of logDecision() to \p sink, or to standard error if it is null.
void setLogSink(log_sink *sink);
/// \returns the sink set by setLogSink(), or null.
log_sink *currentLogSink();

} // namespace azurehill
