#include "rows/poll_schedule.h"

namespace azurehill {

namespace {

/// Looks within the bound: a change that this daemon has to read itself leaves time for a second
/// read if the first fails.
constexpr double pollsPerBound = 4;
/// A copy that is older than the bound divided by this is read anew: with the pause to the next
/// look and a read that takes a second, a change is in force just within a bound of three seconds.
constexpr double refreshesPerBound = 3;
/// Daemons that read at one look, on average. Then one of them reads every 62 ms where the bound is
/// 4 s, and its news is everywhere in four to five rounds of pings.
constexpr double readers = 16;

duration part(duration whole, double count)
{
    return std::chrono::duration_cast<duration>(whole / count);
}

} // namespace

duration lookPause(const poll_schedule &turns)
{
    return part(turns.bound, pollsPerBound);
}

bool isReadDue(const poll_schedule &turns, std::optional<duration> age, double chance)
{
    const bool isTooOld = !age || *age > part(turns.bound, refreshesPerBound);
    return isTooOld || chance * double(turns.daemons) < readers;
}

} // namespace azurehill
