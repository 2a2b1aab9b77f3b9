#pragma once

#include "core/enum_names.h"
#include "core/runtime_clock.h"
#include "http/http_server.h"

#include <cstdint>
#include <deque>
#include <string>

namespace azurehill::standin {

/// \brief How a stand-in misbehaves until it is told otherwise.
enum class fault_mode {
    None,
    /// Refuses every request; nothing takes effect.
    Down,
    /// Answers only after a while.
    Slow,
    /// Requests take effect, but the connection closes without an answer.
    LoseAnswers,
    /// Takes requests and never answers; nothing takes effect.
    Silent,
    /// Stands still like a paused process: requests and streams go on when it ends.
    Freeze,
    /// Connections that were open when it began are silent for good; new ones work.
    GoneSilent,
    /// Cuts each streamed answer after a number of pieces.
    CutStream,
    /// Waits before each piece of a streamed answer.
    SlowPieces,
    /// Refuses new work and says that it leaves; work in progress goes on.
    Leave,
    /// Ends the process.
    EndProcess
};

/// \brief A fault and its bounds, as "POST /fault" gives them.
struct fault
{
    fault_mode mode = fault_mode::None;
    duration delay{};
    /// Pieces that CutStream lets through.
    std::int64_t pieces = 0;
    /// Requests that still suffer; a negative number stands for all.
    std::int64_t count = -1;
    /// Requests whose path begins otherwise are spared.
    std::string pathPrefix;
};

/// \brief The fault of one stand-in. One thread uses it.
class fault_state
{
public:
    void set(fault f);
    const fault &current() const { return m_fault; }
    /// \brief Takes one request in. \returns the fault that it suffers.
    fault suffer(std::string_view path, const asio::any_io_executor &connection);
    /// \returns whether \p connection was open when GoneSilent began.
    bool isSilent(const asio::any_io_executor &connection) const;

private:
    fault m_fault;
    // A connection runs on a strand of its own, so the strand stands for it. Held here, it can't
    // be taken for another's.
    std::deque<asio::any_io_executor> m_connections;
    std::deque<asio::any_io_executor> m_silent;
};

/// \returns a handler in front of \p inner that makes its requests suffer the fault of \p faults.
///
/// "POST /fault {"mode": NAME, "delay_ms": N, "pieces": N, "count": N, "path_prefix": TEXT}" sets
/// it; all but the mode may be left out. "/fault" and "/records" never suffer.
request_handler withFaults(const std::shared_ptr<fault_state> &faults, request_handler inner);

} // namespace azurehill::standin

namespace azurehill {

template <>
struct enum_names<standin::fault_mode>
{
    static constexpr std::array<std::string_view, 11> names
        = {"none",        "down",       "slow",        "lose_answers", "silent",     "freeze",
           "gone_silent", "cut_stream", "slow_pieces", "leave",        "end_process"};
};

} // namespace azurehill
