#pragma once

#include "ownership/cell_view.h"

#include <deque>

namespace azurehill {

/// \brief The most recent views of a cell that this daemon adopted, used to tell whether it owned a
/// program without interruption.
///
/// A daemon can lose a program and regain it between two reads of the view. Its in-memory state of
/// the program is then outdated although the newest view names it as the owner. Continuous
/// ownership therefore requires that every view since then is known and names this daemon.
class ownership_history
{
public:
    ownership_history(daemon_id self, std::string incarnation)
        : m_self(std::move(self)), m_incarnation(std::move(incarnation))
    { }

    /// \brief Adds a view that this daemon adopted. Numbers must increase.
    void onView(const cell_view &view);
    /// \returns whether this daemon owned \p program in every view from \p number on. False if a
    /// view in between is unknown.
    bool ownedSince(const program_id &program, fencing_number number) const;
    /// \returns whether this daemon may now own a program that it did not own continuously since
    /// view \p number. If false, no journal needs to be read.
    bool mayHaveGainedSince(fencing_number number) const;

private:
    bool covers(fencing_number number) const;
    bool owns(const cell_view &view, const program_id &program) const;
    bool canOwn(const cell_view &view) const;
    bool mayGain(const cell_view &from, const cell_view &to) const;

    daemon_id m_self;
    std::string m_incarnation;
    /// Views with consecutive numbers, the newest last.
    std::deque<cell_view> m_views;
};

} // namespace azurehill
