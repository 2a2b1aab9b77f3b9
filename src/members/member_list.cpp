#include "members/member_list.h"

#include <algorithm>

namespace azurehill {

namespace {

/// \returns whether \p a is a later word of the same daemon than \p b.
bool isNewer(const member_state &a, const member_state &b)
{
    if (a.incarnation != b.incarnation)
        return a.incarnation > b.incarnation;
    return a.beat > b.beat;
}

} // namespace

member_list::member_list(member_state self, std::uint64_t seed)
    : m_self(std::move(self)), m_random(seed)
{ }

std::vector<member_change> member_list::onHeard(const std::vector<member_state> &states,
                                                time_point now)
{
    std::vector<member_change> back;
    for (const member_state &s : states) {
        if (s.name == m_self.name)
            continue;
        entry &e = m_members[s.name];
        const bool isFirst = e.state.name.empty();
        if (!isFirst && !isNewer(s, e.state))
            continue;
        if (!e.isAlive)
            back.push_back({s, true, isFirst ? duration::zero() : now - e.heardAt});
        e = {s, now, true};
    }
    return back;
}

void member_list::onListed(const member_state &state)
{
    if (state.name == m_self.name)
        return;
    entry &e = m_members[state.name];
    if (e.state.name.empty())
        e.state = state;
}

duration member_list::silenceLimit() const
{
    constexpr duration sixRounds = milliseconds(1200);
    // States that a daemon hears in a round: four messages of forty.
    constexpr std::size_t heardInRound = 160;
    return sixRounds * static_cast<std::int64_t>(1 + m_members.size() / heardInRound);
}

std::vector<member_change> member_list::onRound(time_point now)
{
    ++m_self.beat;
    std::vector<member_change> gone;
    for (auto &[name, e] : m_members) {
        if (e.isAlive && now - e.heardAt > silenceLimit()) {
            e.isAlive = false;
            gone.push_back({e.state, false, now - e.heardAt});
        }
    }
    return gone;
}

void member_list::remove(const daemon_id &name)
{
    m_members.erase(name);
}

std::vector<member_state> member_list::digest(std::size_t most)
{
    // Chosen by chance: the freshest words only would pass among the few that heard them first.
    std::vector<member_state> living = alive();
    std::shuffle(living.begin(), living.end(), m_random);
    living.resize(std::min(living.size(), most - 1));
    living.push_back(m_self);
    return living;
}

std::vector<member_state> member_list::pickPeers(std::size_t count)
{
    std::vector<member_state> living;
    std::vector<member_state> silent;
    for (const auto &[name, e] : m_members)
        (e.isAlive ? living : silent).push_back(e.state);
    std::shuffle(living.begin(), living.end(), m_random);
    std::shuffle(silent.begin(), silent.end(), m_random);
    living.resize(std::min(living.size(), count));
    if (!silent.empty())
        living.push_back(silent.front());
    return living;
}

std::vector<member_state> member_list::alive() const
{
    std::vector<member_state> result;
    for (const auto &[name, e] : m_members) {
        if (e.isAlive)
            result.push_back(e.state);
    }
    return result;
}

} // namespace azurehill
