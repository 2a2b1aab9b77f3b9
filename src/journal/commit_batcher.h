#pragma once

#include "core/runtime_clock.h"
#include "journal/batch.h"

#include <optional>
#include <variant>
#include <vector>

namespace azurehill {

/// \brief Names one appended group of records until its fate is known.
using commit_ticket = std::uint64_t;

/// \brief How a commit ended. Lost: the records are not durable and never will be.
enum class commit_result { Durable, Lost };

template <>
struct enum_names<commit_result>
{
    static constexpr std::array<std::string_view, 2> names = {"durable", "lost"};
};

struct commit_settings
{
    /// Shortest time between the starts of two writes; keeps a daemon within its share.
    duration interval = milliseconds(30);
    /// First and longest pause before a write is tried again.
    duration firstRetry = milliseconds(100);
    duration longestRetry = seconds(2);
    std::size_t maxRecords = 256;
};

/// \brief Asks for the batch to be written, under the view the daemon knows now.
struct write_batch
{
    journal_batch batch;
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

/// \brief What the platform said of a batch.
enum class batch_answer { Written, Fenced, Unavailable, Unknown, Absent };

/// \brief Gathers records of many programs into batches, one in flight at a time.
class commit_batcher
{
public:
    commit_batcher(daemon_id daemon, std::string incarnation, commit_settings settings);

    /// \brief Adds records that become durable together.
    commit_ticket append(std::vector<journal_record> records);
    /// \brief Sets the number of the view under which batches are written from now on.
    void setFence(fencing_number fence) { m_fence = fence; }
    /// \brief Takes in what came of the last write_batch or read_back.
    std::vector<commit_action> onAnswer(batch_answer answer, time_point now);
    /// \returns what to do at \p now.
    std::vector<commit_action> poll(time_point now);
    /// \returns when to poll again, if anything waits.
    std::optional<time_point> wakeAt() const;
    /// \brief Gives up everything that is not durable, after a change of the view took the
    /// programs away. \returns the tickets.
    std::vector<commit_ticket> abandon();

private:
    struct entry
    {
        commit_ticket ticket = 0;
        std::vector<journal_record> records;
    };
    enum class phase { Idle, Writing, ReadingBack, WaitingToWrite, WaitingToReadBack };

    std::vector<commit_action> startBatch(time_point now);
    std::vector<commit_action> finishBatch(commit_result result);
    void waitToRetry(phase next, time_point now);

    commit_settings m_settings;
    std::vector<entry> m_waiting;
    std::vector<commit_ticket> m_inFlight;
    journal_batch m_batch;
    phase m_phase = phase::Idle;
    fencing_number m_fence = 0;
    commit_ticket m_lastTicket = 0;
    time_point m_notBefore = time_point::min();
    duration m_retryPause{};
};

} // namespace azurehill
