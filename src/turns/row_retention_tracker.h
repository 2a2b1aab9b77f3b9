#pragma once

#include "store/store.h"
#include "turns/turn.h"

#include <limits>
#include <optional>
#include <unordered_map>
#include <vector>

namespace azurehill {

/// \brief Tracks when the rows of programs in the store may be due for removal.
///
/// The store has no expiry of its own, and its rows have no time. A daemon knows of the rows that
/// it wrote, or read, how long they have existed at least; how long they are kept, the rows state.
/// A row of a later version shows that another daemon has written since; that daemon then tracks
/// the program.
class row_retention_tracker
{
public:
    /// \brief A program whose rows have to be read to decide on their removal.
    struct tracked_program
    {
        program_id program;
        /// Newest version of the program's rows that is known; empty if none has been seen yet.
        std::optional<store_version> version;
        /// Since when rows of that version and of earlier ones have existed at least.
        time_point knownSince;
    };

    /// \brief Records that this daemon wrote rows of \p program.
    /// \param version version of the rows.
    /// \param now a time after the write.
    /// \param retention how long these rows are kept.
    void onWritten(const program_id &program, store_version version, time_point now,
                   duration retention);
    /// \brief Records a program that was found in the store and may have no daemon that tracks it.
    void onFound(const program_id &program, time_point now);
    /// \brief Tracks \p program again from \p dueAt, with what has been recorded in the meantime.
    void reschedule(const tracked_program &program, time_point dueAt);

    /// \brief Removes up to \p maxPrograms programs that are due at \p now from the tracker.
    /// \returns them.
    std::vector<tracked_program> takeDue(time_point now, std::size_t maxPrograms);
    std::size_t size() const { return m_programs.size(); }
    /// \brief Sets the number of programs that are tracked at a time. Those beyond it are left to
    /// the scan for abandoned programs.
    void setMaxPrograms(std::size_t count) { m_maxPrograms = count; }

private:
    /// \returns whether \p program is tracked, or may be from now on.
    bool hasRoomFor(const program_id &program) const;
    struct schedule
    {
        std::optional<store_version> version;
        time_point knownSince;
        /// The longest retention time of the rows that this daemon wrote.
        duration retention = duration::zero();
        time_point dueAt;
    };
    std::size_t m_maxPrograms = std::numeric_limits<std::size_t>::max();
    std::unordered_map<program_id, schedule> m_programs;
};

} // namespace azurehill
