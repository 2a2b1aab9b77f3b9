#pragma once

#include "core/runtime_clock.h"
#include "journal/batch.h"

#include <functional>
#include <optional>
#include <variant>
#include <vector>

namespace azurehill {

/// \brief Names one appended group of records until its fate is known.
using commit_ticket = std::uint64_t;

/// \brief How a commit ended. Lost and Refused: the records are not durable and never will be;
/// after Lost the program belongs to another daemon, after Refused it is still here.
enum class commit_result { Durable, Lost, Refused };

template <>
struct enum_names<commit_result>
{
    static constexpr std::array<std::string_view, 3> names = {"durable", "lost", "refused"};
};

/// \brief Whether records may be refused while the store is slow or down: the beginning of
/// something new may, the end of something that ran is kept.
enum class commit_policy { Refusable, MustCommit };

/// \brief Why records were not taken in. Nothing of them becomes durable.
enum class append_error { TooLarge, Busy, NotOwner };

struct commit_settings
{
    /// Shortest time between the starts of two writes; keeps a daemon within its share.
    duration interval = milliseconds(30);
    /// First and longest pause before a write is tried again.
    duration initialRetryDelay = milliseconds(100);
    duration maxRetryDelay = seconds(2);
    std::size_t maxRecords = 256;
    /// A batch takes no further records above this.
    std::size_t maxBatchBytes = maxRowBytes;
    /// Records above this are never taken in.
    std::size_t maxEntryBytes = std::size_t{8} * 1024 * 1024;
    /// Refusable records are not taken in while more than this waits.
    std::size_t maxWaitingBytes = std::size_t{16} * 1024 * 1024;
    /// Refusable records are refused when they, or any before them, wait longer.
    duration maxWaitTime = seconds(2);
};

/// \brief The cell's view as far as commits need it.
struct commit_view
{
    fencing_number number = 0;
    row_version version = 0;
    /// Whether this daemon owns a program under this view.
    std::function<bool(const program_id &)> owns;
};

/// \brief Asks for the batch to be written, if the view's row has this version and the batch's
/// first row is absent.
struct write_batch
{
    journal_batch batch;
    row_version viewVersion = 0;
};

/// \brief Asks whether the row of a batch whose answer was lost is there.
struct read_back
{
    journal_batch batch;
};

/// \brief Tells the fate of tickets.
struct commit_done
{
    std::vector<commit_ticket> tickets;
    commit_result result = commit_result::Durable;
};

using commit_action = std::variant<write_batch, read_back, commit_done>;

/// \brief What the platform said of a batch. Fenced: the write was refused, and a read after that
/// did not find the row, so the view's row has another version.
enum class batch_outcome { Written, Fenced, Unavailable, Unknown, Absent };

/// \brief Gathers records of many programs into batches, one in flight at a time.
class commit_batcher
{
public:
    commit_batcher(daemon_id daemon, std::string incarnation, commit_settings settings);

    /// \brief Adds records of one program that become durable together.
    tl::expected<commit_ticket, append_error> append(std::vector<journal_record> records,
                                                     commit_policy need, time_point now);
    /// \brief Takes in the view under which batches are written from now on.
    std::vector<commit_action> onView(commit_view view);
    /// \brief Takes in what came of the last write_batch or read_back.
    std::vector<commit_action> onAnswer(batch_outcome answer, time_point now);
    /// \returns what to do at \p now.
    std::vector<commit_action> poll(time_point now);
    /// \returns when to poll again, if anything waits.
    std::optional<time_point> wakeAt() const;
    /// \returns whether refusable records would be refused now.
    bool isBusy(time_point now) const;

private:
    struct entry
    {
        commit_ticket ticket = 0;
        std::vector<journal_record> records;
        std::size_t bytes = 0;
        commit_policy need = commit_policy::MustCommit;
        time_point since;
        /// Set for good once a view took the program away, even if a later one gives it back.
        bool lost = false;
    };
    enum class phase { Idle, Writing, ReadingBack, WaitingToWrite, WaitingToReadBack };

    void startBatch();
    void write(std::vector<commit_action> &actions);
    void readBack(std::vector<commit_action> &actions);
    void retryBatch(time_point now, std::vector<commit_action> &actions);
    void finishBatch();
    void waitToRetry(phase next, time_point now);
    bool isRefusable(const entry &e, time_point now) const;

    commit_settings m_settings;
    commit_view m_view;
    std::vector<entry> m_waiting;
    std::size_t m_waitingBytes = 0;
    std::vector<entry> m_inFlight;
    journal_batch m_batch;
    phase m_phase = phase::Idle;
    /// Whether an earlier try of the batch may have taken effect or still may.
    bool m_earlierWriteMayApply = false;
    fencing_number m_lastWriteFence = 0;
    fencing_number m_readBackFence = 0;
    commit_ticket m_lastTicket = 0;
    time_point m_nextAttemptAt = time_point::min();
    duration m_retryDelay{};
};

} // namespace azurehill
