#pragma once

#include "quarantine/quarantine.h"
#include "rows/unreadable_row_log.h"
#include "runtime/timer.h"
#include "store/store.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace azurehill {

/// \brief Evidence in the store, up to a version of it.
struct evidence_page
{
    std::vector<crash_report> reports;
    store_version version = 0;
};

/// \brief Keeps the evidence on lost sends in the store, where it outlives all daemons. Used on the
/// traffic thread.
///
/// At most one write is in progress at a time; what changes meanwhile goes into the next one. A
/// write that fails is repeated until it succeeds.
class crash_archive
{
public:
    /// Maximum time for which waitUntilStored() waits.
    static constexpr duration storeTimeout = milliseconds(120);
    static constexpr duration followTimeout = seconds(2);
    /// Maximum number of rows that wait to be written or removed. Further ones are passed over.
    static constexpr std::size_t maxWaiting = 4096;

    /// \param store store of the rows; it must outlive this object.
    crash_archive(asio::any_io_executor executor, store &store);

    /// \brief Stores the evidence of \p report.
    void put(const crash_report &report);
    /// \brief Removes the rows of the evidence of \p report.
    void remove(const crash_report &report);
    /// \brief Removes all rows of \p request, those that other daemons wrote among them.
    awaitable<void> removeAll(request_fingerprint request);
    /// \brief Waits until all changes to the rows of \p request are in the store, for storeTimeout
    /// at most, and not while the store is away.
    awaitable<void> waitUntilStored(request_fingerprint request);
    /// \returns the evidence in the rows of \p range, or nothing if the store does not answer
    /// within \p timeout.
    awaitable<std::optional<evidence_page>> read(row_range range, duration timeout);
    /// \brief Waits for evidence later than version \p after, for followTimeout at most.
    /// \returns it, or nothing if the store does not tell the changes since then.
    awaitable<std::optional<evidence_page>> follow(store_version after);

private:
    /// The new value of each row, or nothing if it is to be removed.
    using row_changes = std::map<row_name, std::optional<std::string>>;

    void change(row_name name, std::optional<std::string> value);
    awaitable<void> writeAll();
    /// \brief Writes some of the changes that wait. \returns whether the store has them.
    awaitable<bool> writeSome();
    bool isStored(const request_fingerprint &request) const;
    evidence_page decode(const row_page &page);
    static bool contains(const row_changes &changes, const row_range &range);

    asio::any_io_executor m_executor;
    store &m_store;
    unreadable_row_log m_unreadable;
    row_changes m_waiting;
    /// The changes that are being written.
    row_changes m_inProgress;
    bool m_isWriting = false;
    std::set<std::shared_ptr<timer>> m_waiters;
};

} // namespace azurehill
