#pragma once

#include "core/mechanism.h"
#include "rows/write_queue.h"
#include "runtime/timer.h"
#include "store/store.h"

#include <memory>

namespace azurehill {

/// \brief A store whose writes go in the order and at the pace of a write_queue.
///
/// A write that the store refuses as beyond its rate was certainly not done: it waits here and goes
/// again, up to its deadline. A write that is given up before it went is Refused.
class paced_store : public store
{
public:
    /// \param inner makes the calls; it outlives this object.
    paced_store(asio::any_io_executor executor, store &inner, const mechanism_set &mechanisms = {});

    /// \brief Takes in the store's rate of writes for all daemons, and how many daemons live.
    void setRates(double writesPerSecond, int daemons);
    /// \brief Takes in whether a transaction may span parts.
    void setMerging(bool mayMerge) { m_queue.setMerging(mayMerge); }

    awaitable<store_result<store_version>> transact(store_transaction t,
                                                    time_point deadline) override;
    awaitable<store_result<row_page>> read(row_range range, time_point deadline) override;
    awaitable<store_result<row_page>> changes(std::string table, store_version after, duration wait,
                                              time_point deadline) override;
    bool isReachable() const override { return m_inner.isReachable(); }

    const write_queue &queue() const { return m_queue; }

private:
    /// \brief A write whose caller waits.
    struct pending_write
    {
        pending_write(const asio::any_io_executor &executor, store_transaction t, time_point until)
            : transaction(std::move(t)), deadline(until), alarm(executor)
        { }
        store_transaction transaction;
        time_point deadline;
        timer alarm;
        std::optional<store_result<store_version>> result;
    };
    using pending_ptr = std::shared_ptr<pending_write>;

    /// \brief Sends what may go, and sees to it that the rest goes when it may.
    void pump();
    awaitable<void> dispatchWaitingLater();
    awaitable<void> send(write_batch batch);
    void settle(const write_batch &batch, const store_result<store_version> &result);
    void requeue(std::uint64_t number);
    void finish(std::uint64_t number, store_result<store_version> result);

    asio::any_io_executor m_executor;
    store &m_inner;
    mechanism_set m_mechanisms;
    write_queue m_queue;
    std::map<std::uint64_t, pending_ptr> m_pending;
    std::uint64_t m_lastNumber = 0;
    bool m_isDispatchScheduled = false;
};

} // namespace azurehill
