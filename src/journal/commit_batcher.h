#pragma once

#include "core/runtime_clock.h"
#include "journal/batch.h"

#include <functional>
#include <optional>
#include <variant>
#include <vector>

namespace azurehill {

/// \brief Identifies one appended group of records until its result is reported.
using commit_ticket = std::uint64_t;

/// \brief Result of a commit. Lost and Refused both mean that the records are not durable and never
/// will be. After Lost, this daemon no longer owns the program or has not owned it continuously;
/// after Refused, it still owns the program.
enum class commit_result { Durable, Lost, Refused };

template <>
struct enum_names<commit_result>
{
    static constexpr std::array<std::string_view, 3> names = {"durable", "lost", "refused"};
};

/// \brief Whether records may be refused while the store is slow or unavailable. Refusable is for
/// the start of new work; MustCommit is for the end of work that already ran.
enum class commit_policy { Refusable, MustCommit };

/// \brief Why records were rejected. None of them becomes durable.
enum class append_error { TooLarge, Busy, NotOwner };

struct commit_settings
{
    /// Minimum time between the starts of two writes; keeps a daemon within its share of the
    /// store's write rate.
    duration interval = milliseconds(30);
    /// Initial and maximum delay before a failed write is retried; the delay doubles with each
    /// retry.
    duration initialRetryDelay = milliseconds(100);
    duration maxRetryDelay = seconds(2);
    std::size_t maxRecords = 256;
    /// No further records are added to a batch that would exceed this size.
    std::size_t maxBatchBytes = maxRowBytes;
    /// Groups of records larger than this are always rejected.
    std::size_t maxEntryBytes = std::size_t{8} * 1024 * 1024;
    /// Refusable records are rejected while more than this many bytes are queued.
    std::size_t maxWaitingBytes = std::size_t{16} * 1024 * 1024;
    /// Refusable records are refused if they, or any records queued before them, wait longer than
    /// this.
    duration maxWaitTime = seconds(2);
};

/// \brief The parts of the cell's view that commits depend on.
struct commit_view
{
    fencing_number number = 0;
    row_version version = 0;
    /// Returns whether this daemon owns a program under this view.
    std::function<bool(const program_id &)> owns;
};

/// \brief Requests that the batch be written on condition that the view's row has this version and
/// the batch's first row does not exist.
struct write_batch
{
    journal_batch batch;
    row_version viewVersion = 0;
};

/// \brief Requests a read that shows whether the first row of a batch exists after the response to
/// its write was lost.
struct read_back
{
    journal_batch batch;
};

/// \brief Reports the result of tickets.
struct commit_done
{
    std::vector<commit_ticket> tickets;
    commit_result result = commit_result::Durable;
};

using commit_action = std::variant<write_batch, read_back, commit_done>;

/// \brief Outcome of a write or read-back of a batch. Fenced: the write's condition failed and a
/// subsequent read did not find the row, so the view's row has another version.
enum class batch_outcome { Written, Fenced, Unavailable, Unknown, Absent };

/// \brief Group commit: collects records of many programs into batches and writes one batch at a
/// time.
class commit_batcher
{
public:
    commit_batcher(daemon_id daemon, std::string incarnation, commit_settings settings);

    /// \brief Queues records of one program that become durable together.
    tl::expected<commit_ticket, append_error> append(std::vector<journal_record> records,
                                                     commit_policy policy, time_point now);
    /// \brief Sets the view under which batches are written from now on.
    std::vector<commit_action> onView(commit_view view);
    /// \brief Processes the outcome of the last write_batch or read_back.
    std::vector<commit_action> onAnswer(batch_outcome answer, time_point now);
    /// \returns the actions to execute at \p now.
    std::vector<commit_action> poll(time_point now);
    /// \returns when to call poll() again, or nothing if no records are queued or in retry.
    std::optional<time_point> wakeAt() const;
    /// \returns whether refusable records would be rejected at \p now.
    bool isBusy(time_point now) const;

private:
    struct pending_append
    {
        commit_ticket ticket = 0;
        std::vector<journal_record> records;
        std::size_t bytes = 0;
        commit_policy policy = commit_policy::MustCommit;
        time_point appendedAt;
        /// Set once a view assigned the program to another daemon. Stays set even if a later view
        /// assigns the program to this daemon again.
        bool ownershipLost = false;
    };
    enum class phase { Idle, Writing, ReadingBack, WaitingToWrite, WaitingToReadBack };

    void startBatch();
    void writeBatch(std::vector<commit_action> &actions);
    void readBack(std::vector<commit_action> &actions);
    void retryBatch(time_point now, std::vector<commit_action> &actions);
    void finishBatch();
    void scheduleRetry(phase next, time_point now);
    bool isRefusable(const pending_append &e, time_point now) const;

    commit_settings m_settings;
    commit_view m_view;
    std::vector<pending_append> m_waiting;
    std::size_t m_waitingBytes = 0;
    std::vector<pending_append> m_inFlight;
    journal_batch m_batch;
    phase m_phase = phase::Idle;
    /// Whether an earlier write of the batch may have taken effect or may still do so.
    bool m_earlierWriteMayApply = false;
    fencing_number m_lastWriteFence = 0;
    fencing_number m_readBackFence = 0;
    commit_ticket m_lastTicket = 0;
    time_point m_nextAttemptAt = time_point::min();
    duration m_retryDelay{};
};

} // namespace azurehill
