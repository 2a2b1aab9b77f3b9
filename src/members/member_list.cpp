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

std::vector<member_change> member_list::onRound(time_point now)
{
    ++m_self.beat;
    std::vector<member_change> gone;
    for (auto &[name, e] : m_members) {
        if (e.isAlive && now - e.heardAt > silenceLimit) {
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

std::vector<member_state> member_list::digest(std::size_t most) const
{
    std::vector<const entry *> fresh;
    for (const auto &[name, e] : m_members) {
        if (e.isAlive)
            fresh.push_back(&e);
    }
    std::sort(fresh.begin(), fresh.end(),
              [](const entry *a, const entry *b) { return a->heardAt > b->heardAt; });
    std::vector<member_state> result{m_self};
    for (const entry *e : fresh) {
        if (result.size() >= most)
            break;
        result.push_back(e->state);
    }
    return result;
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
