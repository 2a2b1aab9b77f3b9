#pragma once

#include "core/runtime_clock.h"

namespace azurehill {

/// \brief Time limits of a graceful stop, which ends before the platform kills the process.
class shutdown_schedule
{
public:
    /// \param began when the stop was requested.
    /// \param grace time from then until the process is killed.
    shutdown_schedule(time_point began, duration grace);

    /// \returns the earliest end of the process. Callers that know an old look-up may arrive until
    /// then.
    time_point earliestEnd() const { return m_earliestEnd; }
    /// \returns when the answers that are still in progress are aborted.
    time_point answerDeadline() const { return m_answerDeadline; }
    /// \returns the latest end of the process. The time since answerDeadline() is for settling the
    /// aborted requests, the rest of the grace time for the log.
    time_point latestEnd() const { return m_latestEnd; }

    /// \returns whether a request that ends by \p deadline can't be aborted by the stop.
    bool allows(time_point deadline) const { return deadline <= m_answerDeadline; }

private:
    time_point m_earliestEnd;
    time_point m_answerDeadline;
    time_point m_latestEnd;
};

} // namespace azurehill
