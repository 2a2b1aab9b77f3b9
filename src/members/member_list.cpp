#include "members/member_list.h"

#include <utility>

namespace azurehill {

namespace {

/// Retention of dead members. It has to outlast updates about them that are still spreading, and
/// network partitions. It is bounded because hosts are replaced permanently, two thousand a day in
/// a large system, and the list would otherwise grow without limit.
constexpr duration tombstoneRetention = std::chrono::minutes(10);

} // namespace

void member_list::set(entry &e, entry next)
{
    const bool wasAlive = e.isAlive();
    e = std::move(next);
    if (e.isAlive() == wasAlive)
        return;
    if (wasAlive)
        --m_aliveCount;
    else
        ++m_aliveCount;
    m_changes.push_back({e.update.state, e.isAlive()});
}

bool member_list::apply(const member_update &update, time_point deadAt)
{
    const auto [found, isNew] = m_members.try_emplace(update.state.name);
    entry &e = found->second;
    const bool isFirst = e.isOnlyInStore && compareAge(update.state, e.update.state) >= 0;
    if (!isNew && !isFirst && !overrides(update, e.update))
        return false;
    set(e, {update, false, deadAt});
    return true;
}

void member_list::onStoredMember(const member_state &state, time_point now)
{
    const auto [found, isNew] = m_members.try_emplace(state.name);
    entry &e = found->second;
    if (isNew || (e.isOnlyInStore && compareAge(state, e.update.state) > 0))
        e = {{state, member_health::Alive}, true, now};
    else if (e.isOnlyInStore)
        e.deadAt = now;
}

bool member_list::onMessageFrom(const daemon_id &name, std::int64_t incarnation,
                                std::uint64_t version)
{
    const auto found = m_members.find(name);
    if (found == m_members.end())
        return false;
    entry &e = found->second;
    member_state senderState;
    senderState.incarnation = incarnation;
    senderState.version = version;
    const auto age = compareAge(senderState, e.update.state);
    if (age == 0 && e.isOnlyInStore)
        set(e, {e.update, false, {}});
    return age <= 0;
}

std::vector<daemon_id> member_list::expire(time_point now)
{
    std::vector<daemon_id> expired;
    for (auto &[name, e] : m_members) {
        if (e.update.health != member_health::Suspect || now < e.deadAt)
            continue;
        entry dead = e;
        dead.update.health = member_health::Dead;
        set(e, std::move(dead));
        expired.push_back(name);
    }
    std::erase_if(m_members, [now](const auto &item) {
        return !item.second.isAlive() && now > item.second.deadAt + tombstoneRetention;
    });
    return expired;
}

void member_list::extendSuspicions(duration time)
{
    for (auto &[name, e] : m_members)
        e.deadAt += time;
}

const member_list::entry *member_list::find(const daemon_id &name) const
{
    const auto found = m_members.find(name);
    return found == m_members.end() ? nullptr : &found->second;
}

template <class Predicate>
member_list::selection member_list::select(Predicate predicate) const
{
    selection result;
    for (const auto &[name, e] : m_members) {
        if (predicate(e))
            result.push_back(&e.update.state);
    }
    return result;
}

member_list::selection member_list::alive() const
{
    return select([](const entry &e) { return e.isAlive(); });
}

member_list::selection member_list::healthy() const
{
    return select([](const entry &e) { return e.isHealthy(); });
}

member_list::selection member_list::unhealthy() const
{
    return select([](const entry &e) { return !e.isHealthy(); });
}

std::vector<member_change> member_list::takeChanges()
{
    return std::exchange(m_changes, {});
}

} // namespace azurehill
