#include "rows/poll_schedule.h"

namespace azurehill {

namespace {

/// Polls per propagation bound, so that a daemon that has to read a change itself has time for a
/// second read if the first one fails.
constexpr double pollsPerBound = 4;
/// A copy older than the propagation bound divided by this is read again. With the interval to
/// the next poll and a read that takes one second, a change still takes effect within a bound of
/// three seconds.
constexpr double refreshesPerBound = 3;
/// Expected number of daemons that read per poll interval. With a bound of 4 s, one of them reads
/// every 62 ms, and gossip spreads what it read to all daemons in four to five ping rounds.
constexpr double readersPerPoll = 16;

duration fractionOf(duration whole, double count)
{
    return std::chrono::duration_cast<duration>(whole / count);
}

} // namespace

duration pollInterval(const poll_schedule &schedule)
{
    return fractionOf(schedule.propagationBound, pollsPerBound);
}

bool isReadDue(const poll_schedule &schedule, std::optional<duration> age, double uniformSample)
{
    const bool isTooOld = !age || *age > fractionOf(schedule.propagationBound, refreshesPerBound);
    return isTooOld || uniformSample * double(schedule.liveDaemons) < readersPerPoll;
}

} // namespace azurehill
