#include "ownership/placement.h"

#include <algorithm>

namespace azurehill {

namespace {

std::uint64_t weightOf(const member &m, std::uint64_t programHash)
{
    return stableHash(m.daemon.value, programHash);
}

} // namespace

std::vector<const member *> preferenceOrder(const cell_view &view, const program_id &program)
{
    const std::uint64_t programHash = stableHash(rootOf(program).value);
    std::vector<const member *> order;
    for (const member &m : view.members) {
        if (!m.draining)
            order.push_back(&m);
    }
    std::sort(order.begin(), order.end(), [&](const member *a, const member *b) {
        return weightOf(*a, programHash) > weightOf(*b, programHash);
    });
    return order;
}

const member *ownerOf(const cell_view &view, const program_id &program)
{
    const std::uint64_t programHash = stableHash(rootOf(program).value);
    const member *best = nullptr;
    for (const member &m : view.members) {
        if (m.draining)
            continue;
        if (!best || weightOf(m, programHash) > weightOf(*best, programHash))
            best = &m;
    }
    return best;
}

} // namespace azurehill
