#include "turns/program_budget.h"

#include <algorithm>

namespace azurehill {

namespace {

/// Parts of the budget that the first and the further holds take. Larger holds need fewer writes
/// and last longer while the store is away; what a dispatcher that dies had not used stays held.
constexpr std::int64_t firstHoldDivisor = 2;
constexpr std::int64_t nextHoldDivisor = 4;
/// Turns that a hold after the first covers at least.
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

void program_budget::onHeld(std::int64_t tokens, std::int64_t charged)
{
    m_held = tokens;
    m_used -= charged;
    m_charged += charged;
}

bool program_budget::needsHoldFor(std::int64_t maxOutputTokens) const
{
    return m_used + outstanding() + maxOutputTokens > m_held;
}

std::int64_t program_budget::smallestHold(std::int64_t maxOutputTokens) const
{
    // Not less than what is left of the present hold, as a turn may be reserved from that while the
    // outcome of the write is unknown.
    return std::max(outstanding() + maxOutputTokens, m_held - m_used);
}

std::int64_t program_budget::nextHold(std::int64_t maxOutputTokens) const
{
    const std::int64_t smallest = smallestHold(maxOutputTokens);
    const std::int64_t rest = m_budget - m_charged - m_used;
    if (smallest > rest)
        return 0;
    const bool isFirst = m_held == 0;
    const std::int64_t part = m_budget / (isFirst ? firstHoldDivisor : nextHoldDivisor);
    const std::int64_t turns = isFirst ? 1 : turnsPerHold;
    const std::int64_t preferred = outstanding() + std::max(part, turns * maxOutputTokens);
    return std::clamp(preferred, smallest, rest);
}

} // namespace azurehill
