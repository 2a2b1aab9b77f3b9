#pragma once

#include "turns/turn.h"

#include <cstdint>
#include <map>

namespace azurehill {

/// \brief Use of the tokens that one daemon holds durably for the turns of a program.
///
/// One hold is in the store at a time; the next one replaces it and charges what was used of it.
/// What turns have used and may still use of the hold never exceeds it.
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
    /// \brief A hold of \p tokens has replaced the one before, of which \p charged tokens were
    /// charged as used.
    void onHeld(std::int64_t tokens, std::int64_t charged);

    /// \returns the tokens of the next hold, which covers the turns in progress and a further one
    /// of \p maxOutputTokens; 0 if the budget does not allow that.
    std::int64_t nextHold(std::int64_t maxOutputTokens) const;
    /// \returns the tokens of the smallest such hold.
    std::int64_t smallestHold(std::int64_t maxOutputTokens) const;
    /// \returns whether a further turn of \p maxOutputTokens needs another hold.
    bool needsHoldFor(std::int64_t maxOutputTokens) const;

    std::int64_t budget() const { return m_budget; }
    /// \returns the tokens of the present hold.
    std::int64_t held() const { return m_held; }
    /// \returns the tokens that ended turns used of the present hold.
    std::int64_t used() const { return m_used; }
    /// \returns the tokens that were charged when holds were replaced.
    std::int64_t charged() const { return m_charged; }
    /// \returns the sum of the reservations of turns that have not ended.
    std::int64_t outstanding() const;
    bool hasOutstanding() const { return !m_reservations.empty(); }

private:
    std::int64_t m_budget;
    std::int64_t m_held = 0;
    std::int64_t m_used = 0;
    std::int64_t m_charged = 0;
    std::map<turn_id, std::int64_t> m_reservations;
};

} // namespace azurehill
