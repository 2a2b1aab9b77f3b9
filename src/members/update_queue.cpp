#include "members/update_queue.h"

namespace azurehill {

namespace {

/// Number of times that a daemon sends one update. If each daemon that has an update sends it to
/// twelve random others, one daemon in 160,000 does not receive it (the fraction s with
/// s = e^(-12(1-s))), whatever their number. With eight it is one in 3,000: in a replay of 300
/// daemons of which 150 stopped at once, ten were still alive in the view of one of the others four
/// seconds later.
constexpr int maxTransmissions = 12;

} // namespace

void update_queue::add(const daemon_id &member)
{
    if (const auto old = m_keys.find(member); old != m_keys.end()) {
        m_order.erase(old->second);
        m_keys.erase(old);
    }
    queue_key p{0, --m_newestOrder, member};
    m_order.insert(p);
    m_keys.emplace(member, std::move(p));
}

std::vector<daemon_id> update_queue::take(std::size_t maxCount)
{
    std::vector<queue_key> taken;
    while (!m_order.empty() && taken.size() < maxCount)
        taken.push_back(m_order.extract(m_order.begin()).value());
    std::vector<daemon_id> members;
    for (auto &[sent, added, member] : taken) {
        members.push_back(member);
        if (sent + 1 >= maxTransmissions) {
            m_keys.erase(member);
            continue;
        }
        const queue_key again{sent + 1, added, member};
        m_order.insert(again);
        m_keys[member] = again;
    }
    return members;
}

} // namespace azurehill
