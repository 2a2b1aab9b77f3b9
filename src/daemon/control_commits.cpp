#include "core/log.h"
#include "daemon/control.h"

#include <boost/asio/redirect_error.hpp>

#include <algorithm>
#include <utility>

namespace azurehill {

awaitable<commit_result> control::commit(std::vector<journal_record> records)
{
    const auto wait = std::make_shared<commit_wait>();
    wait->since = m_membership.view().number;
    for (const journal_record &record : records)
        wait->programs.insert(programOf(record));
    m_commitWaits.emplace(m_batcher.append(std::move(records)), wait);
    m_commitTimer.cancel();
    while (!wait->result)
        co_await wait->changed.waitPast(wait->changed.version());
    co_return *wait->result;
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
        answerBatch(co_await writeBatch(std::move(write->batch)));
    else if (auto *back = std::get_if<read_back>(&action))
        answerBatch(co_await readBack(std::move(back->batch)));
    else
        settleTickets(std::get<commit_done>(action));
}

void control::answerBatch(batch_answer answer)
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

bool control::heldSinceMade(const program_id &id) const
{
    return std::all_of(m_commitWaits.begin(), m_commitWaits.end(), [&](const auto &entry) {
        const commit_wait &wait = *entry.second;
        return !wait.programs.count(id) || m_history.heldSince(id, wait.since);
    });
}

bool control::heldAll(const journal_batch &batch) const
{
    return std::all_of(batch.records.begin(), batch.records.end(),
                       [&](const journal_record &r) { return heldSinceMade(programOf(r)); });
}

awaitable<batch_answer> control::writeBatch(journal_batch batch)
{
    // Records can be made under one view and written under a later one. If the program was another
    // daemon's in between, that daemon's records come first and these contradict them.
    if (!heldAll(batch))
        co_return batch_answer::Fenced;
    const std::string key = rowKey(m_settings.cell, batch);
    transaction t;
    t.checks.push_back({viewKey(), m_membership.view().version});
    t.checks.push_back({key, 0});
    t.puts.push_back({key, encode(batch)});
    auto written = co_await m_platform.transact(std::move(t));
    if (written)
        co_return batch_answer::Written;
    if (written.error().kind == platform_error_kind::Unavailable)
        co_return batch_answer::Unavailable;
    if (written.error().kind != platform_error_kind::Conflict)
        co_return batch_answer::Unknown;
    // Either the row is there from an earlier try, or the view has changed.
    const batch_answer there = co_await readBack(batch);
    if (there != batch_answer::Absent)
        co_return there;
    co_await refreshView();
    co_return heldAll(batch) ? batch_answer::Absent : batch_answer::Fenced;
}

awaitable<batch_answer> control::readBack(journal_batch batch)
{
    auto rows
        = co_await m_platform.read(std::vector<std::string>(1, rowKey(m_settings.cell, batch)));
    if (!rows)
        co_return batch_answer::Unavailable;
    co_return rows->empty() ? batch_answer::Absent : batch_answer::Written;
}

} // namespace azurehill
