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

} // namespace azurehill
