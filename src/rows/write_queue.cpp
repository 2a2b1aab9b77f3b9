#include "rows/write_queue.h"

#include <algorithm>
#include <set>

namespace azurehill {

namespace {

/// Writes per second until the configuration gives the rate limit of the store.
constexpr double defaultWriteRate = 800;
/// Burst capacity of the token bucket, in seconds of the current rate.
constexpr double burstSeconds = 0.1;
constexpr double minBurst = 2;
/// Congestion control of the rate: a refused write halves it; after a time without refusals, each
/// write raises it by a fiftieth. As with TCP's congestion window, daemons that see the same
/// refusals converge to equal rates.
constexpr double decreaseFactor = 0.5;
constexpr double increaseFactor = 1.02;
constexpr duration recoveryDelay = milliseconds(200);
/// Maximum number of writes per transaction. If one condition fails, all the others have to be
/// retried, and a transaction over more partitions takes longer: with 1, 2, 4 and 8 writes, 62
/// hosts served 33, 56, 65 and 42 of 100 programs in a burst.
constexpr std::size_t maxBatchWrites = 4;
/// Limits of the store per transaction: conditions plus changes, and bytes before base64
/// encoding.
constexpr std::size_t maxBatchEntries = 100;
constexpr std::size_t maxBatchBytes = 700U << 10U;

std::size_t entriesOf(const store_transaction &t)
{
    return t.conditions.size() + t.writes.size() + t.removals.size();
}

std::size_t bytesOf(const store_transaction &t)
{
    std::size_t sum = 0;
    for (const row_value &row : t.writes)
        sum += row.value.size();
    return sum;
}

std::set<row_name> namesOf(const store_transaction &t)
{
    std::set<row_name> names;
    for (const row_condition &c : t.conditions)
        names.insert(c.name);
    for (const row_value &w : t.writes)
        names.insert(w.name);
    names.insert(t.removals.begin(), t.removals.end());
    return names;
}

void append(store_transaction &batch, const store_transaction &t)
{
    batch.conditions.insert(batch.conditions.end(), t.conditions.begin(), t.conditions.end());
    batch.writes.insert(batch.writes.end(), t.writes.begin(), t.writes.end());
    batch.removals.insert(batch.removals.end(), t.removals.begin(), t.removals.end());
}

} // namespace

write_queue::write_queue() : m_writesPerSecond(defaultWriteRate), m_rate(defaultWriteRate) { }

void write_queue::setRates(double writesPerSecond, int daemons)
{
    const bool isFirst = m_writesPerSecond != writesPerSecond;
    m_writesPerSecond = std::max(1.0, writesPerSecond);
    m_daemons = std::max(1, daemons);
    if (isFirst)
        m_rate = m_writesPerSecond;
    m_rate = std::clamp(m_rate, fairShare(), m_writesPerSecond);
}

void write_queue::add(std::uint64_t number, store_transaction t, time_point deadline)
{
    const queue_position o{t.urgency, number};
    m_waiting.emplace(o, waiting_write{std::move(t), deadline});
    m_positions.emplace(number, o);
}

bool write_queue::withdraw(std::uint64_t number)
{
    const auto found = m_positions.find(number);
    if (found == m_positions.end())
        return false;
    m_waiting.erase(found->second);
    m_positions.erase(found);
    return true;
}

void write_queue::refill(time_point now)
{
    const std::chrono::duration<double> passed = now - m_filledAt;
    const double maxCredit = std::max(minBurst, burstSeconds * m_rate);
    m_credit = std::min(maxCredit, m_credit + m_rate * std::max(0.0, passed.count()));
    m_filledAt = now;
}

bool write_queue::canMerge(const store_transaction &batch, const store_transaction &t) const
{
    if (entriesOf(batch) + entriesOf(t) > maxBatchEntries
        || bytesOf(batch) + bytesOf(t) > maxBatchBytes)
        return false;
    // A row may occur only once in a transaction: with two changes to one row, a failed condition
    // could not be attributed to either.
    const std::set<row_name> taken = namesOf(batch);
    const std::set<row_name> names = namesOf(t);
    return std::none_of(names.begin(), names.end(),
                        [&](const row_name &name) { return taken.contains(name); });
}

std::optional<write_batch> write_queue::take(time_point now)
{
    refill(now);
    if (m_waiting.empty() || m_credit < 1)
        return std::nullopt;
    // Writes share a transaction only while there is not enough credit to send each alone: a
    // merged transaction takes twice as long, and one failed condition delays all of its writes.
    const bool isCreditShort = m_mayMerge && m_credit < double(m_waiting.size());
    write_batch batch;
    // The queue is ordered by urgency, so the first write is the most urgent.
    batch.transaction.urgency = std::get<write_urgency>(m_waiting.begin()->first);
    for (auto it = m_waiting.begin(); it != m_waiting.end();) {
        const bool isFirst = batch.members.empty();
        if (!isFirst && (!isCreditShort || batch.members.size() >= maxBatchWrites))
            break;
        if (!isFirst && !canMerge(batch.transaction, it->second.transaction)) {
            ++it;
            continue;
        }
        append(batch.transaction, it->second.transaction);
        batch.deadline = std::max(batch.deadline, it->second.deadline);
        const std::uint64_t number = std::get<std::uint64_t>(it->first);
        batch.members.push_back(number);
        m_positions.erase(number);
        it = m_waiting.erase(it);
    }
    m_credit -= 1;
    return batch;
}

std::optional<time_point> write_queue::nextBatchAt() const
{
    if (m_waiting.empty())
        return std::nullopt;
    const std::chrono::duration<double> missing(std::max(0.0, 1 - m_credit) / m_rate);
    return m_filledAt + std::chrono::ceil<milliseconds>(missing);
}

void write_queue::onLimited(time_point now)
{
    // Writes in flight at the same time are refused together; their refusals count as one
    // congestion signal.
    constexpr duration refusalWindow = milliseconds(50);
    if (now - m_decreasedAt >= refusalWindow) {
        m_rate = std::max(fairShare(), decreaseFactor * m_rate);
        m_decreasedAt = now;
    }
    m_limitedAt = now;
    refill(now);
    m_credit = std::min(m_credit, 0.0);
}

void write_queue::onDone(time_point now)
{
    if (now - m_limitedAt >= recoveryDelay)
        m_rate = std::min(m_writesPerSecond, increaseFactor * m_rate);
}

} // namespace azurehill
