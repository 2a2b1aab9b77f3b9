#pragma once

#include "core/mechanism.h"
#include "rows/write_queue.h"
#include "runtime/timer.h"
#include "store/store.h"

#include <memory>

namespace azurehill {

/// \brief Rate-limiting decorator of a store: writes are ordered, merged and paced by a
/// write_queue.
///
/// A write that the store refuses with Limited had no effect, so it is queued again and retried
/// until its deadline. A write whose deadline passes while it is queued fails with Refused.
class paced_store : public store
{
public:
    /// \param inner store that executes the calls; it must outlive this object.
    paced_store(asio::any_io_executor executor, store &inner, const mechanism_set &mechanisms = {});

    /// \brief Sets the store's write rate limit for all daemons together and the number of live
    /// daemons.
    void setRates(double writesPerSecond, int daemons);
    /// \brief Sets whether a transaction may span partitions.
    void setMerging(bool mayMerge) { m_queue.setMerging(mayMerge); }

    awaitable<store_result<store_version>> transact(store_transaction t,
                                                    time_point deadline) override;
    awaitable<store_result<row_page>> read(row_range range, time_point deadline) override;
    awaitable<store_result<row_page>> changes(std::string table, store_version after, duration wait,
                                              time_point deadline) override;
    awaitable<store_result<partition_page>> partitions(std::string table, std::string after,
                                                       time_point deadline) override;
    bool isReachable() const override { return m_inner.isReachable(); }

    const write_queue &queue() const { return m_queue; }

private:
    /// \brief A write whose caller is waiting for the result.
    struct pending_write
    {
        pending_write(const asio::any_io_executor &executor, store_transaction t, time_point until)
            : transaction(std::move(t)), deadline(until), deadlineTimer(executor)
        { }
        store_transaction transaction;
        time_point deadline;
        timer deadlineTimer;
        std::optional<store_result<store_version>> result;
    };
    using pending_ptr = std::shared_ptr<pending_write>;

    /// \brief Sends the writes that the rate permits now and schedules a later call for the rest.
    void dispatchWaiting();
    awaitable<void> dispatchWaitingLater();
    awaitable<void> send(write_batch batch);
    void completeBatch(const write_batch &batch, const store_result<store_version> &result);
    void requeue(std::uint64_t number);
    void complete(std::uint64_t number, store_result<store_version> result);

    asio::any_io_executor m_executor;
    store &m_inner;
    mechanism_set m_mechanisms;
    write_queue m_queue;
    std::map<std::uint64_t, pending_ptr> m_pending;
    std::uint64_t m_lastNumber = 0;
    bool m_isDispatchScheduled = false;
};

} // namespace azurehill
