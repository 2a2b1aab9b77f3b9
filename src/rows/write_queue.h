#pragma once

#include "rows/row.h"

#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <vector>

namespace azurehill {

/// \brief Writes that go to the store in one transaction.
struct write_batch
{
    /// As urgent as the most urgent of them.
    store_transaction transaction;
    /// The writes in it, by their numbers.
    std::vector<std::uint64_t> members;
    /// When the last of them is given up. A write whose time is nearly over must not cut short the
    /// call that it shares with others.
    time_point deadline;
};

/// \brief Orders a daemon's writes and paces them to what the store takes.
///
/// All daemons share the store's rate of writes; beyond it calls are refused, and refused calls
/// count as well. Offering all that comes keeps the store at its limit long after a burst, while
/// clients leave and ask again. So a daemon sends no faster than its rate, which falls to its share
/// while the store refuses and grows while it does not; what waits then goes together, most urgent
/// first. While nothing waits, each write goes alone and at once.
class write_queue
{
public:
    write_queue();

    /// \brief Takes in the store's rate for all daemons, and how many daemons live.
    void setRates(double writesPerSecond, int daemons);
    /// \brief Takes in whether writes to several parts may go together.
    void setMerging(bool mayMerge) { m_mayMerge = mayMerge; }

    /// \brief A write wants to go.
    void add(std::uint64_t number, store_transaction t, time_point deadline);
    /// \brief The write is given up. \returns whether it had not gone yet.
    bool withdraw(std::uint64_t number);
    /// \returns what may go now, or nothing.
    std::optional<write_batch> take(time_point now);
    /// \returns when take() may have something, if anything waits.
    std::optional<time_point> nextBatchAt() const;

    /// \brief The store refused a write as beyond its rate.
    void onLimited(time_point now);
    /// \brief The store did a write.
    void onDone(time_point now);

    /// \returns whether the write has not gone yet.
    bool isWaiting(std::uint64_t number) const { return m_orders.contains(number); }
    std::size_t waiting() const { return m_waiting.size(); }
    /// \returns the writes a second that go at the most.
    double rate() const { return m_rate; }

private:
    struct waiting_write
    {
        store_transaction transaction;
        time_point deadline;
    };
    /// Most urgent first, then in order of arrival.
    using order = std::tuple<write_urgency, std::uint64_t>;

    double share() const { return m_writesPerSecond / m_daemons; }
    void refill(time_point now);
    bool fits(const store_transaction &batch, const store_transaction &t) const;

    double m_writesPerSecond;
    int m_daemons = 1;
    bool m_mayMerge = true;
    double m_rate;
    /// Writes that may go at once; below zero after a batch.
    double m_credit = 1;
    time_point m_filledAt;
    time_point m_limitedAt;
    time_point m_decreasedAt;
    std::map<order, waiting_write> m_waiting;
    std::map<std::uint64_t, order> m_orders;
};

} // namespace azurehill
