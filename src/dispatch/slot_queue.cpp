#include "dispatch/slot_queue.h"

#include <utility>

namespace azurehill {

namespace {

/// A turn that was overtaken by this many grants may be granted out of order, which one grant in
/// this many is. By the order alone it would wait while more urgent turns keep arriving.
constexpr std::uint64_t grantsBeforePriority = 8;

} // namespace

void slot_queue::add(const slot_priority &priority, queued_turn turn)
{
    turn.grantsOnArrival = m_grants[turn.isFirst ? 1 : 0];
    const queue_key key{priority, ++m_lastArrival};
    ++m_sizes[turn.isFirst ? 1 : 0];
    m_keys[turn.request.ticket] = key;
    m_turns.emplace(key, std::move(turn));
}

std::optional<queued_turn> slot_queue::remove(const slot_ticket &ticket)
{
    const auto key = m_keys.find(ticket);
    if (key == m_keys.end())
        return std::nullopt;
    auto node = m_turns.extract(key->second);
    m_keys.erase(key);
    --m_sizes[node.mapped().isFirst ? 1 : 0];
    return std::move(node.mapped());
}

const queued_turn *slot_queue::find(const slot_ticket &ticket) const
{
    const auto key = m_keys.find(ticket);
    return key == m_keys.end() ? nullptr : &m_turns.at(key->second);
}

const queued_turn *
slot_queue::overtaken(bool isFirst,
                      const std::function<bool(const queued_turn &)> &isEligible) const
{
    const std::uint64_t grants = m_grants[isFirst ? 1 : 0];
    if (grants % grantsBeforePriority != grantsBeforePriority - 1)
        return nullptr;
    const std::pair<const queue_key, queued_turn> *oldest = nullptr;
    for (const auto &item : m_turns) {
        const queued_turn &turn = item.second;
        const bool isOvertaken = grants - turn.grantsOnArrival >= grantsBeforePriority;
        const bool isOlder = !oldest || item.first.second < oldest->first.second;
        // An account over its share is overtaken on purpose, until it no longer is.
        const bool isOverShare = item.first.first.isOverShare;
        if (turn.isFirst == isFirst && isOvertaken && isOlder && !isOverShare && isEligible(turn))
            oldest = &item;
    }
    return oldest ? &oldest->second : nullptr;
}

const queued_turn *
slot_queue::next(bool isFirst, const std::function<bool(const queued_turn &)> &isEligible) const
{
    if (const queued_turn *const turn = overtaken(isFirst, isEligible))
        return turn;
    slot_priority least;
    least.isFirst = isFirst;
    least.rank = std::numeric_limits<int>::min();
    least.slack = duration::min();
    for (auto item = m_turns.lower_bound({least, 0}); item != m_turns.end(); ++item) {
        if (item->second.isFirst != isFirst)
            break;
        if (isEligible(item->second))
            return &item->second;
    }
    return nullptr;
}

int slot_queue::firstTurnsUpTo(const slot_ticket &ticket) const
{
    const queue_key &key = m_keys.at(ticket);
    int count = 0;
    for (auto item = m_turns.rbegin(); item != m_turns.rend() && item->second.isFirst; ++item)
        count += item->first <= key ? 1 : 0;
    return count;
}

void slot_queue::reorder(const std::function<slot_priority(const queued_turn &)> &priorityOf)
{
    std::map<queue_key, queued_turn> reordered;
    for (auto &[key, turn] : m_turns) {
        const queue_key next{priorityOf(turn), key.second};
        m_keys[turn.request.ticket] = next;
        reordered.emplace(next, std::move(turn));
    }
    m_turns = std::move(reordered);
}

std::vector<slot_ticket>
slot_queue::select(const std::function<bool(const queued_turn &)> &matches) const
{
    std::vector<slot_ticket> result;
    for (const auto &[key, turn] : m_turns) {
        if (matches(turn))
            result.push_back(turn.request.ticket);
    }
    return result;
}

} // namespace azurehill
