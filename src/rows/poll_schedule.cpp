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

/// Checks of the age of the copy per propagation bound.
constexpr double checksPerBound = 12;
/// Timeouts of a refresh per propagation bound. Together with the age at which the first refresh is
/// due and the interval of checks, two refreshes that time out leave a quarter of the bound.
constexpr double refreshTimeoutsPerBound = 6;
/// Fraction of the propagation bound from which on a copy is outdated. The rest is for the next
/// check and for passing the result to the traffic thread.
constexpr double outdatedShare = 5.0 / 6;
/// Fraction of the propagation bound for which an answer of the store counts as being in touch. An
/// idle daemon calls the store at two polls in a row at the least, half of the bound apart.
constexpr double inTouchShare = 2.0 / 3;
/// Fraction of the propagation bound up to which a copy may be old at the store's last answer for
/// that answer to be the last one before an outage. Refreshes keep copies below it.
constexpr double outageShare = 1.0 / 2;
/// Fraction of the propagation bound for which a daemon that gets in touch with the store may act
/// on an old copy. All daemons refresh their copies when an outage ends, and the store limits its
/// rate; without this time, every daemon would refuse requests at that moment.
constexpr double recoveryShare = 1.0 / 2;

duration shareOf(duration whole, double share)
{
    return std::chrono::duration_cast<duration>(whole * share);
}

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

duration freshnessCheckInterval(const poll_schedule &schedule)
{
    return fractionOf(schedule.propagationBound, checksPerBound);
}

duration refreshTimeout(const poll_schedule &schedule)
{
    return fractionOf(schedule.propagationBound, refreshTimeoutsPerBound);
}

bool isInTouch(const poll_schedule &schedule, duration sinceStoreAnswer)
{
    return sinceStoreAnswer <= shareOf(schedule.propagationBound, inTouchShare);
}

bool isRefreshDue(const poll_schedule &schedule, const copy_freshness &copy)
{
    return copy.age > fractionOf(schedule.propagationBound, refreshesPerBound)
        && isInTouch(schedule, copy.sinceStoreAnswer);
}

bool isCopyOutdated(const poll_schedule &schedule, const copy_freshness &copy)
{
    const duration bound = schedule.propagationBound;
    // An answer that came while the copy was still young may be the last one before an outage.
    const duration ageAtAnswer = copy.age - copy.sinceStoreAnswer;
    return copy.age > shareOf(bound, outdatedShare) && ageAtAnswer > shareOf(bound, outageShare)
        && isInTouch(schedule, copy.sinceStoreAnswer)
        && copy.inTouchFor > shareOf(bound, recoveryShare);
}

} // namespace azurehill
