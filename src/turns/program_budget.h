#pragma once

#include "turns/turn.h"

#include <cstdint>
#include <map>

namespace azurehill {

/// \brief Use of the tokens that one daemon holds durably for the turns of a program.
///
/// What turns have used and may still use never exceeds what is held.
class program_budget
{
public:
    /// \param budget tokens that all turns of the program may generate.
    explicit program_budget(std::int64_t budget) : m_budget(budget) { }

    /// \brief Reserves the maximum output of a turn from the held tokens.
    /// \returns false if they don't suffice. A turn that is reserved already stays so.
    bool tryReserve(const turn_id &turn, std::int64_t maxOutputTokens);
    /// \brief Replaces the reservation of \p turn by the tokens that it used.
    void settle(const turn_id &turn, std::int64_t used);
    /// \brief \p tokens more are held durably.
    void onHeld(std::int64_t tokens) { m_held += tokens; }

    /// \returns how many tokens to hold next, so that a turn of \p maxOutputTokens can be reserved;
    /// 0 if the budget does not allow that.
    std::int64_t nextHold(std::int64_t maxOutputTokens) const;
    /// \returns how many tokens too few are held for a further turn of \p maxOutputTokens; 0 if
    /// none.
    std::int64_t missingFor(std::int64_t maxOutputTokens) const;
    /// \returns whether a further turn of \p maxOutputTokens needs another hold.
    bool needsHoldFor(std::int64_t maxOutputTokens) const;

    std::int64_t budget() const { return m_budget; }
    std::int64_t held() const { return m_held; }
    std::int64_t used() const { return m_used; }
    /// \returns the sum of the reservations of turns that have not ended.
    std::int64_t outstanding() const;
    bool hasOutstanding() const { return !m_reservations.empty(); }

private:
    std::int64_t m_budget;
    std::int64_t m_held = 0;
    std::int64_t m_used = 0;
    std::map<turn_id, std::int64_t> m_reservations;
};

} // namespace azurehill
