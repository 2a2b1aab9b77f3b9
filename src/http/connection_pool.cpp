#include "http/connection_pool.h"

#include <algorithm>

namespace azurehill {

namespace {

/// The peer's idle timeout starts earlier than ours. The margin keeps a request from crossing the
/// peer's close of the connection.
constexpr duration keepAliveMargin = milliseconds(500);

} // namespace

connection_pool::connection_pool(asio::any_io_executor executor, duration maxIdle,
                                 std::size_t maxPerPeer)
    : m_executor(std::move(executor)), m_maxIdle(maxIdle), m_maxPerPeer(maxPerPeer)
{ }

http_connection connection_pool::take(const endpoint &peer, time_point now)
{
    return take(peer, now, m_maxIdle);
}

http_connection connection_pool::take(const endpoint &peer, time_point now, duration maxIdleTime)
{
    const auto found = m_idle.find(peer);
    while (found != m_idle.end() && !found->second.empty()) {
        if (now - found->second.back().since > maxIdleTime)
            break;
        // Most recently used first, so that surplus connections reach their idle timeout.
        idle_connection last = std::move(found->second.back());
        found->second.pop_back();
        if (now < last.until && last.connection.isReusable())
            return std::move(last.connection);
    }
    return http_connection(m_executor);
}

bool connection_pool::hasIdle(const endpoint &peer, time_point now, duration maxIdleTime) const
{
    const auto found = m_idle.find(peer);
    if (found == m_idle.end() || found->second.empty())
        return false;
    const idle_connection &last = found->second.back();
    return now - last.since <= maxIdleTime && now < last.until;
}

void connection_pool::give(const endpoint &peer, http_connection connection, time_point now)
{
    if (!connection.isReusable())
        return;
    duration keep = m_maxIdle;
    if (const auto peerTimeout = connection.keepAliveTimeout())
        keep = std::min(keep, *peerTimeout - keepAliveMargin);
    auto &list = m_idle[peer];
    if (keep <= duration::zero() || list.size() >= m_maxPerPeer)
        return;
    connection.releaseMemory();
    list.push_back({std::move(connection), now, now + keep});
    if (idle() > m_maxTotal)
        closeLongestIdle();
}

void connection_pool::closeLongestIdle()
{
    // Each list is in the order of its connections' return.
    const auto longest
        = std::min_element(m_idle.begin(), m_idle.end(), [](const auto &a, const auto &b) {
              if (a.second.empty() || b.second.empty())
                  return !a.second.empty();
              return a.second.front().since < b.second.front().since;
          });
    if (longest != m_idle.end() && !longest->second.empty())
        longest->second.erase(longest->second.begin());
}

void connection_pool::expire(time_point now)
{
    for (auto it = m_idle.begin(); it != m_idle.end();) {
        std::erase_if(it->second, [now](const idle_connection &c) { return c.until <= now; });
        it = it->second.empty() ? m_idle.erase(it) : std::next(it);
    }
}

void connection_pool::drop(const endpoint &peer)
{
    m_idle.erase(peer);
}

std::size_t connection_pool::idle() const
{
    std::size_t count = 0;
    for (const auto &[peer, list] : m_idle)
        count += list.size();
    return count;
}

} // namespace azurehill
