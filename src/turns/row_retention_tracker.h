#pragma once

#include "store/store.h"
#include "turns/turn.h"

#include <deque>
#include <unordered_map>

namespace azurehill {

/// \brief Tracks the retention time of the rows that this daemon wrote, by program.
///
/// The store has no expiry of its own. The daemon that added a program's last turn removes the
/// program's rows once the retention time of that turn is over. A row of a later version shows that
/// another daemon has added a turn since; that daemon is then responsible for the removal.
class row_retention_tracker
{
public:
    /// \brief Records that a turn of \p program was added; its rows are kept until \p until.
    /// \param version version of the rows that were written with that turn.
    void onTurnAdded(const program_id &program, const turn_id &id, store_version version,
                     time_point until);
    /// \brief Records that the account of \p program changed without a new turn.
    void onAccountChanged(const program_id &program, store_version version, time_point until);

    /// \brief A program whose rows may be removed, with the turns that this daemon added to it.
    struct expired_program
    {
        program_id program;
        /// Version of the newest rows that this daemon wrote for the program.
        store_version version = 0;
        std::vector<turn_id> turns;
    };
    /// \brief Removes up to \p maxPrograms programs whose retention time is over at \p now from the
    /// tracker. \returns them.
    std::vector<expired_program> takeExpired(time_point now, std::size_t maxPrograms);
    std::size_t size() const { return m_programs.size(); }

private:
    struct tracked_program
    {
        store_version version = 0;
        time_point retainUntil;
        std::vector<turn_id> turns;
    };
    std::unordered_map<program_id, tracked_program> m_programs;
};

} // namespace azurehill
