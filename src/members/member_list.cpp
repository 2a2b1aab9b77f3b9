#include "members/member_list.h"

#include <utility>

namespace azurehill {

namespace {

/// Members that are gone are remembered for as long as news of them may still pass, and as a cut
/// between hosts may last. Hosts are replaced for good, two thousand a day in a large system:
/// without an end the list would grow for as long as the process lives.
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

bool member_list::apply(const member_update &news, time_point deadAt)
{
    const auto [found, isNew] = m_members.try_emplace(news.state.name);
    entry &e = found->second;
    const bool isFirst = e.isOnlyInStore && compareAge(news.state, e.update.state) >= 0;
    if (!isNew && !isFirst && !overrides(news, e.update))
        return false;
    set(e, {news, false, deadAt});
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

bool member_list::onHeard(const daemon_id &name, std::int64_t incarnation, std::uint64_t version)
{
    const auto found = m_members.find(name);
    if (found == m_members.end())
        return false;
    entry &e = found->second;
    member_state said;
    said.incarnation = incarnation;
    said.version = version;
    const auto age = compareAge(said, e.update.state);
    if (age == 0 && e.isOnlyInStore)
        set(e, {e.update, false, {}});
    return age <= 0;
}

std::vector<daemon_id> member_list::expire(time_point now)
{
    std::vector<daemon_id> gone;
    for (auto &[name, e] : m_members) {
        if (e.update.health != member_health::Suspect || now < e.deadAt)
            continue;
        entry dead = e;
        dead.update.health = member_health::Dead;
        set(e, std::move(dead));
        gone.push_back(name);
    }
    std::erase_if(m_members, [now](const auto &item) {
        return !item.second.isAlive() && now > item.second.deadAt + tombstoneRetention;
    });
    return gone;
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

member_list::selection member_list::silent() const
{
    return select([](const entry &e) { return !e.isHealthy(); });
}

std::vector<member_change> member_list::takeChanges()
{
    return std::exchange(m_changes, {});
}

} // namespace azurehill
