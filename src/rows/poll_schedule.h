#pragma once

#include "core/core.h"

#include <optional>

namespace azurehill {

/// \brief Schedule by which a group of daemons polls a table of the store on behalf of each
/// other.
struct poll_schedule
{
    /// Upper bound on the time from a change of the table until every daemon acts on it.
    duration propagationBound = seconds(2);
    /// Number of live daemons, including this one.
    std::size_t liveDaemons = 1;
};

/// \brief What a daemon knows about its copy of the table and its access to the store.
struct copy_freshness
{
    /// Time since the copy was known to be equal to the table.
    duration age = duration::zero();
    /// Time since the store last answered this daemon, directly or through a peer.
    duration sinceStoreAnswer = duration::zero();
    /// Time for which the daemon has been in touch with the store without a break, see isInTouch().
    duration inTouchFor = duration::zero();
};

/// \returns the time between two calls of isReadDue().
duration pollInterval(const poll_schedule &schedule);

/// \brief Decides whether this daemon reads the table from the store at this poll.
///
/// The expected number of reads per poll interval is constant, whatever the number of daemons. A
/// daemon whose copy is too old, because gossip does not reach it or no daemon reaches the store,
/// reads at once. The polls of different daemons are not synchronized, so even if all of them
/// fall back to reading, the reads are spread over one poll interval.
/// \param age age of its copy: the time since the copy was known to equal the table; empty before
/// the first copy.
/// \param uniformSample uniformly distributed random number in [0, 1).
bool isReadDue(const poll_schedule &schedule, std::optional<duration> age, double uniformSample);

/// \returns the time between two checks of the age of the copy.
duration freshnessCheckInterval(const poll_schedule &schedule);
/// \returns the timeout of a read that is made because the copy is too old.
duration refreshTimeout(const poll_schedule &schedule);
/// \brief Decides at a check whether this daemon reads the changes since its copy from the store,
/// whatever other reads and fetches are in progress.
///
/// With a propagation bound B, a copy is refreshed at an age of B/3, which a check detects B/12
/// later; a second read follows if the first one got no answer within B/6. The copy of a daemon for
/// which one of two reads succeeds is at most 3B/4 old.
bool isRefreshDue(const poll_schedule &schedule, const copy_freshness &copy);
/// \returns whether a daemon that the store last answered \p sinceStoreAnswer ago is in touch with
/// it.
bool isInTouch(const poll_schedule &schedule, duration sinceStoreAnswer);
/// \returns whether the copy is so old, although the store answers this daemon, that the daemon may
/// no longer act on it.
///
/// True from an age of 5B/6, so that with the next check the daemon stops to act on the copy before
/// B. During an outage of the store every copy grows old, and the daemons continue to act on them:
/// no change can be acknowledged meanwhile.
bool isCopyOutdated(const poll_schedule &schedule, const copy_freshness &copy);

} // namespace azurehill
