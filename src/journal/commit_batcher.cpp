#include "journal/commit_batcher.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace azurehill {

commit_batcher::commit_batcher(daemon_id daemon, std::string incarnation, commit_settings settings)
    : m_settings(settings), m_retryPause(settings.firstRetry)
{
    m_batch.daemon = std::move(daemon);
    m_batch.incarnation = std::move(incarnation);
}

commit_ticket commit_batcher::append(std::vector<journal_record> records)
{
    m_waiting.push_back({++m_lastTicket, std::move(records)});
    return m_lastTicket;
}

std::vector<commit_action> commit_batcher::startBatch(time_point now)
{
    ++m_batch.sequence;
    m_batch.records.clear();
    std::size_t taken = 0;
    while (taken < m_waiting.size() && m_batch.records.size() < m_settings.maxRecords) {
        entry &e = m_waiting[taken++];
        m_inFlight.push_back(e.ticket);
        std::move(e.records.begin(), e.records.end(), std::back_inserter(m_batch.records));
    }
    m_waiting.erase(m_waiting.begin(), m_waiting.begin() + static_cast<std::ptrdiff_t>(taken));
    m_batch.fence = m_fence;
    m_phase = phase::Writing;
    m_notBefore = now + m_settings.interval;
    return {write_batch{m_batch}};
}

std::vector<commit_action> commit_batcher::poll(time_point now)
{
    if (now < m_notBefore)
        return {};
    switch (m_phase) {
    case phase::Idle:
        return m_waiting.empty() ? std::vector<commit_action>() : startBatch(now);
    case phase::WaitingToWrite:
        m_phase = phase::Writing;
        // The view may have changed in between; the row's key stays, so nothing is written twice.
        m_batch.fence = m_fence;
        return {write_batch{m_batch}};
    case phase::WaitingToReadBack:
        m_phase = phase::ReadingBack;
        return {read_back{m_batch}};
    case phase::Writing:
    case phase::ReadingBack:
        return {};
    }
    return {};
}

std::vector<commit_action> commit_batcher::onAnswer(batch_answer answer, time_point now)
{
    if (m_phase != phase::Writing && m_phase != phase::ReadingBack)
        return {};
    switch (answer) {
    case batch_answer::Written:
        return finishBatch(commit_result::Durable);
    case batch_answer::Fenced:
        return finishBatch(commit_result::Lost);
    case batch_answer::Unknown:
        // Guessing either way breaks a promise: "written" may lose a turn, "not written" may run a
        // request twice. The row's own key is read back until an answer comes.
        waitToRetry(phase::WaitingToReadBack, now);
        return {};
    case batch_answer::Unavailable:
        waitToRetry(m_phase == phase::Writing ? phase::WaitingToWrite : phase::WaitingToReadBack,
                    now);
        return {};
    case batch_answer::Absent:
        waitToRetry(phase::WaitingToWrite, now);
        return {};
    }
    return {};
}

std::vector<commit_action> commit_batcher::finishBatch(commit_result result)
{
    m_phase = phase::Idle;
    m_retryPause = m_settings.firstRetry;
    m_batch.records.clear();
    return {commit_done{std::exchange(m_inFlight, {}), result}};
}

void commit_batcher::waitToRetry(phase next, time_point now)
{
    m_phase = next;
    m_notBefore = now + m_retryPause;
    m_retryPause = std::min(m_retryPause * 2, m_settings.longestRetry);
}

std::optional<time_point> commit_batcher::wakeAt() const
{
    const bool waits = m_phase == phase::WaitingToWrite || m_phase == phase::WaitingToReadBack
        || (m_phase == phase::Idle && !m_waiting.empty());
    return waits ? std::optional(m_notBefore) : std::nullopt;
}

std::vector<commit_ticket> commit_batcher::abandon()
{
    std::vector<commit_ticket> tickets = std::exchange(m_inFlight, {});
    for (const entry &e : m_waiting)
        tickets.push_back(e.ticket);
    m_waiting.clear();
    m_phase = phase::Idle;
    m_batch.records.clear();
    return tickets;
}

} // namespace azurehill
