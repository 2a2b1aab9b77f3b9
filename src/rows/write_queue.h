#pragma once

#include "rows/row.h"

#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <vector>

namespace azurehill {

/// \brief Writes merged into one transaction to the store.
struct write_batch
{
    /// Its urgency is that of the most urgent member.
    store_transaction transaction;
    /// Numbers of the member writes.
    std::vector<std::uint64_t> members;
    /// Latest deadline of the members. A write close to its deadline must not abort the call that
    /// it shares with others.
    time_point deadline;
};

/// \brief Priority queue and rate limiter (token bucket with adaptive rate) for a daemon's
/// writes.
///
/// All daemons share the write rate limit of the store. Calls beyond it are refused, and refused
/// calls count against the limit, too. Sending all writes immediately keeps the store at its
/// limit long after a burst, while clients time out and retry. Therefore a daemon sends no faster
/// than its current rate, which falls towards its fair share while the store refuses calls and
/// grows otherwise. Waiting writes are merged into transactions, most urgent first. While no
/// write waits, each one is sent alone and at once.
class write_queue
{
public:
    write_queue();

    /// \brief Sets the store's rate limit for all daemons together and the number of live
    /// daemons.
    void setRates(double writesPerSecond, int daemons);
    /// \brief Sets whether writes to different partitions may share a transaction.
    void setMerging(bool mayMerge) { m_mayMerge = mayMerge; }

    /// \brief Enqueues a write.
    void add(std::uint64_t number, store_transaction t, time_point deadline);
    /// \brief Removes a write from the queue. \returns whether it was still queued, that is, not
    /// sent yet.
    bool withdraw(std::uint64_t number);
    /// \returns the next batch if the rate permits one at \p now, or nothing.
    std::optional<write_batch> take(time_point now);
    /// \returns the earliest time at which take() returns a batch, or nothing if the queue is
    /// empty.
    std::optional<time_point> nextBatchAt() const;

    /// \brief Handles a call that the store refused with Limited.
    void onLimited(time_point now);
    /// \brief Handles a call that the store executed successfully.
    void onDone(time_point now);

    /// \returns whether the write is queued, that is, not sent yet.
    bool isWaiting(std::uint64_t number) const { return m_positions.contains(number); }
    std::size_t waiting() const { return m_waiting.size(); }
    /// \returns the current limit, in calls per second.
    double rate() const { return m_rate; }

private:
    struct waiting_write
    {
        store_transaction transaction;
        time_point deadline;
    };
    /// Most urgent first, then by number, which is the order of arrival.
    using queue_position = std::tuple<write_urgency, std::uint64_t>;

    double fairShare() const { return m_writesPerSecond / m_daemons; }
    void refill(time_point now);
    bool canMerge(const store_transaction &batch, const store_transaction &t) const;

    double m_writesPerSecond;
    int m_daemons = 1;
    bool m_mayMerge = true;
    double m_rate;
    /// Tokens of the bucket: calls that may be sent at once.
    double m_credit = 1;
    time_point m_filledAt;
    time_point m_limitedAt;
    time_point m_decreasedAt;
    std::map<queue_position, waiting_write> m_waiting;
    std::map<std::uint64_t, queue_position> m_positions;
};

} // namespace azurehill
