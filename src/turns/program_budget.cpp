#include "turns/program_budget.h"

#include <algorithm>

namespace azurehill {

namespace {

/// Parts of the budget that the first and the further holds take, so that most programs need one or
/// two, and a dispatcher that dies leaves the other half to its successor.
constexpr std::int64_t firstHoldDivisor = 2;
constexpr std::int64_t nextHoldDivisor = 4;
/// Turns that a further hold covers at least.
constexpr std::int64_t turnsPerHold = 2;

} // namespace

std::int64_t program_budget::outstanding() const
{
    std::int64_t sum = 0;
    for (const auto &[turn, tokens] : m_reservations)
        sum += tokens;
    return sum;
}

bool program_budget::tryReserve(const turn_id &turn, std::int64_t maxOutputTokens)
{
    if (m_reservations.contains(turn))
        return true;
    if (needsHoldFor(maxOutputTokens))
        return false;
    m_reservations.emplace(turn, maxOutputTokens);
    return true;
}

void program_budget::settle(const turn_id &turn, std::int64_t used)
{
    const auto found = m_reservations.find(turn);
    if (found == m_reservations.end())
        return;
    m_used += std::clamp<std::int64_t>(used, 0, found->second);
    m_reservations.erase(found);
}

std::int64_t program_budget::missingFor(std::int64_t maxOutputTokens) const
{
    return std::max<std::int64_t>(0, m_used + outstanding() + maxOutputTokens - m_held);
}

bool program_budget::needsHoldFor(std::int64_t maxOutputTokens) const
{
    return missingFor(maxOutputTokens) > 0;
}

std::int64_t program_budget::nextHold(std::int64_t maxOutputTokens) const
{
    const std::int64_t missing = missingFor(maxOutputTokens);
    const std::int64_t preferred = m_held == 0
        ? m_budget / firstHoldDivisor
        : std::max(m_budget / nextHoldDivisor, turnsPerHold * maxOutputTokens);
    const std::int64_t rest = m_budget - m_held;
    return missing > rest ? 0 : std::min(rest, std::max(missing, preferred));
}

} // namespace azurehill
