#include "daemon/call_stream.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>

namespace azurehill {

bool call_stream::append(std::string_view data)
{
    const std::lock_guard lock(m_mutex);
    if (m_bytes.size() + data.size() > maxBytes)
        return false;
    fmt::format_to(std::back_inserter(m_bytes), "id: {}-{}\ndata: {}\n\n", m_attempt, m_ends.size(),
                   data);
    m_ends.push_back(m_bytes.size());
    return true;
}

void call_stream::finish(call_end end)
{
    {
        const std::lock_guard lock(m_mutex);
        if (!m_end)
            m_end = std::make_shared<const call_end>(std::move(end));
    }
    m_changed.notifyAll();
}

std::shared_ptr<const call_end> call_stream::end() const
{
    const std::lock_guard lock(m_mutex);
    return m_end;
}

bool call_stream::tryRead(std::size_t from, piece &p) const
{
    const std::lock_guard lock(m_mutex);
    from = std::min(from, m_ends.size());
    if (from == m_ends.size() && !m_end)
        return false;
    const std::size_t begin = from == 0 ? 0 : m_ends[from - 1];
    p.next = from;
    std::size_t stop = begin;
    while (p.next < m_ends.size() && (p.next == from || m_ends[p.next] - begin <= maxPiece))
        stop = m_ends[p.next++];
    p.bytes.assign(m_bytes, begin, stop - begin);
    if (p.next == m_ends.size())
        p.end = m_end;
    return true;
}

awaitable<call_stream::piece> call_stream::readFrom(std::size_t from, gone_flag gone)
{
    piece p;
    while (true) {
        const std::uint64_t seen = m_changed.version();
        p.abandoned = gone && *gone;
        if (p.abandoned || tryRead(from, p))
            co_return p;
        co_await m_changed.waitForChangeSince(seen);
    }
}

awaitable<std::shared_ptr<const call_end>> call_stream::waitForEnd(gone_flag gone)
{
    while (true) {
        const std::uint64_t seen = m_changed.version();
        const auto ended = end();
        if (ended || (gone && *gone))
            co_return ended;
        co_await m_changed.waitForChangeSince(seen);
    }
}

} // namespace azurehill
