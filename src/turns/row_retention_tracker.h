#pragma once

#include "store/store.h"
#include "turns/turn.h"

#include <deque>
#include <unordered_map>

namespace azurehill {

/// \brief Remembers which rows this daemon added, and when nobody may need them any more.
///
/// The store forgets nothing by itself. The daemon that added a program's last turn removes the
/// program's rows once the retention of that turn is over; a row of a later version tells that
/// another daemon added a turn later, which then is that daemon's to remove.
class row_retention_tracker
{
public:
    /// \brief A turn of \p program was added; its rows are needed until \p until.
    /// \param version of the rows that were written with that turn.
    void onTurnAdded(const program_id &program, const turn_id &id, store_version version,
                     time_point until);
    /// \brief The account of \p program changed and no turn was added.
    void onAccountChanged(const program_id &program, store_version version, time_point until);

    /// \brief Programs whose rows may go, and the turns that this daemon added to them.
    struct expired_program
    {
        program_id program;
        /// Version of the newest rows that this daemon wrote with a turn.
        store_version version = 0;
        std::vector<turn_id> turns;
    };
    /// \returns up to \p most programs that are due at \p now, and forgets them.
    std::vector<expired_program> takeExpired(time_point now, std::size_t most);
    std::size_t size() const { return m_programs.size(); }

private:
    struct entry
    {
        store_version version = 0;
        time_point until;
        std::vector<turn_id> turns;
    };
    std::unordered_map<program_id, entry> m_programs;
};

} // namespace azurehill
