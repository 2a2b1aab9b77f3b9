#include "members/update_queue.h"

namespace azurehill {

namespace {

/// Times that a daemon passes on one piece of news. If each that has heard it tells twelve others
/// by chance, one in 160,000 does not hear it (the share s with s = e^(-12(1-s))), whatever their
/// number. With eight it was one in 3,000: of 150 daemons that stopped at once ten were still held
/// for alive by one of the others four seconds later (replay of 300).
constexpr int maxTransmissions = 12;

} // namespace

void update_queue::add(const daemon_id &member)
{
    if (const auto old = m_places.find(member); old != m_places.end()) {
        m_order.erase(old->second);
        m_places.erase(old);
    }
    place p{0, --m_newestOrder, member};
    m_order.insert(p);
    m_places.emplace(member, std::move(p));
}

std::vector<daemon_id> update_queue::take(std::size_t most)
{
    std::vector<place> taken;
    while (!m_order.empty() && taken.size() < most)
        taken.push_back(m_order.extract(m_order.begin()).value());
    std::vector<daemon_id> members;
    for (auto &[sent, added, member] : taken) {
        members.push_back(member);
        if (sent + 1 >= maxTransmissions) {
            m_places.erase(member);
            continue;
        }
        const place again{sent + 1, added, member};
        m_order.insert(again);
        m_places[member] = again;
    }
    return members;
}

} // namespace azurehill
