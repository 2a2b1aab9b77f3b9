#pragma once

#include "runtime/runtime.h"
#include "standin/row_store.h"

#include <functional>
#include <utility>
#include <vector>

namespace azurehill::test {

/// \brief Fault to inject into one call of the store.
enum class store_fault {
    None,
    Refused,
    Limited,
    RequestDropped,
    ResponseDropped,
    DelayedWrite,
    Slow
};

/// \brief In-memory store with fault injection.
class fake_store : public store
{
public:
    explicit fake_store(row_store &rows) : m_rows(rows) { }

    /// Returns the fault of the next call.
    std::function<store_fault()> nextFault = [] { return store_fault::None; };
    bool reachable = true;
    int calls = 0;
    /// Number of rows returned by reads and changes.
    std::size_t rowsRead = 0;
    /// Number of partitions in one response.
    std::size_t partitionsPerPage = 1000;
    /// Whether changes() fails because the history of changes has been dropped.
    bool isHistoryGone = false;
    /// If set, reads return these rows instead of the newest ones. Conditions always use the
    /// newest.
    const row_store *staleRows = nullptr;

    awaitable<store_result<store_version>> transact(store_transaction t,
                                                    time_point deadline) override
    {
        ++calls;
        const store_fault fault = nextFault();
        const bool isTooSlow
            = fault == store_fault::Slow && deadline - runtime_clock::now() < slowAnswer;
        co_await pass(fault, deadline);
        if (fault == store_fault::Refused)
            co_return tl::unexpected(store_error{store_error_kind::Refused, "refused", {}});
        if (fault == store_fault::Limited)
            co_return tl::unexpected(store_error{store_error_kind::Limited, "limited", {}});
        if (fault == store_fault::RequestDropped)
            co_return tl::unexpected(lost());
        if (fault == store_fault::DelayedWrite) {
            m_delayedWrites.push_back(std::move(t));
            co_return tl::unexpected(lost());
        }
        auto done = m_rows.apply(t);
        if (fault == store_fault::ResponseDropped || isTooSlow)
            co_return tl::unexpected(lost());
        if (!done) {
            co_return tl::unexpected(
                store_error{store_error_kind::Conflict, "conflict", std::move(done.error())});
        }
        co_return *done;
    }

    awaitable<store_result<row_page>> read(row_range range, time_point deadline) override
    {
        ++calls;
        const store_fault fault = nextFault();
        co_await pass(fault, deadline);
        if (fault == store_fault::Refused)
            co_return tl::unexpected(store_error{store_error_kind::Refused, "refused", {}});
        if (fault != store_fault::None && fault != store_fault::Slow)
            co_return tl::unexpected(lost());
        row_page page = (staleRows ? *staleRows : m_rows).read(range);
        rowsRead += page.rows.size();
        co_return page;
    }

    awaitable<store_result<row_page>> changes(std::string table, store_version after,
                                              duration /*wait*/, time_point deadline) override
    {
        ++calls;
        co_await pass(store_fault::None, deadline);
        auto page = m_rows.changes(table, after);
        if (page)
            rowsRead += page->rows.size();
        if (!page || isHistoryGone)
            co_return tl::unexpected(store_error{store_error_kind::HistoryGone, "gone", {}});
        co_return *page;
    }

    awaitable<store_result<partition_page>> partitions(std::string table, std::string after,
                                                       time_point deadline) override
    {
        ++calls;
        co_await pass(store_fault::None, deadline);
        partition_page page{m_rows.partitions(table, after), false};
        page.hasMore = page.names.size() > partitionsPerPage;
        if (page.hasMore)
            page.names.resize(partitionsPerPage);
        co_return page;
    }

    bool isReachable() const override { return reachable; }

    /// \brief Applies the delayed writes whose conditions still hold.
    void applyDelayedWrites()
    {
        for (const store_transaction &t : std::exchange(m_delayedWrites, {}))
            static_cast<void>(m_rows.apply(t));
    }

private:
    static constexpr duration slowAnswer = milliseconds(300);

    static store_error lost() { return {store_error_kind::Unknown, "no answer", {}}; }

    static awaitable<void> pass(store_fault fault, time_point deadline)
    {
        constexpr duration usual = milliseconds(4);
        const duration untilDeadline = deadline - runtime_clock::now();
        const bool answered = fault == store_fault::None || fault == store_fault::Refused
            || fault == store_fault::Limited;
        co_await sleepFor(answered ? usual : std::min<duration>(untilDeadline, slowAnswer));
    }

    row_store &m_rows;
    std::vector<store_transaction> m_delayedWrites;
};

} // namespace azurehill::test
