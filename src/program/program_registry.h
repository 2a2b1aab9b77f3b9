#pragma once

#include "core/runtime_clock.h"
#include "journal/record.h"
#include "program/program.h"
#include "program/refusal.h"

#include <tl/expected.hpp>

#include <unordered_map>
#include <variant>
#include <vector>

namespace azurehill {

/// \brief A caller's request to make the next call of a program.
struct call_request
{
    program_id program;
    std::int64_t turn = 0;
    std::string key;
    call_kind kind = call_kind::Model;
    bool idempotent = true;
    /// Most tokens that the call takes, apart from the history before it.
    std::int64_t reserveTokens = 0;
};

/// \brief The call may begin once its record is durable.
struct begin_call
{
    call_begun record;
};
/// \brief The same call is under way: follow it.
struct attach_to_call
{
    open_call call;
};
/// \brief The call has ended before: give its stored answer.
struct replay_answer
{
    closed_call call;
};
/// \brief The call comes next after one that is still under way: ask again when that has ended.
struct wait_for_previous_turn
{ };

using call_decision
    = std::variant<begin_call, attach_to_call, replay_answer, wait_for_previous_turn>;

/// \brief The programs that this daemon owns.
///
/// Requests are checked here and answered with records; apply() alone changes state, so replaying
/// the same records gives the same state on any daemon. A sub-agent spends from its own budget and
/// from that of every program above it, and ends with any of them.
class program_registry
{
public:
    /// \brief Decides what becomes of \p request at calendar time \p nowUnixMs.
    tl::expected<call_decision, refusal> decide(const call_request &request,
                                                std::int64_t nowUnixMs) const;

    /// \returns nothing, or why \p created can't be created at calendar time \p nowUnixMs.
    tl::expected<void, refusal> checkCreation(const program_created &created,
                                              std::int64_t nowUnixMs) const;

    /// \brief Changes the state by \p record. Records of unknown programs, and ends of calls
    /// that are not open, change nothing.
    void apply(const journal_record &record);

    const program *find(const program_id &id) const;
    const std::unordered_map<program_id, program> &programs() const { return m_programs; }
    /// \brief Drops one program, as if its creation had not been applied.
    void forget(const program_id &id);
    /// \brief Drops the whole family of \p id, which is no longer owned or must be read again.
    void eraseFamily(const program_id &id);

    /// \returns tokens that the family of \p id may still reserve.
    std::int64_t freeTokens(const program_id &id) const;

private:
    void applyTo(program &p, const call_begun &r);
    void applyTo(program &p, const call_finished &r);
    void applyTo(program &p, const call_failed &r);
    void applyTo(program &p, const program_ended &r);
    void applyTo(program &p, const program_released &r);
    void create(const program_created &r);
    void settle(program &p, std::int64_t spent);
    void addReserved(const program_id &from, std::int64_t tokens);
    void addSpent(const program_id &from, std::int64_t tokens);
    void end(program &p, end_reason reason);
    std::optional<refusal> refusalIfEnded(const program &p, std::int64_t nowUnixMs) const;

    std::unordered_map<program_id, program> m_programs;
};

} // namespace azurehill
