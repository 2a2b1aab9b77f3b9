#include "journal/commit_batcher.h"

#include <boost/json.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace azurehill {

namespace {

/// \brief Takes the entries that \p gone holds for out of \p entries and tells their fate.
template <class Entries, class Predicate>
void completeMatching(Entries &entries, Predicate gone, commit_result result,
                      std::vector<commit_action> &actions)
{
    commit_done done{{}, result};
    const auto keep = [&](const auto &e) { return !gone(e); };
    const auto first = std::stable_partition(entries.begin(), entries.end(), keep);
    for (auto it = first; it != entries.end(); ++it)
        done.tickets.push_back(it->ticket);
    entries.erase(first, entries.end());
    if (!done.tickets.empty())
        actions.emplace_back(std::move(done));
}

template <class Entries>
std::size_t bytesOf(const Entries &entries)
{
    std::size_t bytes = 0;
    for (const auto &e : entries)
        bytes += e.bytes;
    return bytes;
}

} // namespace

commit_batcher::commit_batcher(daemon_id daemon, std::string incarnation, commit_settings settings)
    : m_settings(settings), m_retryDelay(settings.initialRetryDelay)
{
    m_batch.daemon = std::move(daemon);
    m_batch.incarnation = std::move(incarnation);
}

tl::expected<commit_ticket, append_error>
commit_batcher::append(std::vector<journal_record> records, commit_policy need, time_point now)
{
    entry e{0, std::move(records), 0, need, now, false};
    for (const journal_record &r : e.records) {
        if (!m_view.owns || !m_view.owns(programOf(r)))
            return tl::unexpected(append_error::NotOwner);
        e.bytes += boost::json::serialize(toJson(r)).size();
    }
    // A record that no write can hold would be tried for ever and block all that come after it.
    if (e.bytes > m_settings.maxEntryBytes)
        return tl::unexpected(append_error::TooLarge);
    if (need == commit_policy::Refusable && isBusy(now))
        return tl::unexpected(append_error::Busy);
    e.ticket = ++m_lastTicket;
    m_waitingBytes += e.bytes;
    m_waiting.push_back(std::move(e));
    return m_lastTicket;
}

bool commit_batcher::isBusy(time_point now) const
{
    const auto late = [&](const std::vector<entry> &entries) {
        return !entries.empty() && now - entries.front().since > m_settings.maxWaitTime;
    };
    return m_waitingBytes > m_settings.maxWaitingBytes || late(m_inFlight) || late(m_waiting);
}

bool commit_batcher::isRefusable(const entry &e, time_point now) const
{
    return e.need == commit_policy::Refusable && now - e.since > m_settings.maxWaitTime;
}

std::vector<commit_action> commit_batcher::onView(commit_view view)
{
    std::vector<commit_action> actions;
    if (view.number <= m_view.number)
        return actions;
    // Failure: two views follow each other between two looks of this daemon, and in the first of
    // them another daemon owned the program and wrote to its history. Written now, our record would
    // come after that. A view that was not seen therefore counts as one that took everything.
    const bool skipped = m_view.number != 0 && view.number != m_view.number + 1;
    m_view = std::move(view);
    for (std::vector<entry> *entries : {&m_inFlight, &m_waiting}) {
        for (entry &e : *entries) {
            for (const journal_record &r : e.records)
                e.lost = e.lost || skipped || !m_view.owns(programOf(r));
        }
    }
    completeMatching(
        m_waiting, [](const entry &e) { return e.lost; }, commit_result::Lost, actions);
    m_waitingBytes = bytesOf(m_waiting);
    return actions;
}

void commit_batcher::startBatch()
{
    ++m_batch.sequence;
    m_earlierWriteMayApply = false;
    std::size_t taken = 0;
    std::size_t records = 0;
    std::size_t bytes = 0;
    while (taken < m_waiting.size()) {
        const entry &e = m_waiting[taken];
        const bool fits = records + e.records.size() <= m_settings.maxRecords
            && bytes + e.bytes <= m_settings.maxBatchBytes;
        if (taken > 0 && !fits)
            break;
        records += e.records.size();
        bytes += e.bytes;
        ++taken;
    }
    const auto end = m_waiting.begin() + static_cast<std::ptrdiff_t>(taken);
    std::move(m_waiting.begin(), end, std::back_inserter(m_inFlight));
    m_waiting.erase(m_waiting.begin(), end);
    m_waitingBytes -= bytes;
}

void commit_batcher::write(std::vector<commit_action> &actions)
{
    m_batch.fence = m_view.number;
    m_batch.records.clear();
    for (const entry &e : m_inFlight)
        m_batch.records.insert(m_batch.records.end(), e.records.begin(), e.records.end());
    m_lastWriteFence = m_view.number;
    m_phase = phase::Writing;
    actions.emplace_back(write_batch{m_batch, m_view.version});
}

void commit_batcher::readBack(std::vector<commit_action> &actions)
{
    m_readBackFence = m_view.number;
    m_phase = phase::ReadingBack;
    actions.emplace_back(read_back{m_batch});
}

void commit_batcher::retryBatch(time_point now, std::vector<commit_action> &actions)
{
    const auto gone = [&](const entry &e) { return e.lost || isRefusable(e, now); };
    const bool anyLost
        = std::any_of(m_inFlight.begin(), m_inFlight.end(), [](const entry &e) { return e.lost; });
    // Failure: a try whose answer was lost lands after the read that did not find it. A record
    // taken out of the batch would then be durable although its ticket was told Lost. So nothing is
    // taken out before a read that follows a newer view: no earlier try can pass that view's check.
    if (m_earlierWriteMayApply && anyLost)
        return readBack(actions);
    if (!m_earlierWriteMayApply) {
        completeMatching(
            m_inFlight, [](const entry &e) { return e.lost; }, commit_result::Lost, actions);
        completeMatching(m_inFlight, gone, commit_result::Refused, actions);
    }
    if (m_inFlight.empty())
        return finishBatch();
    write(actions);
}

std::vector<commit_action> commit_batcher::poll(time_point now)
{
    std::vector<commit_action> actions;
    completeMatching(
        m_waiting, [&](const entry &e) { return isRefusable(e, now); }, commit_result::Refused,
        actions);
    m_waitingBytes = bytesOf(m_waiting);
    if (now < m_nextAttemptAt)
        return actions;
    switch (m_phase) {
    case phase::Idle:
        if (m_waiting.empty())
            break;
        startBatch();
        m_nextAttemptAt = now + m_settings.interval;
        write(actions);
        break;
    case phase::WaitingToWrite:
        retryBatch(now, actions);
        break;
    case phase::WaitingToReadBack:
        readBack(actions);
        break;
    case phase::Writing:
    case phase::ReadingBack:
        break;
    }
    return actions;
}

std::vector<commit_action> commit_batcher::onAnswer(batch_outcome answer, time_point now)
{
    std::vector<commit_action> actions;
    if (m_phase != phase::Writing && m_phase != phase::ReadingBack)
        return actions;
    switch (answer) {
    case batch_outcome::Written:
        actions.emplace_back(commit_done{{}, commit_result::Durable});
        for (const entry &e : m_inFlight)
            std::get<commit_done>(actions.back()).tickets.push_back(e.ticket);
        m_inFlight.clear();
        finishBatch();
        break;
    case batch_outcome::Unknown:
        // Guessing either way breaks a promise: "written" may lose a turn, "not written" may run a
        // request twice. The row's own key is read back until an answer comes.
        m_earlierWriteMayApply = true;
        waitToRetry(phase::WaitingToReadBack, now);
        break;
    case batch_outcome::Unavailable:
        waitToRetry(m_phase == phase::Writing ? phase::WaitingToWrite : phase::WaitingToReadBack,
                    now);
        break;
    case batch_outcome::Fenced:
        // No try under this view or an older one can land any more.
        m_earlierWriteMayApply = false;
        waitToRetry(phase::WaitingToWrite, now);
        break;
    case batch_outcome::Absent:
        if (m_readBackFence > m_lastWriteFence)
            m_earlierWriteMayApply = false;
        waitToRetry(phase::WaitingToWrite, now);
        break;
    }
    return actions;
}

void commit_batcher::finishBatch()
{
    m_phase = phase::Idle;
    m_retryDelay = m_settings.initialRetryDelay;
    m_batch.records.clear();
}

void commit_batcher::waitToRetry(phase next, time_point now)
{
    m_phase = next;
    m_nextAttemptAt = now + m_retryDelay;
    m_retryDelay = std::min(m_retryDelay * 2, m_settings.maxRetryDelay);
}

std::optional<time_point> commit_batcher::wakeAt() const
{
    std::optional<time_point> at;
    const bool waits = m_phase == phase::WaitingToWrite || m_phase == phase::WaitingToReadBack
        || (m_phase == phase::Idle && !m_waiting.empty());
    if (waits)
        at = m_nextAttemptAt;
    for (const entry &e : m_waiting) {
        if (e.need != commit_policy::Refusable)
            continue;
        const time_point refuseAt = e.since + m_settings.maxWaitTime + duration(1);
        at = at ? std::min(*at, refuseAt) : refuseAt;
        break;
    }
    return at;
}

} // namespace azurehill
