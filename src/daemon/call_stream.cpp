#include "daemon/call_stream.h"

namespace azurehill {

void call_stream::append(std::string event)
{
    {
        const std::lock_guard lock(m_mutex);
        m_events.push_back(std::move(event));
    }
    m_changed.notifyAll();
}

void call_stream::finish(call_end end)
{
    {
        const std::lock_guard lock(m_mutex);
        if (!m_end)
            m_end = std::move(end);
    }
    m_changed.notifyAll();
}

std::optional<call_stream::piece> call_stream::tryRead(std::size_t from) const
{
    const std::lock_guard lock(m_mutex);
    if (from >= m_events.size() && !m_end)
        return std::nullopt;
    piece p;
    if (from < m_events.size())
        p.events.assign(m_events.begin() + static_cast<std::ptrdiff_t>(from), m_events.end());
    p.end = m_end;
    return p;
}

awaitable<call_stream::piece> call_stream::readFrom(std::size_t from)
{
    while (true) {
        const std::uint64_t seen = m_changed.version();
        if (auto p = tryRead(from))
            co_return std::move(*p);
        co_await m_changed.waitPast(seen);
    }
}

} // namespace azurehill
