#pragma once

#include "core/core.h"

#include <optional>

namespace azurehill {

/// \brief How a daemon follows a table that all daemons read in turns.
struct poll_schedule
{
    /// Time within which each daemon must act on a change of the table.
    duration bound = seconds(2);
    /// Daemons that live, this one included.
    std::size_t daemons = 1;
};

/// \returns the time between two looks whether this daemon reads the table.
duration lookPause(const poll_schedule &turns);

/// \brief Decides at a look whether this daemon reads the table itself.
///
/// All daemons together read as often as some would, whatever their number; one whose copy got too
/// old, since it hears nobody or nobody reaches the store, does so at once. They look at moments of
/// their own, so all of them falling back are spread over a pause.
/// \param age how long ago its copy was certainly the table, or nothing before there is one.
/// \param chance drawn evenly from 0 to 1.
bool isReadDue(const poll_schedule &turns, std::optional<duration> age, double chance);

} // namespace azurehill
