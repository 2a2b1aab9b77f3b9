#include "ownership/placement.h"

#include <algorithm>

namespace azurehill {

namespace {

std::uint64_t weightOf(const member &m, std::uint64_t programHash)
{
    return stableHash(m.daemon.value, programHash);
}

template <class Predicate>
const member *memberOfHighestWeight(const cell_view &view, const program_id &root, Predicate counts)
{
    const std::uint64_t programHash = stableHash(root.value);
    const member *best = nullptr;
    for (const member &m : view.members) {
        if (counts(m) && (!best || weightOf(m, programHash) > weightOf(*best, programHash)))
            best = &m;
    }
    return best;
}

} // namespace

bool acceptsPrograms(const member &m)
{
    return !m.draining && !m.joining;
}

std::vector<const member *> preferenceOrder(const cell_view &view, const program_id &program)
{
    const std::uint64_t programHash = stableHash(rootOf(program).value);
    std::vector<const member *> order;
    for (const member &m : view.members) {
        if (acceptsPrograms(m))
            order.push_back(&m);
    }
    std::sort(order.begin(), order.end(), [&](const member *a, const member *b) {
        return weightOf(*a, programHash) > weightOf(*b, programHash);
    });
    return order;
}

const member *ownerOf(const cell_view &view, const program_id &program)
{
    const program_id root = rootOf(program);
    // What a member keeps has a call under way, whose end that member alone can commit.
    for (const member &m : view.members) {
        if (std::binary_search(m.keeps.begin(), m.keeps.end(), root))
            return &m;
    }
    return memberOfHighestWeight(view, root, acceptsPrograms);
}

const member *ownerAfterPendingChanges(const cell_view &view, const program_id &program)
{
    return memberOfHighestWeight(view, rootOf(program),
                                 [](const member &m) { return !m.draining; });
}

} // namespace azurehill
