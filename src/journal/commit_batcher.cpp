#include "journal/commit_batcher.h"

#include <boost/json.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace azurehill {

namespace {

/// \brief Removes the entries that satisfy \p gone from \p entries and reports \p result for them.
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
commit_batcher::append(std::vector<journal_record> records, commit_policy policy, time_point now)
{
    pending_append e{0, std::move(records), 0, policy, now, false};
    for (const journal_record &r : e.records) {
        if (!m_view.owns || !m_view.owns(programOf(r)))
            return tl::unexpected(append_error::NotOwner);
        e.bytes += boost::json::serialize(toJson(r)).size();
    }
    // A record that is too large for any write would be retried forever and block all records
    // queued after it.
    if (e.bytes > m_settings.maxEntryBytes)
        return tl::unexpected(append_error::TooLarge);
    if (policy == commit_policy::Refusable && isBusy(now))
        return tl::unexpected(append_error::Busy);
    e.ticket = ++m_lastTicket;
    m_waitingBytes += e.bytes;
    m_waiting.push_back(std::move(e));
    return m_lastTicket;
}

bool commit_batcher::isBusy(time_point now) const
{
    const auto late = [&](const std::vector<pending_append> &entries) {
        return !entries.empty() && now - entries.front().appendedAt > m_settings.maxWaitTime;
    };
    return m_waitingBytes > m_settings.maxWaitingBytes || late(m_inFlight) || late(m_waiting);
}

bool commit_batcher::isRefusable(const pending_append &e, time_point now) const
{
    return e.policy == commit_policy::Refusable && now - e.appendedAt > m_settings.maxWaitTime;
}

std::vector<commit_action> commit_batcher::onView(commit_view view)
{
    std::vector<commit_action> actions;
    if (view.number <= m_view.number)
        return actions;
    // Two views may follow each other between two reads by this daemon, and under the first of them
    // another daemon may have owned the program and written to its history. This daemon's queued
    // record would then be appended after those records. A skipped view is therefore treated as one
    // that took away all programs.
    const bool skipped = m_view.number != 0 && view.number != m_view.number + 1;
    m_view = std::move(view);
    for (std::vector<pending_append> *entries : {&m_inFlight, &m_waiting}) {
        for (pending_append &e : *entries) {
            for (const journal_record &r : e.records)
                e.ownershipLost = e.ownershipLost || skipped || !m_view.owns(programOf(r));
        }
    }
    completeMatching(
        m_waiting, [](const pending_append &e) { return e.ownershipLost; }, commit_result::Lost,
        actions);
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
        const pending_append &e = m_waiting[taken];
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

void commit_batcher::writeBatch(std::vector<commit_action> &actions)
{
    m_batch.fence = m_view.number;
    m_batch.records.clear();
    for (const pending_append &e : m_inFlight)
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
    const auto gone
        = [&](const pending_append &e) { return e.ownershipLost || isRefusable(e, now); };
    const bool anyLost = std::any_of(m_inFlight.begin(), m_inFlight.end(),
                                     [](const pending_append &e) { return e.ownershipLost; });
    // A write whose response was lost may take effect after the read-back that did not find it. A
    // record removed from the batch would then be durable although its ticket was reported as Lost.
    // Nothing is therefore removed before a read-back under a newer view, because no earlier write
    // can satisfy that view's condition.
    if (m_earlierWriteMayApply && anyLost)
        return readBack(actions);
    if (!m_earlierWriteMayApply) {
        completeMatching(
            m_inFlight, [](const pending_append &e) { return e.ownershipLost; },
            commit_result::Lost, actions);
        completeMatching(m_inFlight, gone, commit_result::Refused, actions);
    }
    if (m_inFlight.empty())
        return finishBatch();
    writeBatch(actions);
}

std::vector<commit_action> commit_batcher::poll(time_point now)
{
    std::vector<commit_action> actions;
    completeMatching(
        m_waiting, [&](const pending_append &e) { return isRefusable(e, now); },
        commit_result::Refused, actions);
    m_waitingBytes = bytesOf(m_waiting);
    if (now < m_nextAttemptAt)
        return actions;
    switch (m_phase) {
    case phase::Idle:
        if (m_waiting.empty())
            break;
        startBatch();
        m_nextAttemptAt = now + m_settings.interval;
        writeBatch(actions);
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
        for (const pending_append &e : m_inFlight)
            std::get<commit_done>(actions.back()).tickets.push_back(e.ticket);
        m_inFlight.clear();
        finishBatch();
        break;
    case batch_outcome::Unknown:
        // Neither outcome may be assumed: "written" could lose a turn, "not written" could run a
        // request twice. The batch's row is read back until the read succeeds.
        m_earlierWriteMayApply = true;
        scheduleRetry(phase::WaitingToReadBack, now);
        break;
    case batch_outcome::Unavailable:
        scheduleRetry(m_phase == phase::Writing ? phase::WaitingToWrite : phase::WaitingToReadBack,
                      now);
        break;
    case batch_outcome::Fenced:
        // No write under this view or an older one can take effect any more.
        m_earlierWriteMayApply = false;
        scheduleRetry(phase::WaitingToWrite, now);
        break;
    case batch_outcome::Absent:
        if (m_readBackFence > m_lastWriteFence)
            m_earlierWriteMayApply = false;
        scheduleRetry(phase::WaitingToWrite, now);
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

void commit_batcher::scheduleRetry(phase next, time_point now)
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
    for (const pending_append &e : m_waiting) {
        if (e.policy != commit_policy::Refusable)
            continue;
        const time_point refuseAt = e.appendedAt + m_settings.maxWaitTime + duration(1);
        at = at ? std::min(*at, refuseAt) : refuseAt;
        break;
    }
    return at;
}

} // namespace azurehill
