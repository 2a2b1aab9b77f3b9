#include "core/log.h"
#include "daemon/control.h"

#include <boost/asio/redirect_error.hpp>

#include <utility>

namespace azurehill {

awaitable<commit_result> control::commit(journal_record record, commit_policy need)
{
    const auto wait = std::make_shared<commit_wait>();
    std::vector<journal_record> records;
    records.push_back(std::move(record));
    const auto ticket = m_batcher.append(std::move(records), need, runtime_clock::now());
    if (!ticket) {
        co_return ticket.error() == append_error::NotOwner ? commit_result::Lost
                                                           : commit_result::Refused;
    }
    m_commitWaits.emplace(*ticket, wait);
    m_commitTimer.cancel();
    while (!wait->result)
        co_await wait->changed.waitForChangeSince(wait->changed.version());
    co_return *wait->result;
}

void control::adoptView()
{
    const cell_view &view = m_membership.view();
    if (view.number == m_adoptedView)
        return;
    const bool skipped = m_adoptedView != 0 && view.number != m_adoptedView + 1;
    m_adoptedView = view.number;
    commit_view forCommits;
    forCommits.number = view.number;
    forCommits.version = view.version;
    forCommits.owns = [this](const program_id &id) { return owns(id); };
    for (const commit_action &action : m_batcher.onView(std::move(forCommits)))
        settleTickets(std::get<commit_done>(action));
    m_commitTimer.cancel();
    // After a view that was not seen, what is in memory may lack what another owner wrote in it.
    for (const program_id &id : programIds()) {
        if (skipped || !owns(id))
            dropFamily(id);
    }
}

void control::dropFamily(const program_id &id)
{
    ++m_drops;
    m_book.eraseFamily(id);
    const program_id root = rootOf(id);
    std::erase_if(m_streams, [&](const auto &entry) { return rootOf(entry.first) == root; });
    if (owns(id))
        m_dropped.insert(root);
}

awaitable<void> control::commitLoop()
{
    while (true) {
        auto actions = std::exchange(m_commitActions, {});
        for (commit_action &a : m_batcher.poll(runtime_clock::now()))
            actions.push_back(std::move(a));
        for (commit_action &action : actions)
            co_await perform(std::move(action));
        if (!actions.empty())
            continue;
        m_commitTimer.expires_at(m_batcher.wakeAt().value_or(time_point::max()));
        boost::system::error_code ignored;
        co_await m_commitTimer.async_wait(asio::redirect_error(use_awaitable, ignored));
    }
}

awaitable<void> control::perform(commit_action action)
{
    if (auto *write = std::get_if<write_batch>(&action))
        answerBatch(co_await writeBatch(std::move(*write)));
    else if (auto *back = std::get_if<read_back>(&action))
        answerBatch(co_await readBack(std::move(back->batch)));
    else
        settleTickets(std::get<commit_done>(action));
}

void control::answerBatch(batch_outcome answer)
{
    for (commit_action &a : m_batcher.onAnswer(answer, runtime_clock::now()))
        m_commitActions.push_back(std::move(a));
}

void control::settleTickets(const commit_done &done)
{
    for (const commit_ticket ticket : done.tickets) {
        const auto it = m_commitWaits.find(ticket);
        if (it == m_commitWaits.end())
            continue;
        it->second->result = done.result;
        it->second->changed.notifyAll();
        m_commitWaits.erase(it);
    }
}

awaitable<batch_outcome> control::writeBatch(write_batch write)
{
    transaction t;
    t.checks.push_back({viewKey(), write.viewVersion});
    t.puts = encodeRows(m_settings.cell, write.batch);
    t.checks.push_back({t.puts.front().key, 0});
    auto written = co_await m_platform.transact(std::move(t));
    if (written)
        co_return batch_outcome::Written;
    if (written.error().kind == platform_error_kind::Unavailable)
        co_return batch_outcome::Unavailable;
    if (written.error().kind != platform_error_kind::Conflict)
        co_return batch_outcome::Unknown;
    // Either the row is there from an earlier try, or the view has changed.
    const batch_outcome there = co_await readBack(std::move(write.batch));
    if (there == batch_outcome::Unavailable)
        co_return batch_outcome::Unknown;
    if (there == batch_outcome::Written)
        co_return there;
    co_await refreshView();
    co_return batch_outcome::Fenced;
}

awaitable<batch_outcome> control::readBack(journal_batch batch)
{
    auto rows
        = co_await m_platform.read(std::vector<std::string>(1, rowKey(m_settings.cell, batch)));
    if (!rows)
        co_return batch_outcome::Unavailable;
    co_return rows->empty() ? batch_outcome::Absent : batch_outcome::Written;
}

} // namespace azurehill
